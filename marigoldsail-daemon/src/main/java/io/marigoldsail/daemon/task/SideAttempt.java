package io.marigoldsail.daemon.task;

import io.marigoldsail.guard.GuardedTask;
import io.marigoldsail.job.Programs;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.lease.UsageSample;
import io.marigoldsail.lease.WorkerTask;
import io.marigoldsail.protocol.StartTask;
import io.marigoldsail.protocol.TaskReport;

/** State of an attempt at its side process. Not thread-safe. */
final class SideAttempt {
  /** A phase of an attempt's life cycle at its side process. */
  enum Phase {
    /** A start was sent to the worker, which has not confirmed it. */
    UNCERTAIN,
    /** The worker runs it. */
    RUNNING,
    /** It must stop, and the worker has not confirmed the stop. */
    STOPPING,
    /** It no longer runs; its report is resent until an entry acknowledges it. */
    ENDED
  }

  private static final double PERMILLE = 1_000;

  private final String task;
  private final int attempt;
  private final long token;
  private final Sizes sizes;
  private boolean latencyCritical;
  private Phase phase;
  private long leaseMillis;
  private long grantedDeadlineNanos = Long.MIN_VALUE;
  private String checkpoint = "";
  private String reportedCheckpoint = "";
  private String detail = "";
  private boolean evicted;
  private String program = "";
  private long startedNanos;
  private long checkpointedNanos;
  private long finishByMillis;
  private boolean evictable;
  private double expectedSlowdown;
  private Sizes used;
  private double reportedSlowdown;
  private int throttlePercent = 100;
  private TaskReport.State end = TaskReport.State.STATE_UNSPECIFIED;

  SideAttempt(
      String task,
      int attempt,
      long token,
      Sizes sizes,
      boolean latencyCritical,
      long leaseMillis,
      Phase phase) {
    this.task = task;
    this.attempt = attempt;
    this.token = token;
    this.sizes = sizes;
    this.latencyCritical = latencyCritical;
    this.leaseMillis = leaseMillis;
    this.phase = phase;
    this.used = sizes;
  }

  /** Creates an attempt that the worker has been running since before this process started. */
  static SideAttempt adopted(WorkerTask task) {
    // The next StartTask of an entry gives the length of the lease and the class of the task. Until
    // then the lease is not renewed, and the attempt counts as latency-critical and is not evicted.
    SideAttempt adopted =
        new SideAttempt(
            task.task(), task.attempt(), task.token(), task.sizes(), true, 0, Phase.RUNNING);
    adopted.checkpoint = task.checkpoint();
    return adopted;
  }

  String task() {
    return task;
  }

  int attempt() {
    return attempt;
  }

  long token() {
    return token;
  }

  Sizes sizes() {
    return sizes;
  }

  boolean latencyCritical() {
    return latencyCritical;
  }

  Phase phase() {
    return phase;
  }

  void setPhase(Phase newPhase) {
    phase = newPhase;
  }

  /** Returns whether the attempt may still use its resources. */
  boolean occupiesCapacity() {
    return phase != Phase.ENDED;
  }

  long leaseMillis() {
    return leaseMillis;
  }

  /** Applies an entry's start message, to a new attempt or to one adopted from the worker. */
  void applyStart(StartTask start, long nowNanos) {
    leaseMillis = start.getLeaseMillis();
    latencyCritical = start.getLatencyCritical();
    program = Programs.nameOf(start.getTeam(), start.getCommand());
    finishByMillis = start.getFinishByMillis();
    expectedSlowdown = start.getNoisePermille() / PERMILLE;
    evictable = start.getIdempotent() || start.getCheckpointIntervalMillis() > 0;
    if (startedNanos == 0) {
      startedNanos = nowNanos;
      checkpointedNanos = nowNanos;
    }
  }

  /** Returns the percentage of its processors that it may use. */
  int throttlePercent() {
    return throttlePercent;
  }

  void recordThrottle(int percent) {
    throttlePercent = percent;
  }

  /** Returns the state that the guard of the VM decides on. */
  GuardedTask toGuardedTask() {
    return new GuardedTask(
        token,
        program,
        sizes,
        used,
        startedNanos,
        checkpointedNanos,
        finishByMillis,
        expectedSlowdown,
        evictable);
  }

  /**
   * Records a measurement if it differs from the last recorded one by more than the given fraction,
   * and returns whether it does.
   */
  boolean recordUsage(UsageSample sample, double fraction) {
    boolean changed =
        differsBy(sample.used().milliProcessors(), used.milliProcessors(), fraction)
            || differsBy(sample.used().memoryBytes(), used.memoryBytes(), fraction)
            || Math.abs(sample.slowdown() - reportedSlowdown) > fraction;
    if (changed) {
      used = sample.used();
      reportedSlowdown = sample.slowdown();
    }
    return changed;
  }

  private static boolean differsBy(long current, long previous, double fraction) {
    return Math.abs(current - previous) > fraction * Math.max(1, previous);
  }

  /** Returns the deadline of the lease last sent to the worker, on this process's clock. */
  long grantedDeadlineNanos() {
    return grantedDeadlineNanos;
  }

  void setGrantedDeadline(long deadlineNanos) {
    grantedDeadlineNanos = deadlineNanos;
  }

  String checkpoint() {
    return checkpoint;
  }

  void setCheckpoint(String newCheckpoint) {
    if (!newCheckpoint.isEmpty()) {
      checkpoint = newCheckpoint;
    }
  }

  /** Records the checkpoint that the worker reported at the given time. */
  void observeCheckpoint(String newCheckpoint, long nowNanos) {
    if (!newCheckpoint.isEmpty() && !newCheckpoint.equals(checkpoint)) {
      checkpoint = newCheckpoint;
      checkpointedNanos = nowNanos;
    }
  }

  /** Returns whether the last checkpoint has not been reported, and marks it as reported. */
  boolean takeUnreportedCheckpoint() {
    boolean unreported = !checkpoint.equals(reportedCheckpoint);
    reportedCheckpoint = checkpoint;
    return unreported;
  }

  void markStopping(boolean byEviction, String reason) {
    phase = Phase.STOPPING;
    evicted = byEviction;
    detail = reason;
  }

  void markEnded(TaskReport.State newEnd, String newDetail) {
    phase = Phase.ENDED;
    end = newEnd;
    if (!newDetail.isEmpty()) {
      detail = newDetail;
    }
  }

  TaskReport toReport() {
    TaskReport.State state = phase == Phase.ENDED ? end : TaskReport.State.RUNNING;
    return TaskReport.newBuilder()
        .setTask(task)
        .setAttempt(attempt)
        .setToken(token)
        .setState(state)
        .setCheckpoint(checkpoint)
        .setDetail(detail)
        .setEvicted(evicted)
        .build();
  }
}
