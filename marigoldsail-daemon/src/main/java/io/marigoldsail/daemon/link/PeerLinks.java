package io.marigoldsail.daemon.link;

import io.marigoldsail.protocol.TaskMessage;
import java.util.Set;

/**
 * The control links of a process, over which it exchanges messages about tasks with its peers.
 *
 * <p>Delivery is not promised: a message may be lost with its link, so whoever needs an effect
 * repeats until it sees it. Safe for any thread.
 */
public interface PeerLinks {
  /**
   * Hands a message to the link to the peer.
   *
   * @param peer the VM's name in an entry, the entry's name in a side process
   * @return whether there was a link to hand it to
   */
  boolean send(String peer, TaskMessage message);

  /** Returns the names of the peers that there are links to now. */
  Set<String> peers();

  /** Adds a listener for messages from peers; to be called before the links are started. */
  void addTaskListener(TaskMessageListener listener);
}
