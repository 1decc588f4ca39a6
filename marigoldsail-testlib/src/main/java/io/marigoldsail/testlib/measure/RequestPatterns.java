package io.marigoldsail.testlib.measure;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.testlib.measure.LoadPlan.Stream;
import io.marigoldsail.testlib.measure.LoadPlan.TargetChange;
import java.util.List;
import java.util.function.Predicate;

/** The load patterns of requests, each for both deployments. */
final class RequestPatterns {
  private static final String HOT_CALLER = "hot-caller";
  private static final String HOT_KEY = "hot-key";
  private static final int SLOW_TARGET = 4;
  private static final double SLOW_FROM = 10;
  private static final double SLOW_TO = 20;
  private static final double SLOWDOWN = 10;
  private static final double BURST_FROM = 10;
  private static final double BURST_TO = 11;
  private static final double RECOVERED_SHARE = 0.8;
  private static final double RECOVERED_P99_FACTOR = 1.5;
  private static final RequestPattern.ExtraMetrics NO_EXTRA_METRICS = (score, p99, printer) -> {};

  private RequestPatterns() {}

  static List<MeasurePattern> all() {
    ImmutableList.Builder<MeasurePattern> patterns = ImmutableList.builder();
    for (Deployment deployment : Deployment.PRODUCTION) {
      patterns.add(overload(deployment));
      patterns.add(burst(deployment));
      patterns.add(hotCaller(deployment));
      patterns.add(hotKey(deployment));
      patterns.add(slowTarget(deployment));
      patterns.add(longAmongShort(deployment));
      patterns.add(failingTargets(deployment));
      patterns.add(lateReports(deployment));
      patterns.add(combined(deployment));
      patterns.add(new LoadCurve(deployment));
    }
    patterns.add(overloadFromIdle());
    patterns.add(hotCallerOnLoopback());
    return patterns.build();
  }

  /** Three times what the targets can serve; the reference is a third of it. */
  private static RequestPattern overload(Deployment deployment) {
    return pattern(
        "overload",
        deployment,
        LoadPlan.of(30, 10, Stream.ordinary(3)),
        LoadPlan.of(30, 10, Stream.ordinary(0.3)),
        RequestScore.all(),
        NO_EXTRA_METRICS);
  }

  /** Three times what fits from the first moment on, by callers that don't come back. */
  private static RequestPattern overloadFromIdle() {
    return pattern(
        "overload",
        Deployment.LOOPBACK,
        LoadPlan.of(10, 3, Stream.ordinary(3)),
        LoadPlan.of(10, 3, Stream.ordinary(0.5)),
        RequestScore.all(),
        (score, p99, printer) -> {
          RequestScore fromOne = score.between(1, 10);
          printer.print("goodput_ratio_from_1_s", fromOne.goodputRatio());
          printer.print("goodput_ratio_of_arrivals_from_1_s", fromOne.arrivedGoodputRatio());
          printer.print("p99_ms_from_1_s", fromOne.percentileMillis(99, RequestScore.all()));
          printer.print(
              "p99_ms_from_0_s", score.between(0, 10).percentileMillis(99, RequestScore.all()));
        });
  }

  /** Half of what fits from eight callers, and one more that alone sends twice what fits. */
  private static RequestPattern hotCallerOnLoopback() {
    LoadPlan calm = LoadPlan.of(10, 3, Stream.ordinary(0.5));
    return pattern(
        HOT_CALLER,
        Deployment.LOOPBACK,
        calm.with(Stream.ordinary(2).withCaller(HOT_CALLER)),
        calm,
        call -> !call.plan.caller().equals(HOT_CALLER),
        NO_EXTRA_METRICS);
  }

  /** Ten times the load of 0.3 for a second: two seconds of work too much. */
  private static RequestPattern burst(Deployment deployment) {
    LoadPlan calm = LoadPlan.of(20, 5, Stream.ordinary(0.3));
    return pattern(
        "burst",
        deployment,
        calm.with(Stream.ordinary(2.7).between(BURST_FROM, BURST_TO)),
        calm,
        RequestScore.all(),
        (score, p99, printer) -> {
          // The last of the burst that fit their deadline are answered a second after its end.
          printer.print(
              "burst_goodput_ratio", score.between(BURST_FROM, BURST_TO + 1).goodputRatio());
          printer.print("recovery_s", score.recoverySeconds(BURST_TO, RECOVERED_P99_FACTOR * p99));
        });
  }

  /** One of 20 callers sends ten times its share of a load of 0.8: more than fits. */
  private static RequestPattern hotCaller(Deployment deployment) {
    LoadPlan calm = LoadPlan.of(30, 10, Stream.ordinary(0.8));
    return pattern(
        "hot-caller",
        deployment,
        calm.with(Stream.ordinary(0.4).withCaller(HOT_CALLER)),
        calm,
        call -> !call.plan.caller().equals(HOT_CALLER),
        NO_EXTRA_METRICS);
  }

