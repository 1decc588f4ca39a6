package io.marigoldsail.testlib.measure;

import com.google.common.collect.ImmutableList;

/**
 * Measures latency and goodput against load, from 0.1 to 3 times the capacity.
 *
 * <p>Metric names contain the load in percent of the capacity, such as {@code p99_ms_at_150}.
 *
 * @param deployment the deployment to model
 */
record LoadCurve(Deployment deployment) implements MeasurePattern {
  static final ImmutableList<Integer> LOADS =
      ImmutableList.of(10, 30, 50, 70, 80, 90, 95, 100, 110, 130, 150, 200, 300);
  private static final int SECONDS = 15;
  private static final int MEASURED_FROM = 7;

  /** The results at one load. */
  record Point(int load, double p50Millis, double p99Millis, double goodputRatio) {}

  @Override
  public String name() {
    return deployment.patternName("load-curve");
  }

  @Override
  public void run(long seed, MeasureRows rows) {
    for (int entries : deployment.entryCounts()) {
      for (PolicyKind kind : PolicyKind.values()) {
        for (Point point : points(entries, kind, seed)) {
          String suffix = "_at_" + point.load();
          rows.add(name(), entries, kind.label(), "p50_ms" + suffix, point.p50Millis());
          rows.add(name(), entries, kind.label(), "p99_ms" + suffix, point.p99Millis());
          rows.add(name(), entries, kind.label(), "goodput_ratio" + suffix, point.goodputRatio());
        }
      }
    }
  }

  /** Returns the points of a curve, in order of load. */
  ImmutableList<Point> points(int entries, PolicyKind kind, long seed) {
    ImmutableList.Builder<Point> points = ImmutableList.builder();
    for (int load : LOADS) {
      LoadPlan plan = LoadPlan.of(SECONDS, MEASURED_FROM, LoadPlan.Stream.ordinary(load / 100.0));
      RequestScore score =
          new RequestScore(RequestBench.run(deployment, entries, kind, plan, seed));
      points.add(
          new Point(
              load,
              score.percentileMillis(50, RequestScore.all()),
              score.percentileMillis(99, RequestScore.all()),
              score.goodputRatio()));
    }
    return points.build();
  }
}
