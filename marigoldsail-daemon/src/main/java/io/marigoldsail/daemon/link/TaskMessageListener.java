package io.marigoldsail.daemon.link;

import io.marigoldsail.protocol.TaskMessage;

/** Told of messages about tasks, on the loop's thread; must not block. */
@FunctionalInterface
public interface TaskMessageListener {
  /**
   * A message came.
   *
   * @param peer the VM's name in an entry, the entry's name in a side process
   * @param message the message
   */
  void received(String peer, TaskMessage message);
}
