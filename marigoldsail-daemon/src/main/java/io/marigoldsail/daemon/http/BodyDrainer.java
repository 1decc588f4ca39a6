package io.marigoldsail.daemon.http;

import static java.util.Objects.requireNonNull;

import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Callback;

/**
 * Reads what is left of a body, without keeping it, once its request has been answered.
 *
 * <p>Guards against a refusal that the client never sees: a server that answers and closes while
 * the client still writes makes the connection reset, and the reset overtakes the answer. So the
 * answer leaves at once, and the connection ends only when the body has come or was too long even
 * to be passed over.
 *
 * <p>Never blocks. Used once, by the thread that serves the request.
 */
public final class BodyDrainer implements Runnable {
  /** The most that is read for nothing; one who sends more is cut off, in bytes. */
  static final long MAX_DRAINED_BYTES = 16L << 20;

  private final Content.Source body;
  private final Callback completion;
  private long drainedBytes;

  private BodyDrainer(Content.Source body, Callback after) {
    this.body = requireNonNull(body, "body");
    this.completion = requireNonNull(after, "after");
  }

  /**
   * Returns a callback for the writing of an answer that reads the rest of the body before it
   * completes the one given.
   *
   * @param body the request's body, of which some may have been read
   * @param after completes the request
   */
  public static Callback drainThenComplete(Content.Source body, Callback after) {
    BodyDrainer rest = new BodyDrainer(body, after);
    return Callback.from(rest::run, after::failed);
  }

  /** Reads what is there and asks to be called again for more. */
  @Override
  public void run() {
    while (drainedBytes < MAX_DRAINED_BYTES) {
      Content.Chunk chunk = body.read();
      if (chunk == null) {
        body.demand(this);
        return;
      }
      drainedBytes += chunk.remaining();
      boolean ended = chunk.isLast() || Content.Chunk.isFailure(chunk);
      chunk.release();
      if (ended) {
        break;
      }
    }
    completion.succeeded();
  }
}
