package io.marigoldsail.daemon.dispatch;

import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.link.LinkLoop;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Tells, in a planned stop of a side process, when its connections may be closed.
 *
 * <p>Two things are lost if the process exits as soon as its last request has ended, and each makes
 * a caller read that the outcome is unknown. A request that an entry sent just before it heard of
 * the stop is still on its way; and answers that the operating system has not delivered yet are
 * thrown away when a connection is closed with something unread in it, such as a ping. Entries
 * acknowledge a {@code GoAway} on its own connection and send no new request behind that, so the
 * acknowledgement proves both that nothing more comes and that all that was sent before has
 * arrived. A round in which something else crossed proves nothing and is done again.
 *
 * <p>Confined to the loop's thread, but for {@link #drained}.
 */
final class ConnectionDrain {
  /** A connection that takes or acknowledges nothing for this long after all has ended is lost. */
  private static final long DRAIN_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);

  private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  private final LinkLoop loop;
  private final BooleanSupplier allFlushed;
  private final Set<LinkConnection> openConnections = new HashSet<>();
  private final Set<LinkConnection> unacknowledged = new HashSet<>();
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private boolean begun;
  private boolean recordActivity;
  private long giveUpAt;

  /**
   * Creates a fence for a process that is not stopping yet.
   *
   * @param loop the thread
   * @param flushed whether all that was sent has been handed to the operating system
   */
  ConnectionDrain(LinkLoop loop, BooleanSupplier flushed) {
    this.loop = loop;
    this.allFlushed = flushed;
  }

  /** Takes a new connection. */
  void opened(LinkConnection connection) {
    openConnections.add(connection);
    if (begun) {
      sendGoAway(connection);
    }
  }

  /** Forgets a connection that has ended. */
  void closed(LinkConnection connection) {
    openConnections.remove(connection);
    unacknowledged.remove(connection);
  }

  /** Tells all entries of the stop. */
  void begin() {
    begun = true;
    openConnections.forEach(this::sendGoAway);
    // What was sent before may still wait in the process behind this first word of the stop.
    recordActivity();
  }

  private void sendGoAway(LinkConnection connection) {
    unacknowledged.add(connection);
    connection.send(SideFrames.goAway());
  }

  /** Notes an acknowledgement. */
  void acknowledged(LinkConnection connection) {
    unacknowledged.remove(connection);
  }

  /** Notes that a request, a question or an answer crossed the connections. */
  void recordActivity() {
    recordActivity = true;
  }

  /** Begins to wait, once nothing is in progress; later calls have no effect. */
  void completeWhenDrained() {
    if (giveUpAt == 0) {
      giveUpAt = loop.now() + DRAIN_TIMEOUT_NANOS;
      pollDrained();
    }
  }

  /** Returns what is completed when the connections may be closed. */
  CompletableFuture<Void> drained() {
    return drained;
  }

  private void pollDrained() {
    if (isDrained() || giveUpAt - loop.now() <= 0) {
      drained.complete(null);
      return;
    }
    loop.schedule(this::pollDrained, POLL_INTERVAL_NANOS);
  }

  private boolean isDrained() {
    if (!unacknowledged.isEmpty() || !allFlushed.getAsBoolean()) {
      return false;
    }
    if (recordActivity) {
      recordActivity = false;
      openConnections.forEach(this::sendGoAway);
    }
    return unacknowledged.isEmpty();
  }
}
