package io.marigoldsail.daemon.link;

import io.marigoldsail.protocol.TaskMessage;

/** Receives task messages from the control links. */
@FunctionalInterface
public interface TaskMessageListener {
  /**
   * Handles a message. Called on the loop's thread; must not block.
   *
   * @param peer the sender: the VM's name in an entry, the entry's name in a side process
   * @param message the message
   */
  void received(String peer, TaskMessage message);
}
