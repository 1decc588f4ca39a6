package io.marigoldsail.daemon.http;

import static java.util.Objects.requireNonNull;

import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Callback;

/**
 * Reads and discards the rest of a request body after the response has been sent.
 *
 * <p>Guards against a response that the client never receives: when a server responds and closes
 * while the client is still sending, the connection is reset and the reset overtakes the response.
 * Therefore the response is sent at once, and the request completes only when the body has ended or
 * {@link #MAX_DRAINED_BYTES} have been drained.
 *
 * <p>Never blocks. For one request, on the thread that serves it.
 */
public final class BodyDrainer implements Runnable {
  /** Maximum number of drained bytes; a client that sends more is disconnected. */
  static final long MAX_DRAINED_BYTES = 16L << 20;

  private final Content.Source body;
  private final Callback completion;
  private long drainedBytes;

  private BodyDrainer(Content.Source body, Callback completion) {
    this.body = requireNonNull(body, "body");
    this.completion = requireNonNull(completion, "completion");
  }

  /**
   * Returns a callback for writing the response that drains the rest of the body before it
   * completes the given callback.
   *
   * @param body the request's body, which may be partly read
   * @param completion completes the request
   */
  public static Callback drainThenComplete(Content.Source body, Callback completion) {
    BodyDrainer drainer = new BodyDrainer(body, completion);
    return Callback.from(drainer::run, completion::failed);
  }

  /** Discards the available bytes and demands a call when more arrive. */
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
