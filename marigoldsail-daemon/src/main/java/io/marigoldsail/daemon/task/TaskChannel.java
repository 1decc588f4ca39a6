package io.marigoldsail.daemon.task;

import io.marigoldsail.protocol.TaskMessage;
import java.util.List;

/**
 * Sends task messages to peers: from an entry to side processes, or from a side process to entries.
 *
 * <p>Messages may be lost, duplicated, delayed and reordered. Implementations are thread-safe, do
 * not block and reject nulls.
 */
public interface TaskChannel {
  /**
   * Sends a message if there is a connection to the peer.
   *
   * @param peer the name of the peer, as in {@link #peers()} and in received messages
   * @return whether the message was passed to a connection
   */
  boolean send(String peer, TaskMessage message);

  /** Returns the names of the connected peers. */
  List<String> peers();
}
