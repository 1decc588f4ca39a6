package io.marigoldsail.daemon.link;

import io.marigoldsail.protocol.Frame;

/** Receives frames about idempotency keys from the control links. */
@FunctionalInterface
public interface KeyFrameListener {
  /**
   * Handles a frame. Called on the loop's thread; must not block.
   *
   * @param peer the sender: the VM's name in an entry, the entry's name in a side process
   * @param frame the frame
   */
  void received(String peer, Frame frame);
}
