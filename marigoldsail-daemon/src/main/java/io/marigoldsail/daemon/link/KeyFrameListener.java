package io.marigoldsail.daemon.link;

import io.marigoldsail.protocol.Frame;

/** Told of frames about idempotency keys that came over a control link. */
@FunctionalInterface
public interface KeyFrameListener {
  /**
   * Takes a frame; called on the loop's thread.
   *
   * @param peer the entry, or the VM of the side process, that sent it
   * @param frame the frame
   */
  void received(String peer, Frame frame);
}
