package io.marigoldsail.daemon.workflow;

import io.marigoldsail.protocol.RunReport;
import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.workflow.RunKey;
import java.util.Optional;

/** A run that is or may be on the worker of this VM; mutable, confined to the loop's thread. */
final class SideRun {
  /** Listings, sent after an order was confirmed, that may lack a run before it counts as over. */
  private static final int MAX_MISSES = 2;

  /** The speed at which a worker starts a run, in percent. */
  private static final int FULL_SPEED = 100;

  /** No speed: that of the run is not known here. */
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
    // The process that started a run found here may have slowed it down, even to nothing.
    this.pacedTo = order.isPresent() ? FULL_SPEED : UNKNOWN_SPEED;
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
  int tried() {
    return ++tries;
  }

  /** Notes that an order without an answer may be carried out later. */
  void becameUncertain() {
    uncertain = true;
  }

  boolean isUncertain() {
    return uncertain;
  }

  /** Notes that the worker has taken the last order, so that listings made later must show it. */
  void confirm() {
    confirmed = true;
    misses = 0;
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
    misses = 0;
    checkpoint = newCheckpoint;
    percent = newPercent;
    gauge = newGauge;
  }

  boolean isListed() {
    return listed;
  }

  /** Counts a listing without it; returns whether it is over. */
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

  /** Returns whether the worker is known to run it at the speed, in percent. */
  boolean isPacedTo(int speed) {
    return pacedTo == speed;
  }

  /** Returns the speed that the worker was last told, in percent; negative if not known. */
  int pacedTo() {
    return pacedTo;
  }

  void pacedTo(int newPercent) {
    pacedTo = newPercent;
  }

  /** Notes that an order for another speed was not answered: it may be carried out or not. */
  void speedBecameUnknown() {
    pacedTo = UNKNOWN_SPEED;
  }

  void crowded(boolean isCrowded) {
    crowded = isCrowded;
  }

  RunReport report() {
    return RunReport.newBuilder()
        .setTask(WorkflowCodec.encode(key))
        .setStarted(listed)
        .setCheckpoint(checkpoint)
        .setPercent(percent)
        .setStopping(stopping)
        .setSizeUnknown(order.isEmpty() && !stopping)
        .setCrowded(crowded)
        .build();
  }
}
