package io.marigoldsail.daemon.task;

import io.marigoldsail.guard.GuardedTask;
import io.marigoldsail.job.Programs;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.lease.UsageSample;
import io.marigoldsail.lease.WorkerTask;
import io.marigoldsail.protocol.StartTask;
import io.marigoldsail.protocol.TaskReport;

/** One attempt in a side process, as far as it knows; not safe for use by several threads. */
final class SideAttempt {
  /** Where an attempt stands in its side process. */
  enum Phase {
    /** The worker was told to start it but has not said that it did. */
    UNCERTAIN,
    /** The worker runs it. */
    RUNNING,
    /** It must stop and the worker has not confirmed that it did. */
    STOPPING,
    /** It runs no more; its report is repeated until an entry acknowledges it. */
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

  /** Returns an attempt that the worker runs from before this process's start. */
  static SideAttempt adopted(WorkerTask task) {
    // Its lease's length is told again by the next StartTask of an entry; until then it is not
    // renewed. Its class is not known until then, so it is not evicted before.
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

  void phase(Phase newPhase) {
    phase = newPhase;
  }

  /** Returns whether the attempt may still take up its sizes. */
  boolean occupiesCapacity() {
    return phase != Phase.ENDED;
  }

  long leaseMillis() {
    return leaseMillis;
  }

  /** Takes in what an entry says about the attempt, new or adopted from the worker. */
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

  /** Returns how much of its processors it may use. */
  int throttlePercent() {
    return throttlePercent;
  }

  void recordThrottle(int percent) {
    throttlePercent = percent;
  }

  /** Returns the attempt as its VM's guard sees it. */
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
   * Takes in a measurement and returns whether it differs from the last one by more than a part.
   */
  boolean recordUsage(UsageSample sample, double part) {
    boolean changed =
        differsBy(sample.used().milliProcessors(), used.milliProcessors(), part)
            || differsBy(sample.used().memoryBytes(), used.memoryBytes(), part)
            || Math.abs(sample.slowdown() - reportedSlowdown) > part;
    if (changed) {
      used = sample.used();
      reportedSlowdown = sample.slowdown();
    }
    return changed;
  }

  private static boolean differsBy(long now, long before, double part) {
    return Math.abs(now - before) > part * Math.max(1, before);
  }

  /** Returns the lease's deadline that the worker was last told. */
  long grantedDeadlineNanos() {
    return grantedDeadlineNanos;
  }

  void setGrantedDeadline(long deadlineNanos) {
    grantedDeadlineNanos = deadlineNanos;
  }

  String checkpoint() {
    return checkpoint;
  }

  void checkpoint(String newCheckpoint) {
    if (!newCheckpoint.isEmpty()) {
      checkpoint = newCheckpoint;
    }
  }

  /** Takes in the checkpoint that the worker tells of at a moment. */
  void observeCheckpoint(String newCheckpoint, long nowNanos) {
    if (!newCheckpoint.isEmpty() && !newCheckpoint.equals(checkpoint)) {
      checkpoint = newCheckpoint;
      checkpointedNanos = nowNanos;
    }
  }

  /** Returns whether the last checkpoint has not been told to an entry, and takes it as told. */
  boolean takeUnreportedCheckpoint() {
    boolean untold = !checkpoint.equals(reportedCheckpoint);
    reportedCheckpoint = checkpoint;
    return untold;
  }

  void markStopping(boolean byGuard, String why) {
    phase = Phase.STOPPING;
    evicted = byGuard;
    detail = why;
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
