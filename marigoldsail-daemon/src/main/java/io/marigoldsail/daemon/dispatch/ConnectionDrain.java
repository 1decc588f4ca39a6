package io.marigoldsail.daemon.dispatch;

import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.link.LinkLoop;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Drains the connections of a side process in a planned stop, and determines when they may be
 * closed.
 *
 * <p>If the process exited right after its last request, two kinds of messages would be lost, and
 * callers would get an unknown outcome: requests in transit that an entry sent before it was
 * notified of the stop, and responses that the operating system has not delivered, which it
 * discards when a connection is closed with unread data such as a ping. Entries acknowledge a
 * {@code GoAway} on the same connection and send no new request after that. The acknowledgement
 * therefore proves that no more requests follow and that everything sent before was received. If a
 * request, a resolve or a response was sent or received in between, it proves neither, and another
 * {@code GoAway} is sent.
 *
 * <p>Confined to the loop's thread, but for {@link #drained}.
 */
final class ConnectionDrain {
  /** A connection whose GOAWAY is not acknowledged this long after the last request is lost. */
  private static final long DRAIN_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);

  private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  private final LinkLoop loop;
  private final BooleanSupplier allFlushed;
  private final Set<LinkConnection> openConnections = new HashSet<>();
  private final Set<LinkConnection> unacknowledged = new HashSet<>();
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private boolean begun;
  private boolean activity;
  private long deadline;

  /**
   * Creates a drain for a process that is not stopping yet.
   *
   * @param loop the loop that all state is confined to
   * @param allFlushed whether all sent frames have been handed to the operating system
   */
  ConnectionDrain(LinkLoop loop, BooleanSupplier allFlushed) {
    this.loop = loop;
    this.allFlushed = allFlushed;
  }

  /** Adds a new connection. */
  void opened(LinkConnection connection) {
    openConnections.add(connection);
    if (begun) {
      sendGoAway(connection);
    }
  }

  /** Removes a closed connection. */
  void closed(LinkConnection connection) {
    openConnections.remove(connection);
    unacknowledged.remove(connection);
  }

  /** Sends GOAWAY to all entries. */
  void begin() {
    begun = true;
    openConnections.forEach(this::sendGoAway);
    // Frames sent before may still be queued in the process, so the first round proves nothing.
    recordActivity();
  }

  private void sendGoAway(LinkConnection connection) {
    unacknowledged.add(connection);
    connection.send(SideFrames.goAway());
  }

  /** Records the acknowledgement of a GOAWAY. */
  void acknowledged(LinkConnection connection) {
    unacknowledged.remove(connection);
  }

  /** Records that a request, a resolve or a response was sent or received. */
  void recordActivity() {
    activity = true;
  }

  /** Starts to wait for the drain, once no request is pending; later calls have no effect. */
  void completeWhenDrained() {
    if (deadline == 0) {
      deadline = loop.now() + DRAIN_TIMEOUT_NANOS;
      pollDrained();
    }
  }

  /** Returns a future that is completed when the connections may be closed. */
  CompletableFuture<Void> drained() {
    return drained;
  }

  private void pollDrained() {
    if (isDrained() || deadline - loop.now() <= 0) {
      drained.complete(null);
      return;
    }
    loop.schedule(this::pollDrained, POLL_INTERVAL_NANOS);
  }

  private boolean isDrained() {
    if (!unacknowledged.isEmpty() || !allFlushed.getAsBoolean()) {
      return false;
    }
    if (activity) {
      activity = false;
      openConnections.forEach(this::sendGoAway);
    }
    return unacknowledged.isEmpty();
  }
}
