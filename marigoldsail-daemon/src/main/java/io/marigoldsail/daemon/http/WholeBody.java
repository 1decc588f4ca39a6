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
public final class WholeBody implements Runnable {
  private final Content.Source source;
  private final int limit;
  private final CompletableFuture<Result<byte[]>> result = new CompletableFuture<>();
  private final ByteArrayOutputStream kept = new ByteArrayOutputStream();
  private long length;

  private WholeBody(Content.Source source, int limit) {
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
    WholeBody reader = new WholeBody(source, limit);
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
      take(chunk.getByteBuffer());
      boolean ended = chunk.isLast() || length > limit + RestOfBody.MOST_BYTES;
      chunk.release();
      if (ended) {
        result.complete(end());
      }
    }
  }

  private void take(ByteBuffer bytes) {
    length += bytes.remaining();
    if (length <= limit) {
      byte[] copy = new byte[bytes.remaining()];
      bytes.get(copy);
      kept.writeBytes(copy);
    } else {
      kept.reset();
    }
  }

  private Result<byte[]> end() {
    return length <= limit
        ? Result.ok(kept.toByteArray())
        : Result.failed(ErrorKind.BODY_TOO_LARGE, "the limit is " + limit + " bytes");
  }
}
