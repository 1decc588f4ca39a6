package io.marigoldsail.daemon.workflow;

import io.marigoldsail.workflow.Place;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.WorkflowTask;

/**
 * The owner's view of a run that may be active on a VM.
 *
 * <p>Names its attempt itself: the task may end without a report of this run, or have a later
 * attempt. The run is not ordered before it is durable. Mutable, confined to the loop's thread.
 */
final class OpenRun {
  private final OwnedPartition partition;
  private final WorkflowTask task;
  private final RunKey key;
  private final Place place;
  private final long orderedAt;
  private final boolean starved;
  private final String ticket;
  private boolean durable;
  private boolean mayHaveBeenOrdered;
  private VmSession orderSession;
  private long orderFrameNumber;
  private long stopSentAt = Long.MIN_VALUE;
  private int stopsSent;
  private long startedAt = Long.MIN_VALUE;
  private long sampledAt = Long.MIN_VALUE;

  private OpenRun(
      OwnedPartition partition,
      WorkflowTask task,
      long orderedAt,
      boolean durable,
      boolean starved,
      String ticket) {
    this.partition = partition;
    this.task = task;
    this.key = task.openRun();
    this.place = task.place().orElseThrow();
    this.orderedAt = orderedAt;
    this.durable = durable;
    this.starved = starved;
    this.ticket = ticket;
  }

  /** Returns the open attempt of the task, which a former owner ordered, as a durable run. */
  static OpenRun takenOver(OwnedPartition partition, WorkflowTask task, long now) {
    OpenRun run = new OpenRun(partition, task, now, true, false, "");
    run.mayHaveBeenOrdered = true;
    return run;
  }

  /**
   * Returns the open attempt of the task as a new run, which is not durable yet.
   *
   * @param starved whether no task of its workflow has been running for some time
   * @param ticket placement ticket that the worker requires; empty if it requires none
   */
  static OpenRun create(
      OwnedPartition partition, WorkflowTask task, long now, boolean starved, String ticket) {
    return new OpenRun(partition, task, now, false, starved, ticket);
  }

  String ticket() {
    return ticket;
  }

  /** Returns whether no task of its workflow had been running for some time when it was ordered. */
  boolean isStarved() {
    return starved;
  }

  OwnedPartition partition() {
    return partition;
  }

  WorkflowTask task() {
    return task;
  }

  RunKey key() {
    return key;
  }

  Place place() {
    return place;
  }

  /** Returns whether this is the task's open attempt, rather than one that has ended. */
  boolean isOpen() {
    return task.isOpen() && task.lastAttempt() == key.attempt();
  }

  long orderedAt() {
    return orderedAt;
  }

  boolean isDurable() {
    return durable;
  }

  void markDurable() {
    durable = true;
  }

  /**
   * Returns whether the side process has handled the last order of this run on the session, or no
   * order was sent on the session.
   *
   * @param ordersSeen the number of the last frame of orders that the side process has handled
   */
  boolean isOrderHandled(VmSession session, long ordersSeen) {
    return orderSession != session || orderFrameNumber <= ordersSeen;
  }

  /** Records that an order was added to the numbered frame of the session. */
  void orderSent(VmSession session, long number) {
    mayHaveBeenOrdered = true;
    orderSession = session;
    orderFrameNumber = number;
  }

  /** Returns whether this or a former owner may have sent a start of this run. */
  boolean mayHaveBeenOrdered() {
    return mayHaveBeenOrdered;
  }

  /**
   * Returns whether a stop may be sent now, and if so records it as sent.
   *
   * @param intervalNanos minimum interval between two stops
   */
  boolean tryMarkStopSent(long now, long intervalNanos) {
    if (stopSentAt != Long.MIN_VALUE && now - stopSentAt < intervalNanos) {
      return false;
    }
    stopSentAt = now;
    stopsSent++;
    return true;
  }

  /** Returns how many stops were sent, including one that has just been recorded. */
  int stopsSent() {
    return stopsSent;
  }

  /**
   * Records that a report shows the run as started; returns whether its speed is to be sampled.
   *
   * @param intervalNanos minimum interval between two samples
   */
  boolean recordRunning(long now, long intervalNanos) {
    if (startedAt == Long.MIN_VALUE) {
      startedAt = now;
      sampledAt = now;
      return false;
    }
    if (now - sampledAt < intervalNanos) {
      return false;
    }
    sampledAt = now;
    return true;
  }

  /** Returns the time since a report first showed the run as started, in nanoseconds; 0 before. */
  long runningNanos(long now) {
    return startedAt == Long.MIN_VALUE ? 0 : now - startedAt;
  }

  /** Returns whether the run should be stopped although it is the task's open attempt. */
  boolean shouldStop() {
    return task.isStopRequested() || task.workflow().status().isTerminal();
  }
}
