package io.marigoldsail.daemon.workflow;

import io.marigoldsail.daemon.identity.WorkflowIdCodec;
import io.marigoldsail.protocol.RunReport;
import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import java.util.Collection;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * A run that is active, or may become active, on the worker of this VM. Mutable; confined to the
 * loop's thread.
 */
final class SideRun {
  /**
   * Number of listings, requested after the last order was confirmed, that may lack a run before
   * the run counts as ended.
   */
  private static final int MAX_MISSED_LISTINGS = 2;

  /** The CPU share at which a worker starts a run, in percent. */
  private static final int FULL_PERCENT = 100;

  /** Marks a CPU share that is not known to the side process. */
  private static final int UNKNOWN_PERCENT = -1;

  private final RunKey key;
  private final int partition;
  private final WorkerLease.Mark orderedAt;
  private Optional<StartRun> order;
  private String program = "";
  private boolean listed;
  private boolean confirmed;
  private boolean startOutcomeUnknown;
  private boolean stopping;
  private String refusal = "";
  private RunOutcome refusalOutcome = RunOutcome.REFUSED;
  private int startTries;
  private int missedListings;
  private String checkpoint = "";
  private int progressPercent;
  private long measurement;
  private int throttlePercent;
  private boolean excess;
  private OptionalLong slowSince = OptionalLong.empty();

  SideRun(RunKey key, int partition, Optional<StartRun> order, WorkerLease.Mark orderedAt) {
    this.key = key;
    this.partition = partition;
    this.orderedAt = orderedAt;
    this.order = order;
    // A run found on the worker may have been throttled, even to zero, before the restart.
    this.throttlePercent = order.isPresent() ? FULL_PERCENT : UNKNOWN_PERCENT;
  }

  /**
   * Returns a run that is only stopped, so that no copy of its start is executed. Without an order
   * it would count as a run of unknown size.
   */
  static SideRun toBeRefused(RunKey key, int partition, WorkerLease.Mark orderedAt) {
    return new SideRun(key, partition, Optional.of(StartRun.getDefaultInstance()), orderedAt);
  }

  /** Returns the confirmed ones of the runs. */
  static Set<RunKey> confirmed(Collection<SideRun> runs) {
    return runs.stream().filter(SideRun::isConfirmed).map(SideRun::key).collect(Collectors.toSet());
  }

  /** Returns the partitions of the runs. */
  static Set<Integer> partitions(Collection<SideRun> runs) {
    return runs.stream().map(SideRun::partition).collect(Collectors.toSet());
  }

  /** Returns whether one of the runs is reported as refused once it is stopped. */
  static boolean anyRefused(Collection<SideRun> runs) {
    return runs.stream().anyMatch(SideRun::isRefused);
  }

  RunKey key() {
    return key;
  }

  int partition() {
    return partition;
  }

  /** Returns when the run was ordered or found. */
  WorkerLease.Mark orderedAt() {
    return orderedAt;
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

  /** Records whether the run has a low CPU share now; times are monotonic nanoseconds. */
  void recordSpeed(boolean slow, long now) {
    slowSince = slow ? OptionalLong.of(slowSince.orElse(now)) : OptionalLong.empty();
  }

  /** Returns for how long the run has had a low CPU share, in nanoseconds; 0 if it has not. */
  long slowNanos(long now) {
    return slowSince.isPresent() ? now - slowSince.getAsLong() : 0;
  }

  /** Counts a try to start the run; returns the number of tries so far. */
  int countStartTry() {
    return ++startTries;
  }

  /** Records that an unanswered start order may still be executed later. */
  void markStartOutcomeUnknown() {
    startOutcomeUnknown = true;
  }

  boolean isStartOutcomeUnknown() {
    return startOutcomeUnknown;
  }

  /** Records that the worker executed the last order, so that later listings must reflect it. */
  void confirm() {
    confirmed = true;
    missedListings = 0;
  }

  /**
   * Applies a listing that contains the run, which also confirms its start.
   *
   * <p>An unanswered start is not sent again once the run is listed. Without this rule the start
   * would never be confirmed, and a run that later disappears from listings would never count as
   * ended. A stop is confirmed only by its own response.
   */
  void applyListing(String newCheckpoint, int newPercent, long newMeasurement) {
    listed = true;
    confirmed |= !stopping;
    missedListings = 0;
    checkpoint = newCheckpoint;
    progressPercent = newPercent;
    measurement = newMeasurement;
  }

  boolean isListed() {
    return listed;
  }

  /** Counts a listing that lacks the run; returns whether the run counts as ended. */
  boolean countMissedListing() {
    if (!confirmed) {
      return false;
    }
    missedListings++;
    return missedListings > MAX_MISSED_LISTINGS;
  }

  boolean isConfirmed() {
    return confirmed;
  }

  void markStopping() {
    stopping = true;
    confirmed = false;
  }

  boolean isStopping() {
    return stopping;
  }

  /**
   * Records that the run is to be reported as refused once the worker cannot start it any more.
   *
   * @param outcome the outcome to be reported
   */
  void refuse(RunOutcome outcome, String reason) {
    refusalOutcome = outcome;
    refusal = reason;
  }

  /** Returns the outcome to be reported of a refused run. */
  RunOutcome refusalOutcome() {
    return refusalOutcome;
  }

  /** Returns whether the run has been stopped in order to be reported as refused. */
  boolean isRefused() {
    return !refusal.isEmpty();
  }

  /** Returns the reason of the refusal; empty if the run is not refused. */
  String refusal() {
    return refusal;
  }

  /** Returns the measurement of the last listing, see {@link WorkerGateway.ActiveRun}. */
  long measurement() {
    return measurement;
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

  boolean isBestEffort() {
    return order.map(StartRun::getFills).orElse(false);
  }

  /** Returns whether the worker is known to run it at the CPU share, in percent. */
  boolean isThrottledTo(int wantedPercent) {
    return throttlePercent == wantedPercent;
  }

  /** Returns the CPU share last ordered, in percent; negative if unknown. */
  int throttlePercent() {
    return throttlePercent;
  }

  void throttlePercent(int newPercent) {
    throttlePercent = newPercent;
  }

  /** Records that a throttle order got no response, so that it may or may not be in effect. */
  void markThrottleUnknown() {
    throttlePercent = UNKNOWN_PERCENT;
  }

  /** Sets whether the run exceeds the limit of interfering runs on a VM with service tasks. */
  void excess(boolean isExcess) {
    excess = isExcess;
  }

  RunReport report() {
    return RunReport.newBuilder()
        .setTask(WorkflowIdCodec.encode(key))
        .setStarted(listed)
        .setCheckpoint(checkpoint)
        .setPercent(progressPercent)
        .setStopping(stopping)
        .setSizeUnknown(order.isEmpty() && !stopping)
        .setCrowded(excess)
        .build();
  }
}
