package io.marigoldsail.daemon.dispatch;

/** Limits on request and response bodies, the same in every process. */
public final class BodyLimits {
  /** The maximum length of a request or response body, in bytes. */
  public static final int MAX_BYTES = 8 * 1024 * 1024;

  /** The maximum length of a body chunk in one frame, in bytes; shorter bodies take one frame. */
  static final int MAX_CHUNK_BYTES = 64 * 1024;

  private BodyLimits() {}
}
