package io.marigoldsail.testlib.measure;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards the metrics of the load patterns against regressions, for three entries and one seed. */
class RequestPatternsTest {
  private static final long SEED = 1;
  private static final int ENTRIES = 3;

  private static Map<String, Double> run(String name) {
    RequestPattern pattern = (RequestPattern) MeasurePatterns.findByName(name).get(0);
    Map<String, Double> metrics = new HashMap<>();
    pattern.run(ENTRIES, PolicyKind.MARIGOLDSAIL, SEED, metrics::put);
    return metrics;
  }

  private static void assertAtMost(Map<String, Double> metrics, String metric, double limit) {
    assertTrue(metrics.get(metric) <= limit, () -> metric + " over " + limit + " in " + metrics);
  }

  private static void assertAtLeast(Map<String, Double> metrics, String metric, double limit) {
    assertTrue(metrics.get(metric) >= limit, () -> metric + " under " + limit + " in " + metrics);
  }

  // Requests arrive at three times the capacity of the targets. First come, first served, all of
  // them
  // would wait past their deadlines; the scheduler must serve up to the capacity with low latency
  // and
  // refuse the rest immediately with a retry delay.
  @Test
  void servesUpToCapacityUnderOverload() {
    Map<String, Double> metrics = run("overload@vatulele");
    assertAtLeast(metrics, "goodput_ratio", 0.95);
    assertAtMost(metrics, "p99_ms", 3 * metrics.get("reference_p99_ms"));
    assertAtMost(metrics, "refusal_ms", 1);
  }

  // Ten times the usual load for a second. Requests that can meet their deadline are served, and
  // latency recovers within two seconds.
  @Test
  void servesABurstAndRecovers() {
    Map<String, Double> metrics = run("burst@kitamizora");
    assertAtLeast(metrics, "burst_goodput_ratio", 0.94);
    assertAtMost(metrics, "recovery_s", 2);
  }

  // One caller sends ten times as many requests as each other; others must not be affected.
  @Test
  void isolatesOthersFromAHotCaller() {
    Map<String, Double> metrics = run("hot-caller@vatulele");
    assertAtMost(metrics, "others_p99_ms", 1.2 * metrics.get("reference_p99_ms"));
    assertAtLeast(metrics, "others_served_share", 0.99);
  }

  // One key is requested ten times as often as the others; others must not be affected.
  @Test
  void isolatesOthersFromAHotKey() {
    Map<String, Double> metrics = run("hot-key@vatulele");
    assertAtMost(metrics, "others_p99_ms", 1.2 * metrics.get("reference_p99_ms"));
    assertAtLeast(metrics, "others_served_share", 0.99);
  }

  // One target is ten times slower for ten seconds and recovers.
  @Test
  void avoidsASlowTargetWithinASecond() {
    Map<String, Double> metrics = run("slow-target@vatulele");
    assertAtMost(metrics, "slow_share", 0.02);
    assertAtMost(metrics, "slow_p99_ms", 1.5 * metrics.get("reference_p99_ms"));
    assertAtMost(metrics, "recovery_s", 10);
  }

  // One request in twenty takes fifty times as long. Round robin queues short requests behind them.
  @Test
  void shortRequestsDoNotQueueBehindLongOnes() {
    Map<String, Double> metrics = run("long-among-short@kitamizora");
    assertAtMost(metrics, "others_p99_ms", 2 * metrics.get("reference_p99_ms"));
  }

  // Two targets fail all requests within a millisecond. Since they are idle, load-based routing
  // would send them more requests.
  @Test
  void avoidsFailingTargetsWithoutARetryStorm() {
    Map<String, Double> metrics = run("failing-targets@vatulele");
    assertAtMost(metrics, "tries_per_request", 1.1);
    assertAtMost(metrics, "failed_share", 0.001);
  }

  // Load reports are a second old. Limits that follow such reports immediately oscillate between
  // full
  // and idle, and requests are rejected five times each.
  @Test
  void staysStableWithDelayedReports() {
    Map<String, Double> metrics = run("late-reports@vatulele");
    assertAtMost(metrics, "tries_per_request", 1.1);
    assertAtMost(metrics, "p99_ms", 1.5 * metrics.get("reference_p99_ms"));
    assertAtLeast(metrics, "goodput_ratio", 0.99);
  }
}
