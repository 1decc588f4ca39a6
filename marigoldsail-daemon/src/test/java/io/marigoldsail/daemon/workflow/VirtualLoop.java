package io.marigoldsail.daemon.workflow;

import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.link.VirtualLinks;
import io.marigoldsail.time.ClockPair;
import io.marigoldsail.time.WallClock;
import io.marigoldsail.timeline.HybridClock;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** A loop on virtual time: scheduled tasks run only while a test advances it. One thread. */
final class VirtualLoop {
  private static final long STEP_MILLIS = 1;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long WALL_START_MILLIS = 1_000_000_000;

  private final EmbeddedChannel timer = new EmbeddedChannel();
  private final LinkLoop loop;
  private long nanos;
  private long wallShiftMillis;

  VirtualLoop() {
    timer.freezeTime();
    loop = new LinkLoop(timer.eventLoop(), () -> nanos, new HybridClock(WallClock.system()));
  }

  /** Creates the loop of a process with links to others. */
  VirtualLoop(VirtualLinks links) {
    timer.freezeTime();
    loop = links.loop(timer.eventLoop(), () -> nanos);
  }

  LinkLoop loop() {
    return loop;
  }

  /** Returns an executor on the same virtual time, for fakes that answer with a delay. */
  ScheduledExecutorService timer() {
    return timer.eventLoop();
  }

  /** Returns the event loop of the process, as known to its links. */
  EventLoop eventLoop() {
    return timer.eventLoop();
  }

  /** Returns the elapsed virtual time, in milliseconds. */
  long millis() {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }

  /** Returns the wall clock, in milliseconds. */
  long wallMillis() {
    return WALL_START_MILLIS + millis() + wallShiftMillis;
  }

  /** Returns both clocks, without a listener. */
  ClockPair clocks() {
    return new ClockPair(loop::now, this::wallMillis, (steadyNanos, wallNanos) -> {});
  }

  /**
   * Shifts the wall clock alone, as a suspension of the machine does for its length, or a step;
   * negative to step it back.
   */
  void shiftWallClock(long millis) {
    wallShiftMillis += millis;
  }

  /** Advances the time and runs all tasks that become due, in order. */
  void advance(long millis) {
    for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
      nanos += TimeUnit.MILLISECONDS.toNanos(STEP_MILLIS);
      timer.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
      timer.runPendingTasks();
    }
  }

  /** Advances the time at once, as for a process that stood still: tasks due meanwhile run late. */
  void skip(long millis) {
    nanos += TimeUnit.MILLISECONDS.toNanos(millis);
    timer.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    timer.runPendingTasks();
  }

  /** Returns how long no task is due, in milliseconds, rounded up; at least 1. */
  long idleMillis() {
    long nextNanos = timer.hasPendingTasks() ? 0 : timer.runScheduledPendingTasks();
    return nextNanos < 0
        ? Long.MAX_VALUE
        : Math.max(1, (nextNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
  }

  /** Throws the first exception that a task has thrown since the last call, if any. */
  void rethrowFailure() {
    timer.checkException();
  }

  /** Runs the tasks that are due without advancing the time. */
  void runPending() {
    timer.runPendingTasks();
  }
}
