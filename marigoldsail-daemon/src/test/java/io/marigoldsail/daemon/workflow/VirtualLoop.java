package io.marigoldsail.daemon.workflow;

import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.time.WallClock;
import io.marigoldsail.timeline.HybridClock;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** A loop on virtual time: what is scheduled runs only while a test advances it. One thread. */
final class VirtualLoop {
  private static final long STEP_MILLIS = 1;

  private final EmbeddedChannel timer = new EmbeddedChannel();
  private final LinkLoop loop;
  private long nanos;

  VirtualLoop() {
    timer.freezeTime();
    loop = new LinkLoop(timer.eventLoop(), () -> nanos, new HybridClock(WallClock.system()));
  }

  LinkLoop loop() {
    return loop;
  }

  /** Returns what runs tasks on the same time, for fakes that answer late. */
  ScheduledExecutorService timer() {
    return timer.eventLoop();
  }

  /** Returns how much time has passed, in milliseconds. */
  long millis() {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }

  /** Runs everything that falls due within the time, in order. */
  void advance(long millis) {
    for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
      nanos += TimeUnit.MILLISECONDS.toNanos(STEP_MILLIS);
      timer.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
      timer.runPendingTasks();
    }
  }

  /** Runs what was put on the loop by what ran last, while no time passes. */
  void runPending() {
    timer.runPendingTasks();
  }
}
