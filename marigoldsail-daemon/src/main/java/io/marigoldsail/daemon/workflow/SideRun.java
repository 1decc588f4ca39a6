package io.marigoldsail.daemon.workflow;

import io.marigoldsail.protocol.RunReport;
import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.workflow.RunKey;
import java.util.Optional;

/** A run that is or may be on the worker of this VM; mutable, confined to the loop's thread. */
final class SideRun {
  /** Listings, sent after an order was confirmed, that may lack a run before it counts as over. */
  private static final int MAX_MISSED_LISTINGS = 2;

  /** The speed at which a worker starts a run, in percent. */
  private static final int FULL_PERCENT = 100;

  /** No speed: that of the run is not known here. */
  private static final int UNKNOWN_PERCENT = -1;

  private final RunKey key;
  private final int partition;
  private Optional<StartRun> order;
  private String program = "";
  private boolean listed;
  private boolean confirmed;
  private boolean startOutcomeUnknown;
  private boolean stopping;
  private int startTries;
  private int missedListings;
  private String checkpoint = "";
  private int progressPercent;
  private long measurement;
  private int throttlePercent;
  private boolean excess;

  SideRun(RunKey key, int partition, Optional<StartRun> order) {
    this.key = key;
    this.partition = partition;
    this.order = order;
    // The process that started a run found here may have slowed it down, even to nothing.
    this.throttlePercent = order.isPresent() ? FULL_PERCENT : UNKNOWN_PERCENT;
  }

  RunKey key() {
    return key;
  }

  int partition() {
    return partition;
  }

  /** Returns the order, or empty for a run that was found on the worker after a restart. */
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

  /** Counts a try to start it; returns how many there were. */
  int countStartTry() {
    return ++startTries;
  }

  /** Notes that an order without an answer may be carried out later. */
  void markStartOutcomeUnknown() {
    startOutcomeUnknown = true;
  }

  boolean isStartOutcomeUnknown() {
    return startOutcomeUnknown;
  }

  /** Notes that the worker has taken the last order, so that listings made later must show it. */
  void confirm() {
    confirmed = true;
    missedListings = 0;
  }

  /**
   * Takes a listing that shows it.
   *
   * <p>Guards against a run that is never over: a start without an answer is not sent again once
   * the run is listed, so no answer would ever confirm it. Only a stop still needs its answer.
   */
  void listed(String newCheckpoint, int newPercent, long newGauge) {
    listed = true;
    confirmed |= !stopping;
    missedListings = 0;
    checkpoint = newCheckpoint;
    progressPercent = newPercent;
    measurement = newGauge;
  }

  boolean isListed() {
    return listed;
  }

  /** Counts a listing without it; returns whether it is over. */
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

  /** Returns whether the worker is known to run it at the speed, in percent. */
  boolean isThrottledTo(int speed) {
    return throttlePercent == speed;
  }

  /** Returns the speed that the worker was last told, in percent; negative if not known. */
  int throttlePercent() {
    return throttlePercent;
  }

  void throttlePercent(int newPercent) {
    throttlePercent = newPercent;
  }

  /** Notes that an order for another speed was not answered: it may be carried out or not. */
  void markThrottleUnknown() {
    throttlePercent = UNKNOWN_PERCENT;
  }

  void excess(boolean isCrowded) {
    excess = isCrowded;
  }

  RunReport report() {
    return RunReport.newBuilder()
        .setTask(WorkflowCodec.encode(key))
        .setStarted(listed)
        .setCheckpoint(checkpoint)
        .setPercent(progressPercent)
        .setStopping(stopping)
        .setSizeUnknown(order.isEmpty() && !stopping)
        .setCrowded(excess)
        .build();
  }
}
