package io.marigoldsail.daemon.link;

/**
 * Thrown when a peer sends a frame that violates the protocol. Closes the connection that received
 * it and has no other effect.
 */
public final class BrokenFrameException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a message that describes the violation. */
  public BrokenFrameException(String message) {
    super(message);
  }
}