  /** One of 20 keys is asked about ten times as often as the others, by all callers. */
  private static RequestPattern hotKey(Deployment deployment) {
    LoadPlan calm = LoadPlan.of(30, 10, Stream.ordinary(0.8));
    return pattern(
        "hot-key",
        deployment,
        calm.with(Stream.ordinary(0.4).withKey(HOT_KEY)),
        calm,
        call -> !call.plan.key().equals(HOT_KEY),
        NO_EXTRA_METRICS);
  }

  /** One target is ten times slower for 10 s. */
  private static RequestPattern slowTarget(Deployment deployment) {
    LoadPlan calm = LoadPlan.of(35, 5, Stream.ordinary(0.6));
    return pattern(
        "slow-target",
        deployment,
        calm.with(new TargetChange(SLOW_FROM, SLOW_TARGET, SLOWDOWN, false))
            .with(new TargetChange(SLOW_TO, SLOW_TARGET, 1, false)),
        calm,
        RequestScore.all(),
        RequestPatterns::addSlowTarget);
  }

  private static void addSlowTarget(
      RequestScore score, double referenceP99, RequestPattern.MetricPrinter printer) {
    double before = score.between(5, SLOW_FROM).targetShare(SLOW_TARGET);
    RequestScore slow = score.between(SLOW_FROM, SLOW_TO);
    printer.print("slow_p99_ms", slow.percentileMillis(99, RequestScore.all()));
    printer.print("slow_share", score.between(SLOW_FROM + 1, SLOW_TO).targetShare(SLOW_TARGET));
    printer.print(
        "recovery_s", score.shareRecoverySeconds(SLOW_TO, SLOW_TARGET, RECOVERED_SHARE * before));
  }

  /** One request in twenty takes fifty times as long; the short ones alone are a load of 0.2. */
  private static RequestPattern longAmongShort(Deployment deployment) {
    LoadPlan calm = LoadPlan.of(40, 10, Stream.ordinary(0.2));
    return pattern(
        "long-among-short",
        deployment,
        calm.with(Stream.ordinary(0.2 * 0.05 / 0.95).withLengthFactor(50)),
        calm,
        call -> !call.plan.longRunning(),
        NO_EXTRA_METRICS);
  }

  /** Two targets fail everything at once, in a millisecond, for 15 s. */
  private static RequestPattern failingTargets(Deployment deployment) {
    LoadPlan calm = LoadPlan.of(35, 5, Stream.ordinary(0.6));
    return pattern(
        "failing-targets",
        deployment,
        calm.with(new TargetChange(10, 3, 1, true))
            .with(new TargetChange(10, 7, 1, true))
            .with(new TargetChange(25, 3, 1, false))
            .with(new TargetChange(25, 7, 1, false)),
        calm,
        RequestScore.all(),
        (score, p99, printer) ->
            printer.print("failed_share", score.share(RequestScore.all(), Call.Result.FAILED)));
  }

  /** All loads that are reported are up to a second old, at a load of 0.8. */
  private static RequestPattern lateReports(Deployment deployment) {
    LoadPlan calm = LoadPlan.of(30, 10, Stream.ordinary(0.8));
    return pattern(
        "late-reports",
        deployment,
        calm.withReportInterval(1_000_000_000L),
        calm,
        RequestScore.all(),
        NO_EXTRA_METRICS);
  }

  /** All of the above together on a load of 0.5. */
  private static RequestPattern combined(Deployment deployment) {
    LoadPlan calm = LoadPlan.of(35, 5, Stream.ordinary(0.5));
    Predicate<Call> innocent =
        call ->
            !call.plan.longRunning()
                && !call.plan.caller().equals(HOT_CALLER)
                && !call.plan.key().equals(HOT_KEY);
    LoadPlan plan =
        calm.with(Stream.ordinary(0.25).withCaller(HOT_CALLER))
            .with(Stream.ordinary(0.25).withKey(HOT_KEY))
            .with(Stream.ordinary(0.003).withLengthFactor(50))
            .with(Stream.ordinary(4.5).between(BURST_FROM, BURST_TO))
            .with(new TargetChange(SLOW_FROM, SLOW_TARGET, SLOWDOWN, false))
            .with(new TargetChange(SLOW_TO, SLOW_TARGET, 1, false))
            .with(new TargetChange(10, 7, 1, true))
            .with(new TargetChange(25, 7, 1, false));
    return pattern(
        "all-at-once",
        deployment,
        plan,
        calm,
        innocent,
        (score, p99, printer) -> {
          addSlowTarget(score, p99, printer);
          // Without the calls of the burst, whose wait is bounded by their deadline alone.
          printer.print(
              "others_p99_ms_after_burst",
              score.between(BURST_TO + 2, 35).percentileMillis(99, innocent));
        });
  }

  private static RequestPattern pattern(
      String name,
      Deployment deployment,
      LoadPlan plan,
      LoadPlan reference,
      Predicate<Call> others,
      RequestPattern.ExtraMetrics extra) {
    return new RequestPattern(
        deployment.patternName(name), deployment, plan, reference, others, extra);
  }
}
