package io.marigoldsail.daemon.dispatch;

/** Limits on bodies, the same in every process. */
public final class BodyLimits {
  /** The longest body of a request and of an answer, in bytes. */
  public static final int MAX_BYTES = 8 * 1024 * 1024;

  /** The longest piece of a body in one frame, in bytes; shorter bodies travel in one frame. */
  static final int MAX_CHUNK_BYTES = 64 * 1024;

  private BodyLimits() {}
}
