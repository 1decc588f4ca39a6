package io.marigoldsail.daemon.link;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.marigoldsail.time.WallClock;
import io.marigoldsail.timeline.HybridClock;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class LinkLoopTest {
  private int runs;

  /**
   * A periodic task that throws must keep running periodically. Otherwise the process stays up
   * without it: leases are no longer renewed, and tasks on unreachable VMs never end.
   */
  @Test
  void repeatedTaskRunsAgainAfterException() {
    EmbeddedChannel timer = new EmbeddedChannel();
    timer.freezeTime();
    LinkLoop loop = new LinkLoop(timer.eventLoop(), () -> 0, new HybridClock(WallClock.system()));
    loop.repeat(this::throwOnce, TimeUnit.MILLISECONDS.toNanos(10));
    for (int i = 0; i < 3; i++) {
      timer.advanceTimeBy(10, TimeUnit.MILLISECONDS);
      timer.runScheduledPendingTasks();
    }
    assertEquals(3, runs);
  }

  private void throwOnce() {
    runs++;
    if (runs == 1) {
      throw new IllegalStateException("thrown by the test");
    }
  }
}
