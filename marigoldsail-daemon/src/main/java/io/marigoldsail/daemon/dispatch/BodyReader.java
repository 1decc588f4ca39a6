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
 * Reads the whole body of a caller's request without blocking, within the limit of one body and the
 * budget of all.
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
   * @param request the request, its head read
   * @param budget what all bodies may hold; the reader gives back what it reserved if it fails
   * @param whole told once; after a success {@link #reservedBytes} bytes are to be given back later
   */
  BodyReader(Request request, ByteBudget budget, Consumer<Result<ByteString>> whole) {
    this.request = request;
    this.budget = budget;
    this.onComplete = whole;
  }

  long reservedBytes() {
    return reservedBytes;
  }

  /** Reads what is there and asks to be called again for the rest. */
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
        fail(Failure.of(ErrorKind.BAD_REQUEST, "the body was cut short"));
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
    // A body without Content-Length shows its length only as it comes.
    if (body.size() + length > BodyLimits.MAX_BYTES) {
      return tooLarge();
    }
    if (!budget.tryReserve(length)) {
      return new Failure(ErrorKind.OVERLOADED, "no room for the body", RETRY_AFTER_MILLIS);
    }
    reservedBytes += length;
    ByteString part = ByteString.copyFrom(chunk.getByteBuffer());
    body = body.isEmpty() ? part : body.concat(part);
    return null;
  }

  private static Failure tooLarge() {
    return Failure.of(ErrorKind.BODY_TOO_LARGE, "the limit is " + BodyLimits.MAX_BYTES + " bytes");
  }

  private void fail(Failure failure) {
    budget.release(reservedBytes);
    reservedBytes = 0;
    body = ByteString.EMPTY;
    onComplete.accept(Result.failed(failure));
  }
}
