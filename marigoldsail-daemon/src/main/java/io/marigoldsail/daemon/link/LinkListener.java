package io.marigoldsail.daemon.link;

import io.marigoldsail.protocol.Frame;

/** Receives connection events. Called on the loop's thread; must not block. */
public interface LinkListener {
  /** Called when a connection has opened. */
  void opened(LinkConnection connection);

  /**
   * Called for each received frame.
   *
   * @throws BrokenFrameException if the peer may not send this frame; closes the connection
   */
  void received(LinkConnection connection, Frame frame) throws BrokenFrameException;

  /** Called once for each opened connection, when it has closed. */
  void closed(LinkConnection connection, String reason);
}
