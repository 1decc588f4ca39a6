package io.marigoldsail.daemon;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.link.MemberListener;
import io.marigoldsail.daemon.link.SideLinks;
import io.marigoldsail.membership.Announcement;
import io.marigoldsail.membership.MemberTable;
import io.marigoldsail.time.MonotonicClock;
import java.util.concurrent.TimeUnit;

/**
 * Whether a new entry knows enough targets for the balancer to send callers to it.
 *
 * <p>Guards against an entry that is replaced under load and refuses its first callers for want of
 * targets, while the others could have served them. All live targets announce themselves within one
 * period after the first one did; where none comes at all, callers are let in after a while, to be
 * told so. Safe for any thread.
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

  /** Tells that the process listens. */
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
    // An entry that was ready stays so: whom it cannot serve it tells, as any other entry would.
  }
}
