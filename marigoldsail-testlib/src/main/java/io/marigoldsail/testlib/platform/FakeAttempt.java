package io.marigoldsail.testlib.platform;

import com.google.common.base.Splitter;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.lease.UsageSample;
import io.marigoldsail.lease.WorkerStart;
import io.marigoldsail.lease.WorkerTask;
import io.marigoldsail.lease.WorkerTask.State;

/**
 * One attempt inside a {@link FakeWorker}: how far it is, and what ends it. Confined to its worker.
 *
 * <p>The command may hold words that say how it truly behaves, whatever its job declared: {@code
 * work=MILLIS} is its run time undisturbed, {@code fail} lets it fail at the end, {@code
 * noise=FACTOR} slows all others on the worker down.
 */
final class FakeAttempt {
  private static final String CHECKPOINT_PREFIX = "progress-";

  private final WorkerStart start;
  private final long startedMillis;
  private final long workMillis;
  private final boolean fails;
  private final double slowdownOfOthers;
  private long leaseDeadlineMillis;
  private long advancedMillis;
  private double progressMillis;
  private long lastMeasuredMillis;
  private int throttlePercent = 100;
  private String checkpoint;
  private State state = State.RUNNING;
  private String detail = "";
  private long endedMillis;

  FakeAttempt(WorkerStart start, long nowMillis) {
    this.start = start;
    this.startedMillis = nowMillis;
    this.advancedMillis = nowMillis;
    this.lastMeasuredMillis = nowMillis;
    this.leaseDeadlineMillis = start.leaseDeadlineMillis();
    this.workMillis = (long) numericOption(start.command(), "work=", start.runMillis());
    this.slowdownOfOthers = numericOption(start.command(), "noise=", 1);
    this.fails = Splitter.on(' ').splitToList(start.command()).contains("fail");
    this.checkpoint = start.checkpoint();
    if (checkpoint.startsWith(CHECKPOINT_PREFIX)) {
      progressMillis = Double.parseDouble(checkpoint.substring(CHECKPOINT_PREFIX.length()));
    }
  }

  private static double numericOption(String command, String prefix, double otherwise) {
    for (String word : Splitter.on(' ').split(command)) {
      if (word.startsWith(prefix)) {
        return Double.parseDouble(word.substring(prefix.length()));
      }
    }
    return otherwise;
  }

  /** Lets time pass up to a reading of the worker's clock, ending the attempt where it is due. */
  void advance(long nowMillis, double slowdown) {
    if (state != State.RUNNING) {
      return;
    }
    long until = Math.min(nowMillis, leaseDeadlineMillis);
    double rate = throttlePercent / 100.0 / slowdown;
    double left = workMillis - progressMillis;
    long passed = Math.max(0, until - advancedMillis);
    if (workMillis > 0 && left <= passed * rate) {
      end(fails ? State.FAILED : State.DONE, "", advancedMillis + (long) Math.ceil(left / rate));
      return;
    }
    progressMillis += passed * rate;
    advancedMillis = Math.max(advancedMillis, until);
    checkpointIfDue();
    if (nowMillis >= leaseDeadlineMillis) {
      end(State.LAPSED, "lease deadline passed", leaseDeadlineMillis);
    }
  }

  private void checkpointIfDue() {
    long interval = start.checkpointIntervalMillis();
    if (interval > 0 && progressMillis >= interval) {
      long due = (long) progressMillis / interval * interval;
      if (due > checkpointedMillis()) {
        checkpoint = CHECKPOINT_PREFIX + due;
      }
    }
  }

  private long checkpointedMillis() {
    return checkpoint.startsWith(CHECKPOINT_PREFIX)
        ? Long.parseLong(checkpoint.substring(CHECKPOINT_PREFIX.length()))
        : 0;
  }

  void checkpointNow() {
    checkpoint = CHECKPOINT_PREFIX + (long) progressMillis;
  }

  void end(State newState, String newDetail, long atMillis) {
    state = newState;
    detail = newDetail;
    endedMillis = atMillis;
  }

  void renew(long newDeadlineMillis) {
    leaseDeadlineMillis = Math.max(leaseDeadlineMillis, newDeadlineMillis);
  }

  void throttle(int percent) {
    throttlePercent = percent;
  }

  double slowdownOfOthers() {
    return slowdownOfOthers;
  }

  long token() {
    return start.token();
  }

  Sizes sizes() {
    return start.sizes();
  }

  long lastMeasuredMillis() {
    return lastMeasuredMillis;
  }

  /** Returns what was used since the last measurement, at most one task's limits. */
  UsageSample measure(long nowMillis, double slowdown) {
    Sizes asked = start.sizes();
    Sizes used =
        new Sizes(
            asked.milliProcessors() * throttlePercent / 100,
            asked.memoryBytes(),
            asked.accelerators());
    lastMeasuredMillis = nowMillis;
    return new UsageSample(start.task(), start.token(), nowMillis, used, slowdown);
  }

  WorkerTask describe() {
    return new WorkerTask(
        start.task(), start.attempt(), start.token(), state, start.sizes(), checkpoint, detail);
  }

  WorkerRun run(String worker, long incarnation) {
    return new WorkerRun(
        worker,
        incarnation,
        start.task(),
        start.attempt(),
        start.token(),
        start.checkpoint(),
        startedMillis,
        endedMillis,
        state);
  }
}
