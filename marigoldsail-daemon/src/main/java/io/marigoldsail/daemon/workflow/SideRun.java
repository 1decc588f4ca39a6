package io.marigoldsail.daemon.workflow;

import io.marigoldsail.protocol.RunReport;
import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.workflow.RunKey;
import java.util.Optional;

/**
 * A run that is active, or may become active, on the worker of this VM. Mutable; confined to the
 * loop's thread.
 */
final class SideRun {
  /**
   * Listings, requested after the last order was confirmed, that may lack a run before the run counts
   * as ended.
   */
  private static final int MAX_MISSES = 2;

  /** The CPU share at which a worker starts a run, in percent. */
  private static final int FULL_SPEED = 100;

  /** Stands for a CPU share that is not known to the side process. */
  private static final int UNKNOWN_SPEED = -1;

  private final RunKey key;
  private final int partition;
  private Optional<StartRun> order;
  private String program = "";
  private boolean listed;
  private boolean confirmed;
  private boolean uncertain;
  private boolean stopping;
  private int tries;
  private int misses;
  private String checkpoint = "";
  private int percent;
  private long gauge;
  private int pacedTo;
  private boolean crowded;

  SideRun(RunKey key, int partition, Optional<StartRun> order) {
    this.key = key;
    this.partition = partition;
    this.order = order;
    // A run found on the worker may have been throttled, even to zero, before the restart.
    this.pacedTo = order.isPresent() ? FULL_SPEED : UNKNOWN_SPEED;
  }

  RunKey key() {
    return key;
  }

  int partition() {
    return partition;
  }

  /** Returns the start order; empty for a run found on the worker after a restart. */
  Optional<StartRun> order() {
    return order;
  }

  void order(StartRun newOrder) {
    order = Optional.of(newOrder);
  }

  String program() {
    return program;
  }

  void program(String text) {
    program = text;
  }

  /** Counts a try to start the run; returns the number of tries so far. */
  int tried() {
    return ++tries;
  }

  /** Records that an unanswered start order may still be executed later. */
  void becameUncertain() {
    uncertain = true;
  }

  boolean isUncertain() {
    return uncertain;
  }

  /** Records that the worker executed the last order, so that later listings must reflect it. */
  void confirm() {
    confirmed = true;
    misses = 0;
  }

  /**
   * Applies a listing that contains the run, which also confirms its start.
   *
   * <p>An unanswered start is not sent again once the run is listed. Without this rule the start would
   * never be confirmed, and a run that later disappears from listings would never count as ended. A
   * stop is confirmed only by its own response.
   */
  void listed(String newCheckpoint, int newPercent, long newGauge) {
    listed = true;
    confirmed |= !stopping;
    misses = 0;
    checkpoint = newCheckpoint;
    percent = newPercent;
    gauge = newGauge;
  }

  boolean isListed() {
    return listed;
  }

  /** Counts a listing that lacks the run; returns whether the run counts as ended. */
  boolean missedTooOften() {
    if (!confirmed) {
      return false;
    }
    misses++;
    return misses > MAX_MISSES;
  }

  boolean isConfirmed() {
    return confirmed;
  }

  void stop() {
    stopping = true;
    confirmed = false;
  }

  boolean isStopping() {
    return stopping;
  }

  /** Returns the measurement of the last listing, see {@link WorkerGateway.Running}. */
  long gauge() {
    return gauge;
  }

  long latencyTargetMillis() {
    return order.map(StartRun::getLatencyTargetMillis).orElse(0);
  }

  String image() {
    return order.map(StartRun::getImage).orElse("");
  }

  long milliProcessors() {
    return order.map(StartRun::getMilliProcessors).orElse(0);
  }

  boolean fills() {
    return order.map(StartRun::getFills).orElse(false);
  }

  /** Returns whether the worker is known to run it at the CPU share, in percent. */
  boolean isPacedTo(int wantedPercent) {
    return pacedTo == wantedPercent;
  }

  /** Returns the CPU share last ordered, in percent; negative if unknown. */
  int pacedTo() {
    return pacedTo;
  }

  void pacedTo(int newPercent) {
    pacedTo = newPercent;
  }

  /** Records that a throttle order was not answered, so that it may or may not be in effect. */
  void speedBecameUnknown() {
    pacedTo = UNKNOWN_SPEED;
  }

  /** Sets whether the run exceeds the limit of interfering runs beside service tasks. */
  void crowded(boolean isExcess) {
    crowded = isExcess;
  }

  RunReport report() {
    return RunReport.newBuilder()
        .setTask(WorkflowRecords.encode(key))
        .setStarted(listed)
        .setCheckpoint(checkpoint)
        .setPercent(percent)
        .setStopping(stopping)
        .setSizeUnknown(order.isEmpty() && !stopping)
        .setCrowded(crowded)
        .build();
  }
}
