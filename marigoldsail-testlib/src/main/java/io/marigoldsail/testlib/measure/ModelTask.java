package io.marigoldsail.testlib.measure;

import io.marigoldsail.guard.GuardedTask;
import io.marigoldsail.guard.PreemptableTask;
import io.marigoldsail.job.JobSpec;
import io.marigoldsail.job.Sizes;

/**
 * A running attempt in the model, with its actual behaviour independent of what its job declared.
 */
final class ModelTask {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final double FULL_PERCENT = 100;

  private final String name;
  private final JobSpec spec;
  private final TaskKind kind;
  private final Sizes booked;
  private final long token;
  private final double workMillis;
  private final long startedMillis;
  private double progressMillis;
  private double checkpointMillis;
  private long checkpointedAtMillis;
  private int throttlePercent = 100;

  ModelTask(
      String name,
      JobSpec spec,
      TaskKind kind,
      Sizes booked,
      long token,
      double workMillis,
      double resumedMillis,
      long nowMillis) {
    this.name = name;
    this.spec = spec;
    this.kind = kind;
    this.booked = booked;
    this.token = token;
    this.workMillis = workMillis;
    this.progressMillis = resumedMillis;
    this.checkpointMillis = resumedMillis;
    this.startedMillis = nowMillis;
    this.checkpointedAtMillis = nowMillis;
  }

  String name() {
    return name;
  }

  JobSpec spec() {
    return spec;
  }

  TaskKind kind() {
    return kind;
  }

  long token() {
    return token;
  }

  double throttleFraction() {
    return throttlePercent / FULL_PERCENT;
  }

  void throttleFraction(int percent) {
    throttlePercent = percent;
  }

  double progressMillis() {
    return progressMillis;
  }

  double checkpointMillis() {
    return checkpointMillis;
  }

  boolean done() {
    return progressMillis >= workMillis;
  }

  Sizes used() {
    return new Sizes((long) (kind.milliProcessors() * throttleFraction()), kind.memoryBytes(), 0);
  }

  /** Advances the attempt and returns the work done, in milliseconds. */
  double advance(double millis, double slowdown, long nowMillis) {
    double work = Math.min(workMillis - progressMillis, millis * throttleFraction() / slowdown);
    progressMillis += work;
    if (nowMillis - checkpointedAtMillis >= spec.checkpointIntervalMillis()) {
      checkpoint(nowMillis);
    }
    return work;
  }

  void checkpoint(long nowMillis) {
    checkpointMillis = progressMillis;
    checkpointedAtMillis = nowMillis;
  }

  PreemptableTask preemptable(long nowMillis) {
    return new PreemptableTask(
        name,
        token,
        spec.taskClass(),
        spec.urgent(),
        true,
        booked,
        nowMillis - checkpointedAtMillis,
        0,
        0);
  }

  GuardedTask guarded(double expectedSlowdown) {
    return new GuardedTask(
        token,
        spec.program(),
        booked,
        used(),
        startedMillis * NANOS_PER_MILLI,
        checkpointedAtMillis * NANOS_PER_MILLI,
        0,
        expectedSlowdown,
        true);
  }
}
