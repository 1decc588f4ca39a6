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
   * A repeated task met a state that it did not expect and threw. The process lived on without it:
   * leases were renewed no more, and the ends of tasks on VMs out of reach never came.
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
      throw new IllegalStateException("told to throw");
    }
  }
}
