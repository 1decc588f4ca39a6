package io.marigoldsail.testlib.measure;

import io.marigoldsail.guard.GuardPolicy;
import io.marigoldsail.job.TaskTable;

/** Measures tasks co-located with services under one disturbance in one deployment. */
final class TaskPattern implements MeasurePattern {
  private static final String PRODUCT = "marigoldsail";
  private static final String BASELINE = "baseline";

  private final TaskDisturbance disturbance;
  private final Deployment deployment;

  TaskPattern(TaskDisturbance disturbance, Deployment deployment) {
    this.disturbance = disturbance;
    this.deployment = deployment;
  }

  @Override
  public String name() {
    return deployment.patternName(disturbance.label());
  }

  @Override
  public void run(long seed, MeasureRows rows) {
    double reference = reference(seed);
    TaskTable baselineTable = new TaskTable();
    TaskScore baseline = bench(new TaskDecider.Baseline(), baselineTable, false, seed).run();
    TaskTable table = new TaskTable();
    GuardPolicy guardPolicy =
        deployment == Deployment.VATULELE ? GuardPolicy.VATULELE : GuardPolicy.KITAMIZORA;
    TaskScore product =
        bench(new TaskDecider.Product(table, guardPolicy, seed), table, true, seed).run();
    add(rows, PRODUCT, product, reference, baseline);
    add(rows, BASELINE, baseline, reference, baseline);
  }

  /** Returns the 99th percentile latency of services without batch work, in milliseconds. */
  private double reference(long seed) {
    TaskLoad noLoad = TaskLoad.of(seed, 0, false, false);
    noLoad.submissions().clear();
    return new TaskBench(
            disturbance, noLoad, new TaskDecider.Baseline(), new TaskTable(), false, seed)
        .run()
        .serviceP99Millis();
  }

  private TaskBench bench(TaskDecider decider, TaskTable table, boolean fair, long seed) {
    TaskLoad load =
        TaskLoad.of(
            seed,
            TaskBench.HORIZON_MILLIS,
            disturbance == TaskDisturbance.NOISY_WAVE,
            disturbance == TaskDisturbance.WRONG_SIZES);
    return new TaskBench(disturbance, load, decider, table, fair, seed);
  }

  private void add(
      MeasureRows rows, String policy, TaskScore score, double reference, TaskScore baseline) {
    String name = name();
    rows.add(name, 1, policy, "service_p99_ms", score.serviceP99Millis());
    rows.add(name, 1, policy, "reference_p99_ms", reference);
    rows.add(
        name,
        1,
        policy,
        "throughput_ratio",
        score.usefulWorkSeconds() / baseline.usefulWorkSeconds());
    rows.add(name, 1, policy, "evictions", (double) score.evictions());
    rows.add(name, 1, policy, "urgent_p99_s", score.urgentP99Seconds());
    rows.add(name, 1, policy, "lost_work_s", score.lostWorkSeconds());
    rows.add(name, 1, policy, "failed_tasks", (double) score.failedTasks());
    rows.add(name, 1, policy, "records_per_s", score.recordsPerSecond());
  }
}
