package io.marigoldsail.daemon.workflow;

import io.marigoldsail.protocol.RunOrders;
import io.marigoldsail.protocol.VmReport;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;

/**
 * A connection between one incarnation of a side process and one owner. Frames keep their order; a
 * cut of one direction or both holds them back until it ends or the connection is closed. One
 * thread.
 */
final class SimulatedLink {
  private static final int MAX_LATENCY_MILLIS = 6;

  /** Frames of one direction. */
  private static final class Direction {
    private final Deque<Runnable> frames = new ArrayDeque<>();
    private long cutUntil;
  }

  private final SimulatedTime time;
  private final SplittableRandom random;
  private final SimulatedOwner owner;
  private final SimulatedSideProcess side;
  private final Direction reports = new Direction();
  private final Direction orders = new Direction();
  private long ordersSeen;
  private boolean closed;

  SimulatedLink(
      SimulatedTime time,
      SplittableRandom random,
      SimulatedOwner owner,
      SimulatedSideProcess side) {
    this.time = time;
    this.random = random;
    this.owner = owner;
    this.side = side;
  }

  SimulatedOwner owner() {
    return owner;
  }

  String vm() {
    return side.vm();
  }

  /** Returns whether it is open and leads to this incarnation of the side process. */
  boolean isOpenTo(SimulatedSideProcess incarnation) {
    return !closed && side == incarnation;
  }

  boolean isOpen() {
    return !closed;
  }

  long ordersSeen() {
    return ordersSeen;
  }

  void recordOrders(long number) {
    ordersSeen = Math.max(ordersSeen, number);
  }

  void sendReport(VmReport report) {
    send(reports, () -> owner.receive(this, report));
  }

  void sendOrders(RunOrders frame) {
    send(orders, () -> side.deliver(() -> side.receive(this, frame)));
  }

  private void send(Direction direction, Runnable receipt) {
    if (closed) {
      return;
    }
    direction.frames.add(receipt);
    time.after(1 + random.nextLong(MAX_LATENCY_MILLIS), () -> deliverNext(direction));
  }

  private void deliverNext(Direction direction) {
    if (!closed && direction.cutUntil <= time.now() && !direction.frames.isEmpty()) {
      direction.frames.poll().run();
    }
  }

  /** Holds frames back until the time; those that are under way as well. */
  void cut(boolean ofReports, boolean ofOrders, long until) {
    if (ofReports) {
      cut(reports, until);
    }
    if (ofOrders) {
      cut(orders, until);
    }
  }

  private void cut(Direction direction, long until) {
    direction.cutUntil = Math.max(direction.cutUntil, until);
    time.after(until - time.now(), () -> deliverAll(direction));
  }

  private void deliverAll(Direction direction) {
    while (!closed && direction.cutUntil <= time.now() && !direction.frames.isEmpty()) {
      direction.frames.poll().run();
    }
  }

  /** Closes the connection; frames under way are lost. */
  void close() {
    if (!closed) {
      closed = true;
      owner.disconnected(this);
      side.deliver(() -> side.disconnected(this));
    }
  }
}
