import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/**
 * The search of part one, no case: jobs of all kinds under random troubles, and the rules that the
 * workers' and clients' own records can judge.
 *
 * <p>Arguments: file for the record, seed, seconds of trouble, kinds of jobs, kinds of trouble (each
 * joined by commas). With UNGUARDED set, workers start what doesn't fit.
 */
final class Chaos {
  private static final long CALM_MILLIS = 25_000;
  private static final long CANCEL_MILLIS = 3_000;
  private static final long LONG_AFTER_CANCEL_MILLIS = 15_000;
  private static final long NEVER = Long.MAX_VALUE / 4;

  private static final class Job {
    final String id = Store.newId();
    final String kind;
    String prefix = Rig.CHECKS;
    int attempts = 2;
    boolean lasts;
    boolean mayFail;
    boolean cancels;
    boolean accepted;
    long cancelledMillis = NEVER;
    String body;

    Job(String kind) {
      this.kind = kind;
    }

    String path() {
      return prefix + id;
    }
  }

  private final Rig rig;
  private final Adviser adviser;
  private final Random random;
  private final List<Job> jobs = Collections.synchronizedList(new ArrayList<>());
  private int nextWorker = 100;
  private int bad;

  private Chaos(Rig rig, Adviser adviser, Random random) {
    this.rig = rig;
    this.adviser = adviser;
    this.random = random;
  }

  public static void main(String[] arguments) throws Exception {
    long seed = Long.parseLong(arguments[1]);
    Rig rig = new Rig(3, 6);
    int bad;
    try (rig) {
      Adviser adviser = new Adviser(rig.record);
      rig.adviser(adviser.address());
      rig.fleet.adviser(adviser);
      if (System.getenv("UNGUARDED") != null) {
        rig.fleet.unguarded();
      }
      rig.start();
      Chaos chaos = new Chaos(rig, adviser, new Random(seed));
      bad =
          chaos.play(
              Integer.parseInt(arguments[2]), arguments[3].split(","), arguments[4].split(","));
    }
    rig.record.write(Path.of(arguments[0]));
    System.out.println("seed " + seed + " bad " + bad);
    Runtime.getRuntime().halt(bad > 0 ? 1 : 0);
  }

  private int play(int seconds, String[] kinds, String[] troubles) throws Exception {
    long end = rig.record.millis() + seconds * 1_000L;
    Thread clients = new Thread(() -> sendJobs(end, kinds, new Random(random.nextLong())));
    clients.setDaemon(true);
    clients.start();
    while (rig.record.millis() < end) {
      Thread.sleep(1_000 + random.nextInt(3_000));
      String trouble = troubles[random.nextInt(troubles.length)];
      strike(trouble);
      rig.record.add("trouble %s is over", trouble);
    }
    clients.join();
    Thread.sleep(CALM_MILLIS);
    for (Job job : List.copyOf(jobs)) {
      if (job.accepted) {
        judgeState(job);
      }
    }
    judgeRuns();
    rig.record.add("bad %d", bad);
    return bad;
  }

