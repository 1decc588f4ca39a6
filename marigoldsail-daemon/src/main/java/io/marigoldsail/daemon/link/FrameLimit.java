package io.marigoldsail.daemon.link;

import io.marigoldsail.protocol.Frame;

/**
 * The limit of a frame on a link: the one definition of it, for those who make frames, for the
 * sender and for the receiver, which closes a connection over a longer one.
 */
public final class FrameLimit {
  /**
   * The maximum length of a frame, in bytes. Leaves space for one body chunk plus the longest
   * headers allowed in a caller's or target's message.
   */
  public static final int MAX_BYTES = 192 * 1024;

  /** What a frame adds to its body at most, in bytes: tags, lengths, time stamp and count. */
  public static final int OVERHEAD_BYTES = 64;

  private FrameLimit() {}

  /** Returns whether a receiver accepts the frame. */
  static boolean admits(Frame frame) {
    return frame.getSerializedSize() <= MAX_BYTES;
  }
}
