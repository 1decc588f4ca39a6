package io.marigoldsail.daemon;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.link.MemberListener;
import io.marigoldsail.daemon.link.SideLinks;
import io.marigoldsail.membership.Announcement;
import io.marigoldsail.membership.MemberTable;
import io.marigoldsail.time.MonotonicClock;
import java.util.concurrent.TimeUnit;

/**
 * Decides when a new entry knows enough targets for the load balancer to send callers to it.
 *
 * <p>Without it, an entry that is replaced under load refuses its first callers because it knows no
 * targets, although other entries could serve them. All live targets announce themselves within one
 * period after the first one. If no target announces itself, the entry becomes ready after a
 * timeout, so that callers receive an error instead of no response. Thread-safe.
 */
final class EntryReadiness implements MemberListener {
  private static final long DELAY_AFTER_FIRST_TARGET_NANOS =
      SideLinks.ANNOUNCE_PERIOD_NANOS + TimeUnit.MILLISECONDS.toNanos(200);
  private static final long MAX_WAIT_FOR_TARGETS_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final MonotonicClock clock;
  private boolean targetSeen;
  private boolean listening;
  private long readyAt;

  EntryReadiness(MonotonicClock clock) {
    this.clock = requireNonNull(clock, "clock");
  }

  /** Called when the process has started listening. */
  synchronized void started() {
    long latest = clock.nanos() + MAX_WAIT_FOR_TARGETS_NANOS;
    readyAt = targetSeen ? Math.min(readyAt, latest) : latest;
    listening = true;
  }

  synchronized boolean isReady() {
    return listening && clock.nanos() - readyAt >= 0;
  }

  @Override
  public synchronized void announced(Announcement announcement, MemberTable.Change change) {
    if (targetSeen || !announcement.hasTarget()) {
      return;
    }
    targetSeen = true;
    readyAt = clock.nanos() + DELAY_AFTER_FIRST_TARGET_NANOS;
  }

  @Override
  public void lost(Announcement last) {
    // A ready entry stays ready: without targets it refuses callers, as any other entry would.
  }
}
