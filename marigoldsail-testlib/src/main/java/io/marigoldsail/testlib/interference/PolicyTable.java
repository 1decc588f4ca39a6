package io.marigoldsail.testlib.interference;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.LongStream;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;

/**
 * A table of policies on the same days: means, and differences from the production policy with 95%
 * confidence intervals.
 *
 * <p>Immutable.
 */
final class PolicyTable {
  private static final double CONFIDENCE = 0.95;

  private final FleetShape shape;
  private final int days;
  private final Map<FleetPolicy, List<FleetScore>> scores;

  private PolicyTable(FleetShape shape, int days, Map<FleetPolicy, List<FleetScore>> scores) {
    this.shape = shape;
    this.days = days;
    this.scores = scores;
  }

  /**
   * Simulates days in parallel on all processors.
   *
   * @param days the number of days, at least 2
   * @param seed the seed of the first day; later days use the following seeds
   */
  static PolicyTable play(FleetShape shape, int days, long seed) {
    Map<FleetPolicy, List<FleetScore>> scores = new EnumMap<>(FleetPolicy.class);
    for (FleetPolicy policy : FleetPolicy.values()) {
      scores.put(
          policy,
          LongStream.range(seed, seed + days)
              .parallel()
              .mapToObj(daySeed -> FleetRun.play(FleetDay.of(shape, daySeed), policy))
              .toList());
    }
    return new PolicyTable(shape, days, scores);
  }

  /** Returns the table in Markdown. */
  List<String> lines() {
    List<String> lines = new ArrayList<>();
    lines.add(String.format(Locale.ROOT, "## %s, %d days", shape, days));
    lines.add("");
    lines.add(
        "| policy | worth | small | heavy | lasting | over target, s | to the product, 95% |"
            + " of the oracle |");
    lines.add("| --- | --- | --- | --- | --- | --- | --- | --- |");
    double oracle = value(FleetPolicy.ORACLE).getMean();
    for (FleetPolicy policy : FleetPolicy.values()) {
      lines.add(line(policy, oracle));
    }
    lines.add("");
    return lines;
  }

  private String line(FleetPolicy policy, double oracle) {
    List<FleetScore> policyScores = scores.get(policy);
    double over =
        policyScores.stream().mapToDouble(FleetScore::overTargetSeconds).average().orElse(0);
    SummaryStatistics difference = new SummaryStatistics();
    for (int i = 0; i < days; i++) {
      difference.addValue(
          policyScores.get(i).value() - scores.get(FleetPolicy.PRODUCT).get(i).value());
    }
    return String.format(
        Locale.ROOT,
        "| %s | %.3f | %.3f | %.3f | %.3f | %.0f | %+.3f ± %.3f | %.0f%% |",
        policy.label(),
        value(policy).getMean(),
        earnedShare(policy, WorkKind.SMALL),
        earnedShare(policy, WorkKind.HEAVY),
        earnedShare(policy, WorkKind.SERVICE),
        over,
        difference.getMean(),
        halfInterval(difference),
        100 * value(policy).getMean() / oracle);
  }

  private SummaryStatistics value(FleetPolicy policy) {
    SummaryStatistics worth = new SummaryStatistics();
    scores.get(policy).forEach(score -> worth.addValue(score.value()));
    return worth;
  }

  private double earnedShare(FleetPolicy policy, WorkKind kind) {
    return scores.get(policy).stream()
        .mapToDouble(score -> score.earnedShare(kind))
        .average()
        .orElse(0);
  }

  private static double halfInterval(SummaryStatistics difference) {
    TDistribution distribution = new TDistribution(difference.getN() - 1.0);
    double quantile = distribution.inverseCumulativeProbability((1 + CONFIDENCE) / 2);
    return quantile * difference.getStandardDeviation() / Math.sqrt(difference.getN());
  }
}
