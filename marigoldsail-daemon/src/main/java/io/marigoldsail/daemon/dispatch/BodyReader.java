package io.marigoldsail.daemon.dispatch;

import com.google.protobuf.ByteString;
import io.marigoldsail.dispatch.ByteBudget;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Failure;
import io.marigoldsail.error.Result;
import java.util.function.Consumer;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;

/**
 * Reads the body of a caller's request without blocking, within the limit of one body and the
 * budget of all bodies.
 */
final class BodyReader implements Runnable {
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final Request request;
  private final ByteBudget budget;
  private final Consumer<Result<ByteString>> onComplete;
  private ByteString body = ByteString.EMPTY;
  private long reservedBytes;

  /**
   * Creates a reader.
   *
   * @param request the request, its head already read
   * @param budget the bytes that all bodies may hold; a failed read returns its bytes by itself
   * @param onComplete called once; after a success the receiver must later return {@link
   *     #reservedBytes} bytes to the budget
   */
  BodyReader(Request request, ByteBudget budget, Consumer<Result<ByteString>> onComplete) {
    this.request = request;
    this.budget = budget;
    this.onComplete = onComplete;
  }

  long reservedBytes() {
    return reservedBytes;
  }

  /** Reads the available content and demands a further call for the rest. */
  @Override
  public void run() {
    if (request.getLength() > BodyLimits.MAX_BYTES) {
      fail(tooLarge());
      return;
    }
    while (true) {
      Content.Chunk chunk = request.read();
      if (chunk == null) {
        request.demand(this);
        return;
      }
      if (Content.Chunk.isFailure(chunk)) {
        fail(Failure.of(ErrorKind.BAD_REQUEST, "the body could not be read completely"));
        return;
      }
      boolean last = chunk.isLast();
      Failure failure = append(chunk);
      chunk.release();
      if (failure != null) {
        fail(failure);
        return;
      }
      if (last) {
        onComplete.accept(Result.ok(body));
        return;
      }
    }
  }

  private Failure append(Content.Chunk chunk) {
    int length = chunk.remaining();
    if (length == 0) {
      return null;
    }
    // The length of a body without Content-Length is known only as it is read.
    if (body.size() + length > BodyLimits.MAX_BYTES) {
      return tooLarge();
    }
    if (!budget.tryReserve(length)) {
      return new Failure(
          ErrorKind.OVERLOADED,
          "the body exceeds the free memory budget of the entry",
          RETRY_AFTER_MILLIS);
    }
    reservedBytes += length;
    ByteString content = ByteString.copyFrom(chunk.getByteBuffer());
    body = body.isEmpty() ? content : body.concat(content);
    return null;
  }

  private static Failure tooLarge() {
    return Failure.of(
        ErrorKind.BODY_TOO_LARGE, "the body limit is " + BodyLimits.MAX_BYTES + " bytes");
  }

  private void fail(Failure failure) {
    budget.release(reservedBytes);
    reservedBytes = 0;
    body = ByteString.EMPTY;
    onComplete.accept(Result.failed(failure));
  }
}
