package io.marigoldsail.testlib.platform;

import com.google.common.base.Splitter;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.lease.UsageSample;
import io.marigoldsail.lease.WorkerStart;
import io.marigoldsail.lease.WorkerTask;
import io.marigoldsail.lease.WorkerTask.State;

/**
 * One attempt inside a {@link FakeWorker}, with its progress and end. Not thread-safe; guarded by
 * its worker.
 *
 * <p>Words in the command set its actual behaviour, independent of what its job declared: {@code
 * work=MILLIS} is the run time without interference, {@code fail} makes it fail at the end, {@code
 * noise=FACTOR} slows down all other attempts on the worker.
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

  private static double numericOption(String command, String prefix, double defaultValue) {
    for (String word : Splitter.on(' ').split(command)) {
      if (word.startsWith(prefix)) {
        return Double.parseDouble(word.substring(prefix.length()));
      }
    }
    return defaultValue;
  }

  /**
   * Advances the attempt to a time of the worker's clock; ends it if it completes or its lease
   * expires by then.
   */
  void advance(long nowMillis, double slowdown) {
    if (state != State.RUNNING) {
      return;
    }
    long untilMillis = Math.min(nowMillis, leaseDeadlineMillis);
    double rate = throttlePercent / 100.0 / slowdown;
    double remainingMillis = workMillis - progressMillis;
    long elapsedMillis = Math.max(0, untilMillis - advancedMillis);
    if (workMillis > 0 && remainingMillis <= elapsedMillis * rate) {
      end(
          fails ? State.FAILED : State.DONE,
          "",
          advancedMillis + (long) Math.ceil(remainingMillis / rate));
      return;
    }
    progressMillis += elapsedMillis * rate;
    advancedMillis = Math.max(advancedMillis, untilMillis);
    checkpointIfDue();
    if (nowMillis >= leaseDeadlineMillis) {
      end(State.LAPSED, "lease deadline passed", leaseDeadlineMillis);
    }
  }

  private void checkpointIfDue() {
    long interval = start.checkpointIntervalMillis();
    if (interval > 0 && progressMillis >= interval) {
      long dueMillis = (long) progressMillis / interval * interval;
      if (dueMillis > checkpointedMillis()) {
        checkpoint = CHECKPOINT_PREFIX + dueMillis;
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

  /**
   * Returns a usage sample as of now, at most the sizes of the task, and marks the attempt as
   * measured.
   */
  UsageSample measure(long nowMillis, double slowdown) {
    Sizes requested = start.sizes();
    Sizes used =
        new Sizes(
            requested.milliProcessors() * throttlePercent / 100,
            requested.memoryBytes(),
            requested.accelerators());
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
