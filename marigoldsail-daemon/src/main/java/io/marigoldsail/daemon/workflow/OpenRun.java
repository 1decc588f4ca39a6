package io.marigoldsail.daemon.workflow;

import io.marigoldsail.workflow.WorkflowTask;

/**
 * A run that may be at work, as its owner follows it; mutable, confined to the loop's thread.
 *
 * <p>Nothing about it leaves the process before it is durable.
 */
final class OpenRun {
  private final OwnedPartition partition;
  private final WorkflowTask task;
  private final long orderedAt;
  private final boolean starved;
  private final String ticket;
  private boolean durable;
  private VmSession orderSession;
  private long orderFrameNumber;
  private long stopSentAt = Long.MIN_VALUE;
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
    this.orderedAt = orderedAt;
    this.durable = durable;
    this.starved = starved;
    this.ticket = ticket;
  }

  /** Returns a run that a former owner ordered. */
  static OpenRun takenOver(OwnedPartition partition, WorkflowTask task, long now) {
    return new OpenRun(partition, task, now, true, false, "");
  }

  /**
   * Returns a run that was just decided on.
   *
   * @param starved whether nothing of its workflow has been at work for some time
   * @param ticket by which the worker takes it; empty where none is needed
   */
  static OpenRun decided(
      OwnedPartition partition, WorkflowTask task, long now, boolean starved, String ticket) {
    return new OpenRun(partition, task, now, false, starved, ticket);
  }

  String ticket() {
    return ticket;
  }

  /** Returns whether nothing of its workflow had been at work for some time when it was ordered. */
  boolean isStarved() {
    return starved;
  }

  OwnedPartition partition() {
    return partition;
  }

  WorkflowTask task() {
    return task;
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

  /** Returns whether the side process must have handled the last order by now, or got none. */
  boolean isOrderHandled(VmSession session, long ordersSeen) {
    return orderSession != session || orderFrameNumber <= ordersSeen;
  }

  void orderSent(VmSession session, long number) {
    orderSession = session;
    orderFrameNumber = number;
  }

  boolean tryStartStop(long now, long repeatNanos) {
    if (stopSentAt != Long.MIN_VALUE && now - stopSentAt < repeatNanos) {
      return false;
    }
    stopSentAt = now;
    return true;
  }

  /** Notes that a worker says that it runs; returns whether its pace is to be looked at again. */
  boolean recordRunning(long now, long spacingNanos) {
    if (startedAt == Long.MIN_VALUE) {
      startedAt = now;
      sampledAt = now;
      return false;
    }
    if (now - sampledAt < spacingNanos) {
      return false;
    }
    sampledAt = now;
    return true;
  }

  /** Returns for how long it has run, in nanoseconds; 0 while no worker says so. */
  long runningNanos(long now) {
    return startedAt == Long.MIN_VALUE ? 0 : now - startedAt;
  }

  /** Returns whether the run should end although it is the task's open attempt. */
  boolean shouldStop() {
    return task.isStopRequested() || task.workflow().status().isTerminal();
  }
}
