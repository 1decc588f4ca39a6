package io.marigoldsail.daemon.link;

import io.marigoldsail.protocol.TaskMessage;
import java.util.Set;

/**
 * The control links of a process, over which it exchanges task messages with its peers.
 *
 * <p>Delivery is at most once: a message may be lost with its link. Senders that need the effect
 * must resend until they observe it. Thread-safe.
 */
public interface PeerLinks {
  /**
   * Queues a message on the peer's link.
   *
   * @param peer the VM's name in an entry, the entry's name in a side process
   * @return whether there is a link to the peer
   */
  boolean send(String peer, TaskMessage message);

  /** Returns the names of the peers that currently have a link. */
  Set<String> peers();

  /** Adds a listener for messages from peers. Must be called before the links are started. */
  void addTaskListener(TaskMessageListener listener);
}
