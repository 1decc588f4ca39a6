import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Many small jobs whose specs are of the longest length are handed in while the side process of the
 * only executor with their label is killed and starts again. Arguments: folder, trouble (0 or 1).
 */
final class LongSpecsCase {
  private static final int JOBS = Integer.getInteger("jobs", 240);
  private static final int SPEC_BYTES = 4_000;
  private static final int HANDING_IN_MILLIS = 3_600;
  private static final int DARK_MILLIS = 3_500;
  private static final int FINISH_MILLIS = 14_000;
  private static final int IDLE_MILLIS = 3_000;
  private static final int TASK_CPU = 40;

  public static void main(String[] arguments) throws Exception {
    Path folder = Path.of(arguments[0]);
    boolean trouble = !arguments[1].equals("0");
    Path scratch = Files.createTempDirectory("review-long-specs");
    int exit = 2;
    try (Recorder record = new Recorder(folder.resolve("record.txt"))) {
      exit = run(record, scratch, trouble);
      record.say("exit %d", exit);
    } catch (IOException | RuntimeException e) {
      e.printStackTrace();
    } finally {
      if (Boolean.getBoolean("keep")) {
        System.out.println(scratch);
      } else {
        try (var files = Files.walk(scratch)) {
          files.sorted(java.util.Comparator.reverseOrder()).forEach(each -> each.toFile().delete());
        }
      }
    }
    System.exit(exit);
  }

  private static int run(Recorder record, Path scratch, boolean trouble) throws Exception {
    Store store = new Store(new Store.Limits(24, 262_144, 2_097_152, 20_000), record);
    int storePort = store.start();
    store.operator("config", configuration().getBytes(StandardCharsets.UTF_8));
    Map<String, String> specs = new ConcurrentHashMap<>();
    Worker.Work work =
        (task, spec) ->
            spec.equals(specs.get(task.substring(0, 16)))
                ? new Worker.Behaviour(TASK_CPU, 64, 900, false, "")
                : null;
    List<Worker> workers = new ArrayList<>();
    try (Deployment deployment = new Deployment(scratch, storePort, record)) {
      List<Deployment.Node> entries = new ArrayList<>();
      for (int i = 1; i <= 3; i++) {
        entries.add(deployment.entry("edge-" + i));
      }
      List<Deployment.Node> sides = new ArrayList<>();
      for (int i = 1; i <= 3; i++) {
        int port = Http.freePort();
        sides.add(deployment.side("side-" + i, port));
        List<String> labels = List.of(i == 1 ? "b" : "a", "r1-" + i);
        Worker worker =
            new Worker("i-" + i, "parkhub", labels, 16_000, 64_000, 10_000, 400, work, record);
        worker.start(port, sides.get(i - 1).port("listen.control"));
        workers.add(worker);
      }
      for (Deployment.Node node : deployment.nodes) {
        node.start();
      }
      Client client = new Client(entries, record);
      if (!awaitReady(client, entries)) {
        record.say("the deployment does not get ready");
        return 2;
      }
      Random random = new Random(63);
      if (!probe(client, specs, random)) {
        record.say("a first job is not done");
        return 2;
      }
      Thread.sleep(4_000);
      Thread disruption = new Thread(() -> disrupt(sides.get(0)));
      if (trouble) {
        disruption.start();
        Thread.sleep(100);
      }
      Set<String> accepted = handIn(client, specs, random, JOBS, HANDING_IN_MILLIS);
      disruption.join();
      record.say("%d of %d jobs accepted", accepted.size(), JOBS);
      long begin = record.millis();
      Map<String, Long> idleSince = new HashMap<>();
      Set<String> open = new HashSet<>(accepted);
      long fullSince = record.millis();
      while (record.millis() - begin < FINISH_MILLIS + 2 * IDLE_MILLIS + 4_000) {
        Set<String> active = new HashSet<>();
        workers.forEach(worker -> worker.running().forEach(task -> active.add(task.substring(0, 16))));
        Thread.sleep(100);
        boolean halfInUse = workers.stream().mapToInt(Worker::used).sum() >= 24_000;
        boolean room = workers.get(0).cpu() - workers.get(0).used() >= 2 * TASK_CPU;
        fullSince = halfInUse || !room ? record.millis() : fullSince;
        for (String id : accepted) {
          if (active.contains(id)) {
            idleSince.remove(id);
          } else {
            idleSince.putIfAbsent(id, record.millis());
          }
        }
      }
      long asked = record.millis();
      Map<String, Integer> states = new HashMap<>();
      int waiting = 0;
      for (String id : accepted) {
        Client.Answer answer = client.callUntilAnswered("GET", "/q/" + id, "", 5);
        String state = answer.status() == 200 ? answer.body() : Integer.toString(answer.status());
        states.merge(state, 1, Integer::sum);
        if (state.contains("done")) {
          open.remove(id);
        } else if (asked - Math.max(fullSince, idleSince.getOrDefault(id, asked)) >= IDLE_MILLIS) {
          waiting++;
        }
      }
      int used = workers.stream().mapToInt(Worker::used).sum();
      record.say("jobs are asked for %d ms after the last was handed in", asked - begin);
      record.say("states: %s; not done %d, of these with nothing at work for %d ms while there was"
          + " room: %d; processors in use: %d of 48000", states, open.size(), IDLE_MILLIS, waiting, used);
      for (Deployment.Node node : deployment.nodes) {
        record.say("%s is %s", node.name, node.isUp() ? "up" : "down");
      }
      return waiting > 0 ? 1 : 0;
    } finally {
      workers.forEach(Worker::stop);
      store.stop();
    }
  }

