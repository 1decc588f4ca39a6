package io.marigoldsail.testlib.measure;

import com.google.common.collect.ImmutableList;

/**
 * Latency and goodput against load, from a tenth to three times the capacity.
 *
 * <p>Metrics carry the load in hundredths of the capacity: {@code p99_ms_at_150} and the like.
 *
 * @param deployment whose distances hold
 */
record LoadCurve(Deployment deployment) implements MeasurePattern {
  static final ImmutableList<Integer> LOADS =
      ImmutableList.of(10, 30, 50, 70, 80, 90, 95, 100, 110, 130, 150, 200, 300);
  private static final int SECONDS = 15;
  private static final int MEASURED_FROM = 7;

  /** What is known of one load. */
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
          String at = "_at_" + point.load();
          rows.add(name(), entries, kind.label(), "p50_ms" + at, point.p50Millis());
          rows.add(name(), entries, kind.label(), "p99_ms" + at, point.p99Millis());
          rows.add(name(), entries, kind.label(), "goodput_ratio" + at, point.goodputRatio());
        }
      }
    }
  }

  /** Returns the points of one curve in order of load. */
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
