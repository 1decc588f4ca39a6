package io.marigoldsail.daemon.dispatch;

import io.marigoldsail.daemon.link.LinkConnection;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

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
 * <p>Confined to the loop's thread.
 */
final class GoAwayFence {
  private final Set<LinkConnection> unacknowledged = new HashSet<>();
  private boolean crossed;

  /** Asks on all connections; what was asked before is asked anew. */
  void begin(Collection<LinkConnection> connections) {
    crossed = false;
    connections.forEach(this::add);
  }

  /** Asks on a connection that came during the stop. */
  void add(LinkConnection connection) {
    unacknowledged.add(connection);
    connection.send(SideFrames.goAway());
  }

  /** Notes an acknowledgement. */
  void acknowledged(LinkConnection connection) {
    unacknowledged.remove(connection);
  }

  /** Forgets a connection that has ended. */
  void remove(LinkConnection connection) {
    unacknowledged.remove(connection);
  }

  /** Notes that a request, a question or an answer crossed the connections. */
  void crossed() {
    crossed = true;
  }

  /**
   * Returns whether everything sent has arrived and nothing new can come, and asks again where that
   * is not proved; all that was sent must have been handed to the operating system.
   */
  boolean isPassed(Collection<LinkConnection> connections) {
    if (!unacknowledged.isEmpty()) {
      return false;
    }
    if (crossed) {
      begin(connections);
    }
    return unacknowledged.isEmpty();
  }
}
