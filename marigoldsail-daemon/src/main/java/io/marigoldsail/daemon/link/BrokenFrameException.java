package io.marigoldsail.daemon.link;

/** A peer sent what it may not send; ends the connection it came on and nothing else. */
public final class BrokenFrameException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception whose message says what is wrong with the frame. */
  public BrokenFrameException(String message) {
    super(message);
  }
}
