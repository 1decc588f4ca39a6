package io.marigoldsail.testlib.measure;

import java.util.function.Predicate;

/**
 * A load pattern of requests. Runs its plan and a reference plan without the disturbance, under
 * both policies, for each number of entries of the deployment.
 *
 * @param name the name of the pattern with its deployment
 * @param deployment the deployment to model
 * @param plan the load with the disturbance
 * @param reference the load without the disturbance
 * @param others selects the calls that do not cause the disturbance
 * @param extraMetrics adds metrics specific to this pattern
 */
record RequestPattern(
    String name,
    Deployment deployment,
    LoadPlan plan,
    LoadPlan reference,
    Predicate<Call> others,
    ExtraMetrics extraMetrics)
    implements MeasurePattern {
  /** Adds metrics specific to one pattern. */
  @FunctionalInterface
  interface ExtraMetrics {
    void add(RequestScore score, double referenceP99, MetricPrinter printer);
  }

  /** Prints one metric of the current run. */
  @FunctionalInterface
  interface MetricPrinter {
    void print(String metric, double value);
  }

  @Override
  public void run(long seed, MeasureRows rows) {
    for (int entries : deployment.entryCounts()) {
      for (PolicyKind kind : PolicyKind.values()) {
        run(entries, kind, seed, rows);
      }
    }
  }

  private void run(int entries, PolicyKind kind, long seed, MeasureRows rows) {
    run(
        entries,
        kind,
        seed,
        (metric, value) -> rows.add(name, entries, kind.label(), metric, value));
  }

  /** Runs one policy with one number of entries and hands its metrics to the printer. */
  void run(int entries, PolicyKind kind, long seed, MetricPrinter printer) {
    RequestScore referenceScore =
        new RequestScore(RequestBench.run(deployment, entries, kind, reference, seed));
    double referenceP99 = referenceScore.percentileMillis(99, others);
    RequestScore score = new RequestScore(RequestBench.run(deployment, entries, kind, plan, seed));
    printer.print("goodput_ratio", score.goodputRatio());
    printer.print("p50_ms", score.percentileMillis(50, RequestScore.all()));
    printer.print("p99_ms", score.percentileMillis(99, RequestScore.all()));
    printer.print("reference_p99_ms", referenceP99);
    printer.print("others_p99_ms", score.percentileMillis(99, others));
    printer.print("others_served_share", score.share(others, Call.Result.SERVED));
    printer.print("refused_share", score.share(RequestScore.all(), Call.Result.REFUSED));
    printer.print(
        "late_share", score.share(RequestScore.all(), Call.Result.LATE, Call.Result.TIMED_OUT));
    printer.print("refusal_ms", score.refusalMillis());
    printer.print("tries_per_request", score.attemptsPerRequest());
    extraMetrics.add(score, referenceP99, printer);
  }
}
