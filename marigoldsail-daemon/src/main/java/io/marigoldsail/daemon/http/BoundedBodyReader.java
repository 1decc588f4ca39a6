package io.marigoldsail.daemon.http;

import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Result;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.io.Content;

/**
 * Reads a body up to a limit, and what is longer to its end without keeping it.
 *
 * <p>Guards against two failures: a body without a length that fills the heap, and a refusal that
 * the client never sees. A server that answers and closes while the client still writes makes the
 * client's connection fail with a reset, and the answer is lost; reading on for a bounded amount
 * lets most clients come to the answer.
 */
public final class BoundedBodyReader implements Runnable {
  private final Content.Source source;
  private final int limit;
  private final CompletableFuture<Result<byte[]>> result = new CompletableFuture<>();
  private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
  private long length;

  private BoundedBodyReader(Content.Source source, int limit) {
    this.source = source;
    this.limit = limit;
  }

  /**
   * Returns a future for the body, {@code BODY_TOO_LARGE} or {@code BAD_REQUEST}.
   *
   * @param source the request
   * @param limit the longest body taken, in bytes
   */
  public static CompletableFuture<Result<byte[]>> read(Content.Source source, int limit) {
    BoundedBodyReader reader = new BoundedBodyReader(source, limit);
    reader.run();
    return reader.result;
  }

  @Override
  public void run() {
    while (!result.isDone()) {
      Content.Chunk chunk = source.read();
      if (chunk == null) {
        source.demand(this);
        return;
      }
      if (Content.Chunk.isFailure(chunk)) {
        result.complete(
            Result.failed(ErrorKind.BAD_REQUEST, "the body was cut short: " + chunk.getFailure()));
        return;
      }
      append(chunk.getByteBuffer());
      boolean ended = chunk.isLast() || length > limit + BodyDrainer.MAX_DRAINED_BYTES;
      chunk.release();
      if (ended) {
        result.complete(bodyOrFailure());
      }
    }
  }

  private void append(ByteBuffer bytes) {
    length += bytes.remaining();
    if (length <= limit) {
      byte[] copy = new byte[bytes.remaining()];
      bytes.get(copy);
      buffer.writeBytes(copy);
    } else {
      buffer.reset();
    }
  }

  private Result<byte[]> bodyOrFailure() {
    return length <= limit
        ? Result.ok(buffer.toByteArray())
        : Result.failed(ErrorKind.BODY_TOO_LARGE, "the limit is " + limit + " bytes");
  }
}
