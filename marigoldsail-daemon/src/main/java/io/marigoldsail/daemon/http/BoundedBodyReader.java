package io.marigoldsail.daemon.http;

import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Result;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.io.Content;

/**
 * Reads a request body up to a limit, and drains a longer one.
 *
 * <p>Guards against two failures: a body without a declared length that fills the heap, and a
 * response that the client never receives. When a server responds and closes while the client is
 * still sending, the client's connection is reset and the response is lost; draining a bounded
 * number of bytes lets most clients read the response.
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
   * Returns a future of the body, {@code BODY_TOO_LARGE}, or {@code BAD_REQUEST} if the body ends
   * early. It never completes exceptionally.
   *
   * @param source the request
   * @param limit the largest body accepted, in bytes
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
