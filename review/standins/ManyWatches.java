import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Many small jobs that last, each with a text of nearly 4,000 bytes, run on few workers. Then the
 * worker with most of them crashes, and another one takes its place. Rule LOST: for each task that
 * lasts, from 6 s after its last run, there are no 3 calm s in which it does not run while there is
 * capacity.
 */
final class ManyWatches {
  private static final long AFTER_RUN_MILLIS = 6_000;
  private static final long ABSENT_MILLIS = 3_000;
  private static final long CALM_MILLIS = 4_000;
  private static final long DOWN_MILLIS = 4_500;
  private static final int JOBS = 390;
  private static final int MILLI_CORES = 40;
  private static final int WATCHED_SECONDS = 30;
  private static final int TEXT_BYTES = 3_990;

  private ManyWatches() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !arguments[1].equals("0");
    int result = 2;
    Rig rig = new Rig(3, 11);
    try (rig) {
      rig.start();
      result = play(rig, trouble);
    } catch (Exception e) {
      rig.record.add("the case could not run: %s", e);
    }
    rig.record.add("exit status %d", result);
    rig.record.write(Path.of(arguments[0]));
    System.out.println("exit status " + result);
    Runtime.getRuntime().halt(result);
  }

  private static int play(Rig rig, boolean trouble) throws Exception {
    List<String> tasks = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      tasks.add(handIn(rig, i) + ".0.0.0");
      Thread.sleep(15);
    }
    Thread.sleep(4_000);
    count(rig);
    Rig.Machine busiest = null;
    for (Rig.Machine side : rig.sides()) {
      if (busiest == null || side.worker.running().size() > busiest.worker.running().size()) {
        busiest = side;
      }
    }
    long began = rig.record.millis();
    if (trouble) {
      busiest.worker.crash();
      Thread.sleep(DOWN_MILLIS);
      rig.startWorker(busiest, 0);
    }
    long calm = rig.record.millis() + 3_000;
    for (int i = 0; i < WATCHED_SECONDS; i++) {
      Thread.sleep(1_000);
      count(rig);
    }
    for (int i = 0; i < tasks.size(); i += 40) {
      rig.call(rig.entries().get(0), "GET", Rig.WATCHES + tasks.get(i).substring(0, 16), null);
    }
    return judge(rig, tasks, trouble ? calm : began);
  }

  private static void count(Rig rig) {
    Map<String, Integer> runs = new HashMap<>();
    rig.sides().forEach(side -> runs.put(side.name, side.worker.running().size()));
    rig.record.add("runs at work: %s", runs);
  }

  private static String handIn(Rig rig, int number) throws Exception {
    String id = Store.newId();
    ObjectNode job = rig.json.createObjectNode();
    job.putArray("phases").addObject().put("count", 1).put("cpu", MILLI_CORES).put("mem_mb", 64)
        .put("est_ms", 500).put("long_running", true).put("target_ms", 50).put("image", "watch");
    String text = rig.job(id, job, 500);
    ObjectNode padded = (ObjectNode) rig.json.readTree(text);
    ObjectNode spec = (ObjectNode) rig.json.readTree(padded.path("spec").asText());
    int missing = TEXT_BYTES - rig.json.writeValueAsString(spec.put("text", "")).length();
    padded.put("spec", rig.json.writeValueAsString(spec.put("text", "x".repeat(missing))));
    for (int tries = 0; tries < 5; tries++) {
      Rig.Machine entry = rig.entries().get((number + tries) % 3);
      if (rig.call(entry, "POST", Rig.WATCHES + id, padded.toString()).status == 200) {
        return id;
      }
      Thread.sleep(300);
    }
    throw new IllegalStateException("a job is not accepted");
  }

  private static int judge(Rig rig, List<String> tasks, long calm) {
    long end = rig.record.millis();
    int broken = 0;
    for (String task : tasks) {
      List<Fleet.Seen> runs =
          rig.fleet.seen().stream().filter(run -> run.task.equals(task)).toList();
      long longest = 0;
      for (Fleet.Seen run : runs) {
        if (run.endedMillis > end) {
          continue;
        }
        long back =
            runs.stream()
                .filter(next -> next.startedMillis >= run.endedMillis)
                .mapToLong(next -> next.startedMillis)
                .min()
                .orElse(end);
        long from = Math.max(run.endedMillis + AFTER_RUN_MILLIS, calm + CALM_MILLIS);
        if (back >= from + ABSENT_MILLIS) {
          longest = Math.max(longest, back - run.endedMillis);
        }
      }
      if (runs.isEmpty()) {
        longest = end;
      }
      if (longest > 0) {
        broken++;
        rig.record.add("LOST: %s did not run for %d ms", task, longest);
      }
    }
    long used =
        rig.sides().stream()
            .flatMap(side -> side.worker.running().stream())
            .mapToLong(run -> run.step.path("cpu").asLong())
            .sum();
    rig.record.add("%d of %d thousandths of a core are in use", used, 11 * Fleet.CPU);
    rig.record.add("LOST broken for %d of %d tasks", broken, tasks.size());
    return broken > 0 ? 1 : 0;
  }
}