  private static void disrupt(Deployment.Node side) {
    try {
      side.kill();
      Thread.sleep(DARK_MILLIS);
      side.start();
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private static String configuration() {
    return "{\"version\":1,\"routes\":[{\"name\":\"r-1\",\"host\":\"127.0.0.1\",\"prefix\":\"/q/\","
        + "\"kind\":\"unsafe\",\"timeout_ms\":3000,\"goal_ms\":250,\"priority\":0,"
        + "\"service\":\"parkhub\",\"attempts\":3,\"slack_factor\":1.5}],\"services\":[{\"name\":"
        + "\"parkhub\",\"health_path\":\"/healthz\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":"
        + "false,\"admission_check\":true,\"standby\":false}],\"limits\":{\"max_header_bytes\":16384,"
        + "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
  }

  private static boolean awaitReady(Client client, List<Deployment.Node> entries)
      throws InterruptedException {
    for (int i = 0; i < 100; i++) {
      Thread.sleep(200);
      if (entries.stream().allMatch(entry -> client.call(entry, "GET", "/q/", "").status() == 200)) {
        Thread.sleep(3_000);
        return true;
      }
    }
    return false;
  }

  private static boolean probe(Client client, Map<String, String> specs, Random random)
      throws InterruptedException {
    Set<String> accepted = handIn(client, specs, random, 6, 300);
    Thread.sleep(3_000);
    return accepted.stream()
        .allMatch(id -> client.callUntilAnswered("GET", "/q/" + id, "", 5).body().contains("done"));
  }

  private static Set<String> handIn(
      Client client, Map<String, String> specs, Random random, int jobs, int millis)
      throws InterruptedException {
    Set<String> accepted = ConcurrentHashMap.newKeySet();
    ExecutorService threads = Executors.newFixedThreadPool(24);
    for (int i = 0; i < jobs; i++) {
      String id = String.format("%016x", random.nextLong());
      StringBuilder text = new StringBuilder("job " + id + " ");
      while (text.length() < SPEC_BYTES) {
        text.append((char) ('a' + random.nextInt(26)));
      }
      specs.put(id, text.toString());
      String body =
          "{\"spec\":\"" + text + "\",\"phases\":[{\"count\":1,\"cpu\":" + TASK_CPU
              + ",\"mem_mb\":64,\"est_ms\":900,\"required_label\":\"b\"}]}";
      threads.execute(
          () -> {
            if (client.callUntilAnswered("POST", "/q/" + id, body, 5).status() / 100 == 2) {
              accepted.add(id);
            }
          });
      Thread.sleep(millis / jobs);
    }
    threads.shutdown();
    threads.awaitTermination(20, TimeUnit.SECONDS);
    return accepted;
  }
}
