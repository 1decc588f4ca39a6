package io.marigoldsail.testlib.measure;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Holds the decisions to the figures that were reached, for three entries and one seed. */
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

  // Three times as many motorists ask as the targets can answer. First come first served, all of
  // them wait until nobody's answer is of use; here as many as fit are answered quickly, and the
  // rest are told at once when to come back.
  @Test
  void servesUpToCapacityUnderOverload() {
    Map<String, Double> metrics = run("overload@vatulele");
    assertAtLeast(metrics, "goodput_ratio", 0.95);
    assertAtMost(metrics, "p99_ms", 3 * metrics.get("reference_p99_ms"));
    assertAtMost(metrics, "refusal_ms", 1);
  }

  // Ten times the usual load for a second. What fits its deadline is served, and two seconds later
  // nothing is left of it.
  @Test
  void servesABurstAndRecovers() {
    Map<String, Double> metrics = run("burst@kitamizora");
    assertAtLeast(metrics, "burst_goodput_ratio", 0.94);
    assertAtMost(metrics, "recovery_s", 2);
  }

  // One tour operator's script asks ten times as often as all others; dispatchers must not feel it.
  @Test
  void isolatesOthersFromAHotCaller() {
    Map<String, Double> metrics = run("hot-caller@vatulele");
    assertAtMost(metrics, "others_p99_ms", 1.2 * metrics.get("reference_p99_ms"));
    assertAtLeast(metrics, "others_served_share", 0.99);
  }

  // On market day one lot is asked about ten times as often as the others.
  @Test
  void isolatesOthersFromAHotKey() {
    Map<String, Double> metrics = run("hot-key@vatulele");
    assertAtMost(metrics, "others_p99_ms", 1.2 * metrics.get("reference_p99_ms"));
    assertAtLeast(metrics, "others_served_share", 0.99);
  }

  // One target becomes ten times slower for ten seconds and recovers.
  @Test
  void avoidsASlowTargetWithinASecond() {
    Map<String, Double> metrics = run("slow-target@vatulele");
    assertAtMost(metrics, "slow_share", 0.02);
    assertAtMost(metrics, "slow_p99_ms", 1.5 * metrics.get("reference_p99_ms"));
    assertAtMost(metrics, "recovery_s", 10);
  }

  // One request in twenty takes fifty times as long. Round robin puts short ones behind them.
  @Test
  void shortRequestsDoNotQueueBehindLongOnes() {
    Map<String, Double> metrics = run("long-among-short@kitamizora");
    assertAtMost(metrics, "others_p99_ms", 2 * metrics.get("reference_p99_ms"));
  }

  // Two targets fail everything in a millisecond; being idle, they would attract the rest.
  @Test
  void avoidsFailingTargetsWithoutARetryStorm() {
    Map<String, Double> metrics = run("failing-targets@vatulele");
    assertAtMost(metrics, "tries_per_request", 1.1);
    assertAtMost(metrics, "failed_share", 0.001);
  }

  // Side processes report what was true a second ago. Limits that follow such reports at once swing
  // between full and idle: requests were turned away five times each.
  @Test
  void staysStableWithDelayedReports() {
    Map<String, Double> metrics = run("late-reports@vatulele");
    assertAtMost(metrics, "tries_per_request", 1.1);
    assertAtMost(metrics, "p99_ms", 1.5 * metrics.get("reference_p99_ms"));
    assertAtLeast(metrics, "goodput_ratio", 0.99);
  }
}
