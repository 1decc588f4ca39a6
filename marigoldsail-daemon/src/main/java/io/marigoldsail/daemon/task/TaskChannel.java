package io.marigoldsail.daemon.task;

import io.marigoldsail.protocol.TaskMessage;
import java.util.List;

/**
 * The way to the processes on the other side: side processes for an entry, entries for a side
 * process.
 *
 * <p>Messages may be lost, doubled, late and out of order. Implementations are safe for any thread
 * and do not block. Rejects nulls.
 */
public interface TaskChannel {
  /**
   * Sends a message, as far as there is a connection.
   *
   * @param peer the peer, by the name that {@link #peers()} and arriving messages give it
   * @return whether it was handed to a connection
   */
  boolean send(String peer, TaskMessage message);

  /** Returns the peers that there is a connection to. */
  List<String> peers();
}
