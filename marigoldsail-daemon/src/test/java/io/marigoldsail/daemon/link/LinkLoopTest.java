package io.marigoldsail.daemon.link;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.base.Throwables;
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
    assertRunsAgainAfter(new IllegalStateException("thrown by the test"));
  }

  /** The same for an error, which an odd input may cause as well. */
  @Test
  void repeatedTaskRunsAgainAfterStackOverflow() {
    assertRunsAgainAfter(new StackOverflowError("thrown by the test"));
  }

  private void assertRunsAgainAfter(Throwable thrown) {
    EmbeddedChannel timer = new EmbeddedChannel();
    timer.freezeTime();
    LinkLoop loop = new LinkLoop(timer.eventLoop(), () -> 0, new HybridClock(WallClock.system()));
    loop.repeat(() -> throwOnce(thrown), TimeUnit.MILLISECONDS.toNanos(10));
    for (int i = 0; i < 3; i++) {
      timer.advanceTimeBy(10, TimeUnit.MILLISECONDS);
      timer.runScheduledPendingTasks();
    }
    assertEquals(3, runs);
  }

  private void throwOnce(Throwable thrown) {
    runs++;
    if (runs == 1) {
      Throwables.throwIfUnchecked(thrown);
    }
  }
}
