package io.marigoldsail.daemon.link;

import io.marigoldsail.protocol.Frame;

/** Told on the loop's thread what happens on connections; must not block. */
public interface LinkListener {
  /** The connection is open. */
  void opened(LinkConnection connection);

  /**
   * A whole frame was read.
   *
   * @throws BrokenFrameException if the peer may not send such a frame; closes the connection
   */
  void received(LinkConnection connection, Frame frame) throws BrokenFrameException;

  /** The connection has ended; called once for each that was opened. */
  void closed(LinkConnection connection, String reason);
}
