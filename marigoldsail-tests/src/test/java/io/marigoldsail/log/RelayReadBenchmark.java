package io.marigoldsail.log;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.marigoldsail.testlib.fault.ProcessFleet;
import io.marigoldsail.testlib.platform.FakeLogService;
import io.marigoldsail.testlib.platform.LogFaults;
import io.marigoldsail.testlib.platform.StandInLogService;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Compares two ways for members to read the log: each on its own, or through a member that relays
 * and retains records for the others. Measures load and propagation latency during the death of a
 * member, a paused member and a log outage.
 *
 * <p>Prints CSV. Uses real processes and the production follower; the relay exists only here. The
 * results are wall-clock times, valid only on an otherwise idle machine.
 */
final class RelayReadBenchmark implements AutoCloseable {
  private static final int MEMBERS = 6;
  private static final int RATE = 100;
  private static final int RECORD_BYTES = 500;
  private static final int RELAY_PORT = 21_400;
  private static final long PHASE_SECONDS = 6;
  private static final long FAULT_SECONDS = 4;

  private final boolean relay;
  private final StandInLogService log = new StandInLogService("127.0.0.1", 0).start();
  private final ProcessFleet fleet;
  private final ScheduledExecutorService publisher = Executors.newSingleThreadScheduledExecutor();
  private final EntryIdGenerator ids = EntryIdGenerator.of("publisher", 1);
  private final List<String> members = new ArrayList<>();

  private RelayReadBenchmark(boolean relay, Path directory) {
    this.relay = relay;
    this.fleet = new ProcessFleet(directory, List.of("-Xmx64m", "-XX:+UseSerialGC"));
  }

  static void run() throws IOException {
    System.out.println(
        "way,phase,member,cpu_millis_per_s,applied,p50_ms,worst_ms,longest_pause_ms,log_reads_per_s");
    for (boolean relay : new boolean[] {false, true}) {
      try (RelayReadBenchmark trial =
          new RelayReadBenchmark(relay, Files.createTempDirectory("reading"))) {
        trial.runPhases();
      }
    }
  }

  private void runPhases() {
    for (int i = 0; i < MEMBERS; i++) {
      members.add("m" + i);
      fleet.start(
          "m" + i,
          RelayReadMember.class.getName(),
          List.of(sources(i), "" + (relay ? RELAY_PORT + i : 0)));
    }
    members.forEach(m -> fleet.await(m, 60, () -> fleet.output(m).contains("ready")));
    ScheduledFuture<?> publishTask =
        publisher.scheduleAtFixedRate(
            this::publish, 0, TimeUnit.SECONDS.toMicros(1) / RATE, TimeUnit.MICROSECONDS);
    awaitSeconds(PHASE_SECONDS);
    measurePhase("steady", () -> awaitSeconds(PHASE_SECONDS));
    measurePhase(
        "death of m0",
        () -> {
          fleet.kill("m0");
          awaitSeconds(PHASE_SECONDS);
        });
    members.remove("m0");
    measurePhase(
        "m1 frozen",
        () -> {
          fleet.pause("m1");
          awaitSeconds(FAULT_SECONDS);
          fleet.resume("m1");
          awaitSeconds(PHASE_SECONDS - FAULT_SECONDS);
        });
    measurePhase(
        "outage",
        () -> {
          log.log().setFaults(LogFaults.none().withDown(true));
          awaitSeconds(FAULT_SECONDS);
          log.log().setFaults(LogFaults.none());
          awaitSeconds(PHASE_SECONDS - FAULT_SECONDS);
        });
    publishTask.cancel(false);
  }

  private String sources(int member) {
    StringBuilder sources = new StringBuilder();
    for (int source = 0; relay && source < Math.min(member, 2); source++) {
      sources.append("http://127.0.0.1:").append(RELAY_PORT + source).append(',');
    }
    return sources + log.address();
  }

  private void publish() {
    var body = JsonNodeFactory.instance.objectNode();
    body.put("at", System.currentTimeMillis() * 1_000);
    body.put("filler", "x".repeat(RECORD_BYTES));
    byte[] entry = RecordCodec.encodeEntry(ids.next(), "t", body);
    var unused = log.log().append("trial", RecordCodec.encodeRecord(List.of(entry)));
  }

  /** Waits for the length of a phase, which has no condition to wait for. */
  private void awaitSeconds(long seconds) {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    fleet.await("end of phase", seconds + 60, () -> System.nanoTime() >= until);
  }

  private void measurePhase(String name, Runnable fault) {
    List<Long> cpuBefore = members.stream().map(this::cpuMillis).toList();
    List<Integer> linesBefore = members.stream().map(m -> lines(m).size()).toList();
    FakeLogService.Counts countsBefore = log.log().counts();
    long startNanos = System.nanoTime();
    fault.run();
    double seconds = (System.nanoTime() - startNanos) / 1e9;
    long reads = log.log().counts().reads() - countsBefore.reads();
    for (int i = 0; i < members.size(); i++) {
      String member = members.get(i);
      if (!fleet.isAlive(member)) {
        continue;
      }
      List<String> all = lines(member);
      List<String> newLines = all.subList(Math.min(linesBefore.get(i), all.size()), all.size());
      double cpu = (cpuMillis(member) - cpuBefore.get(i)) / seconds;
      System.out.printf(
          "%s,%s,%s,%.1f,%d,%s,%.0f%n",
          relay ? "relay" : "independent",
          name,
          member,
          cpu,
          newLines.size(),
          latencies(newLines),
          reads / seconds);
    }
  }

  /** Returns the median and maximum latency, and the longest gap between applied entries. */
  private static String latencies(List<String> lines) {
    List<Double> sorted = new ArrayList<>();
    long last = 0;
    long maxGap = 0;
    for (String line : lines) {
      String[] parts = line.split(" ", -1);
      sorted.add(Long.parseLong(parts[1]) / 1_000.0);
      long at = Long.parseLong(parts[2]);
      maxGap = last == 0 ? 0 : Math.max(maxGap, at - last);
      last = at;
    }
    sorted.sort(null);
    return sorted.isEmpty()
        ? "none,none,none"
        : String.format(
            "%.1f,%.1f,%d", sorted.get(sorted.size() / 2), sorted.get(sorted.size() - 1), maxGap);
  }

  private List<String> lines(String member) {
    return fleet.output(member).lines().filter(line -> line.matches("\\d+ -?\\d+ \\d+")).toList();
  }

  private long cpuMillis(String member) {
    return ProcessHandle.of(fleet.pid(member))
        .flatMap(handle -> handle.info().totalCpuDuration())
        .map(Duration::toMillis)
        .orElse(0L);
  }

  @Override
  public void close() {
    publisher.shutdownNow();
    fleet.close();
    log.close();
  }
}