  private void sendJobs(long end, String[] kinds, Random clientRandom) {
    try {
      while (rig.record.millis() < end) {
        Job job = job(kinds[clientRandom.nextInt(kinds.length)], clientRandom);
        jobs.add(job);
        Thread client = new Thread(() -> serveClient(job, new Random()));
        client.setDaemon(true);
        client.start();
        Thread.sleep(300 + clientRandom.nextInt(500));
      }
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  private static ObjectNode step(ArrayNode steps, int count, int cpu, int memory, int estimate) {
    return steps
        .addObject()
        .put("count", count)
        .put("cpu", cpu)
        .put("mem_mb", memory)
        .put("est_ms", estimate);
  }

  private Job job(String kind, Random pick) throws Exception {
    Job job = new Job(kind);
    ObjectNode body = rig.json.createObjectNode();
    ArrayNode steps = body.putArray("phases");
    int fails = 0;
    long[] work = {900, 700};
    switch (kind) {
      case "plain" -> {
        step(steps, 1 + pick.nextInt(6), 240, 400, 900);
        step(steps, 1 + pick.nextInt(4), 240, 400, 900).putArray("depends_on").add(0);
      }
      case "gang" -> {
        step(steps, 2 + pick.nextInt(4), 1_000 + pick.nextInt(2_000), 400, 2_000).put("gang", true);
        step(steps, 2, 240, 400, 900).put("gang", true).putArray("depends_on").add(0);
        work = new long[] {1_000 + pick.nextInt(3_000), 700};
      }
      case "gangbig" -> {
        step(steps, 6 + pick.nextInt(6), 5_000, 4_000, 2_000)
            .put("gang", true)
            .put("checkpointable", true);
        work = new long[] {2_000 + pick.nextInt(3_000)};
        job.prefix = Rig.HEAVY;
      }
      case "gangfail" -> {
        step(steps, 2 + pick.nextInt(3), 500, 400, 1_000).put("gang", true).put("same_rack", true);
        fails = 1 + pick.nextInt(3);
        work = new long[] {700};
        job.prefix = Rig.HEAVY;
      }
      case "fail" -> {
        step(steps, 2 + pick.nextInt(3), 500, 400, 1_000);
        fails = 1 + pick.nextInt(4);
        work = new long[] {500};
        job.prefix = Rig.HEAVY;
      }
      case "check" -> {
        step(steps, 2 + pick.nextInt(6), 1_800, 3_200, 2_400)
            .put("checkpointable", true)
            .put("max_per_server", 2);
        work = new long[] {2_400 + pick.nextInt(4_000)};
        job.prefix = Rig.HEAVY;
      }
      case "timed" -> {
        long due = System.currentTimeMillis() + 1_000 + pick.nextInt(3_000);
        body.put("times", 3).put("start_at_ms", due).put("interval_ms", 1_500);
        step(steps, 2, 240, 400, 900);
        step(steps, 2, 240, 400, 900).put("gang", true).putArray("depends_on").add(0);
        work = new long[] {900, 500};
      }
      case "lasting" -> {
        step(steps, 3, 300, 600, 500).put("long_running", true).put("max_per_server", 1);
        job.lasts = true;
        job.prefix = Rig.WATCHES;
      }
      case "advised" -> {
        step(steps, 4, 300, 600, 900).put("max_per_server", 2);
        step(steps, 2, 300, 600, 900).put("gang", true).putArray("depends_on").add(0);
        job.prefix = Rig.ADVISED;
        adviser.advises(job.id);
      }
      default -> throw new IllegalArgumentException(kind);
    }
    job.attempts = job.prefix.equals(Rig.CHECKS) ? 2 : 3;
    job.mayFail = fails > 0;
    job.cancels = pick.nextInt(8) == 0 || job.lasts && pick.nextInt(3) > 0;
    job.body = rig.failingJob(job.id, body, fails, work);
    return job;
  }

  /** Hands the job in until it is accepted, at times again, and cancels it if it is to be. */
  private void serveClient(Job job, Random pick) {
    try {
      int first = pick.nextInt(3);
      for (int tries = 0; tries < 30 && !job.accepted; tries++) {
        Rig.Machine entry = rig.entries().get((first + tries) % 3);
        job.accepted = rig.call(entry, "POST", job.path(), job.body).status == 200;
        Thread.sleep(job.accepted ? 0 : 300);
      }
      if (pick.nextInt(4) == 0) {
        Thread.sleep(pick.nextInt(4_000));
        rig.call(rig.entries().get(pick.nextInt(3)), "POST", job.path(), job.body);
      }
      if (!job.cancels || !job.accepted) {
        return;
      }
      Thread.sleep(pick.nextInt(5_000));
      for (int tries = 0; tries < 60 && job.cancelledMillis == NEVER; tries++) {
        Rig.Machine entry = rig.entries().get((first + tries) % 3);
        if (rig.call(entry, "DELETE", job.path(), null).status == 200) {
          job.cancelledMillis = rig.record.millis();
        }
        Thread.sleep(300);
      }
    } catch (Exception e) {
      rig.record.add("a client fails: %s", e);
    }
  }

  private void strike(String trouble) throws Exception {
    Rig.Machine entry = rig.entries().get(random.nextInt(rig.entries().size()));
    Rig.Machine side = rig.sides().get(random.nextInt(rig.sides().size()));
    switch (trouble) {
      case "none" -> {}
      case "killentry" -> restart(entry, "KILL", 3_500);
      case "killside" -> restart(side, "KILL", 3_500);
      case "killtwo" -> {
        rig.signal(entry, "KILL");
        restart(side, "KILL", 2_500);
        rig.startProcess(entry);
      }
      case "stopentry" -> suspend(entry);
      case "stopside" -> suspend(side);
      case "termentry" -> {
        rig.signal(entry, "TERM");
        if (!entry.process.waitFor(6, TimeUnit.SECONDS)) {
          bad("%s outlived its grace time", entry.name);
          rig.signal(entry, "KILL");
        }
        rig.startProcess(entry);
      }
      case "crash" -> {
        side.worker.crash();
        Thread.sleep(500 + random.nextInt(3_500));
        rig.startWorker(side, nextWorker++);
      }
      case "leave" -> {
        side.worker.drain();
        Thread.sleep(2_500);
        side.worker.leave();
        Thread.sleep(1_000);
        rig.startWorker(side, nextWorker++);
      }
      case "busy" -> turnAway(List.of(entry), Store.Mode.BUSY);
      case "silent" -> turnAway(List.of(entry), Store.Mode.SILENT);
      case "down" -> turnAway(List.copyOf(rig.machines.values()), Store.Mode.RESET);
      case "late" -> carryOutLate(0.055);
      case "latemuch" -> carryOutLate(0.3);
      default -> throw new IllegalArgumentException(trouble);
    }
  }

  private void restart(Rig.Machine machine, String signal, int mostMillis) throws Exception {
    rig.signal(machine, signal);
    Thread.sleep(random.nextInt(mostMillis));
    rig.startProcess(machine);
  }

  private void suspend(Rig.Machine machine) throws Exception {
    rig.signal(machine, "STOP");
    Thread.sleep(1_500 + random.nextInt(2_500));
    rig.signal(machine, "CONT");
  }

  private void turnAway(List<Rig.Machine> machines, Store.Mode mode) throws Exception {
    machines.forEach(each -> rig.store.mode(each.name, mode));
    Thread.sleep(4_500);
    machines.forEach(each -> rig.store.mode(each.name, Store.Mode.SERVE));
  }

  private void carryOutLate(double share) throws Exception {
    rig.fleet.lateShare(share);
    Thread.sleep(5_500);
    rig.fleet.lateShare(0);
  }

  private void bad(String format, Object... arguments) {
    bad++;
    rig.record.add("BAD " + format, arguments);
  }

  private void judgeState(Job job) {
    Http.Answer answer = null;
    for (int tries = 0; tries < 5; tries++) {
      answer = rig.call(rig.entries().get(tries % 3), "GET", job.path(), null);
      if (answer.status == 200 || answer.status == 410) {
        break;
      }
    }
    String state = answer.body;
    boolean ended = state.contains("done") || state.contains("failed");
    boolean right =
        job.cancels
            ? ended || state.contains("canceled")
            : job.lasts
                ? state.contains("running")
                : state.contains("done") || job.mayFail && state.contains("failed");
    if (!right) {
      bad("state of %s %s: %d %s", job.kind, job.id, answer.status, state);
    }
  }

  private void judgeRuns() {
    Map<String, Job> byId = new HashMap<>();
    jobs.forEach(job -> byId.put(job.id, job));
    Map<String, List<Fleet.Seen>> byTask = new TreeMap<>();
    for (Fleet.Seen run : rig.fleet.seen()) {
      byTask.computeIfAbsent(run.task, unused -> new ArrayList<>()).add(run);
    }
    for (Map.Entry<String, List<Fleet.Seen>> each : byTask.entrySet()) {
      Job job = byId.get(each.getKey().substring(0, 16));
      if (job == null) {
        bad("UNASKED: nobody sent %s", each.getKey());
        continue;
      }
      judgeTask(job, each.getValue());
      for (Fleet.Seen run : each.getValue()) {
        judgeStart(run, byTask);
      }
    }
  }

  private void judgeTask(Job job, List<Fleet.Seen> runs) {
    long now = rig.record.millis();
    for (Fleet.Seen run : runs) {
      for (Fleet.Seen other : runs) {
        boolean overlaps =
            run.startedMillis < other.endedMillis - 25 && other.startedMillis < run.endedMillis - 25;
        if (run != other && overlaps && run.attempt < other.attempt) {
          bad("TWICE: %s#%d and #%d at once", run.task, run.attempt, other.attempt);
        }
        boolean noted = run.how.equals("done") && run.notedMillis != Long.MAX_VALUE;
        if (!job.lasts && noted && other.startedMillis > run.endedMillis + 5) {
          bad("TWICE: %s#%d after #%d was done", run.task, other.attempt, run.attempt);
        }
      }
      if (run.startedMillis > job.cancelledMillis + CANCEL_MILLIS) {
        bad("UNASKED: %s#%d starts after the cancelling", run.task, run.attempt);
      }
      if (Math.min(run.endedMillis, now) > job.cancelledMillis + LONG_AFTER_CANCEL_MILLIS) {
        bad("UNASKED: %s#%d runs on after the cancelling", run.task, run.attempt);
      }
    }
    long lastStart = runs.stream().mapToLong(run -> run.startedMillis).max().orElse(0);
    long failures =
        runs.stream()
            .filter(run -> run.how.equals("failed") && run.notedMillis != Long.MAX_VALUE)
            .filter(run -> run.endedMillis < lastStart)
            .count();
    if (!job.lasts && failures >= job.attempts) {
      bad("BUDGET: a start of %s after %d failures", runs.get(0).task, failures);
    }
  }

  private void judgeStart(Fleet.Seen run, Map<String, List<Fleet.Seen>> byTask) {
    String[] parts = run.task.split("\\.");
    JsonNode step = rig.fleet.step(run.task);
    for (JsonNode earlier : step.path("depends_on")) {
      JsonNode needed = rig.fleet.job(parts[0]).path("phases").path(earlier.asInt());
      for (int index = 0; index < needed.path("count").asInt(); index++) {
        String task = parts[0] + "." + parts[1] + "." + earlier.asInt() + "." + index;
        boolean done =
            byTask.getOrDefault(task, List.of()).stream()
                .anyMatch(end -> end.how.equals("done") && end.endedMillis <= run.startedMillis);
        if (!done) {
          bad("ORDER: %s before %s", run.task, task);
        }
      }
    }
    long processors = 0;
    long memory = 0;
    int ofStep = 0;
    String stepName = run.task.substring(0, run.task.lastIndexOf('.') + 1);
    for (Fleet.Seen other : rig.fleet.seen()) {
      boolean beside =
          other.worker == run.worker
              && other.startedMillis <= run.startedMillis
              && other.endedMillis > run.startedMillis;
      if (beside) {
        processors += rig.fleet.step(other.task).path("cpu").asLong();
        memory += rig.fleet.step(other.task).path("mem_mb").asLong();
        ofStep += other.task.startsWith(stepName) ? 1 : 0;
      }
    }
    if (processors > Fleet.CPU || memory > Fleet.MEMORY) {
      bad("LIMIT: %s beside %d thousandths of a core, %d MB", run.task, processors, memory);
    }
    int most = step.path("max_per_server").asInt();
    if (most > 0 && ofStep > most) {
      bad("ROUTE: %s, %d of its step on one worker", run.task, ofStep);
    }
  }
}
