package io.marigoldsail.daemon.workflow;

import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.time.WallClock;
import io.marigoldsail.timeline.HybridClock;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** A loop on virtual time: scheduled tasks run only while a test advances it. One thread. */
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

  /** Returns an executor on the same virtual time, for fakes that answer with a delay. */
  ScheduledExecutorService timer() {
    return timer.eventLoop();
  }

  /** Returns the elapsed virtual time, in milliseconds. */
  long millis() {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
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

  /** Runs the tasks that are due without advancing the time. */
  void runPending() {
    timer.runPendingTasks();
  }
}
