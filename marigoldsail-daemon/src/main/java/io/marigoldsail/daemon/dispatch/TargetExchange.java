package io.marigoldsail.daemon.dispatch;

import com.google.protobuf.ByteString;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.dispatch.ByteBudget;
import io.marigoldsail.protocol.Header;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;

/**
 * One HTTP exchange with the target: collects the response and reports the outcome.
 *
 * <p>A response longer than one chunk is not read further until the budget has the bytes of the
 * longest allowed response. Reserving chunk by chunk could deadlock: several responses could be
 * half read, each waiting for bytes that another holds.
 */
final class TargetExchange implements Response.Listener {
  private static final long RESERVE_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

  private final LinkLoop loop;
  private final ByteBudget budget;
  private final boolean headRequest;
  private final Consumer<TargetOutcome> onEnded;
  private volatile boolean requestBegun;
  private volatile boolean responseBegun;
  private volatile String invalidReason;
  private ByteString body = ByteString.EMPTY;
  private long reservedBytes;
  private boolean completed;

  TargetExchange(
      LinkLoop loop, ByteBudget budget, boolean headRequest, Consumer<TargetOutcome> onEnded) {
    this.loop = loop;
    this.headRequest = headRequest;
    this.budget = budget;
    this.onEnded = onEnded;
  }

  /** Records that the first byte of the request is about to be written. */
  void requestBegun() {
    requestBegun = true;
  }

  @Override
  public void onBegin(Response response) {
    responseBegun = true;
  }

  @Override
  public void onContentSource(Response response, Content.Source source) {
    read(response, source);
  }

  private void read(Response response, Content.Source source) {
    while (true) {
      if (body.size() >= BodyLimits.MAX_CHUNK_BYTES && reservedBytes == 0 && !reserve()) {
        loop.schedule(() -> read(response, source), RESERVE_RETRY_NANOS);
        return;
      }
      Content.Chunk chunk = source.read();
      if (chunk == null) {
        source.demand(() -> read(response, source));
        return;
      }
      if (Content.Chunk.isFailure(chunk)) {
        return;
      }
      boolean last = chunk.isLast();
      body = body.concat(ByteString.copyFrom(chunk.getByteBuffer()));
      chunk.release();
      if (body.size() > BodyLimits.MAX_BYTES) {
        invalidReason = "response body is longer than " + BodyLimits.MAX_BYTES + " bytes";
        response.abort(new IllegalStateException(invalidReason));
        return;
      }
      if (last) {
        return;
      }
    }
  }

  private synchronized boolean reserve() {
    // A response abandoned while it waited must not reserve bytes that would not be released.
    if (completed) {
      return true;
    }
    if (!budget.tryReserve(BodyLimits.MAX_BYTES)) {
      return false;
    }
    reservedBytes = BodyLimits.MAX_BYTES;
    return true;
  }

  @Override
  public void onComplete(Result result) {
    synchronized (this) {
      completed = true;
    }
    TargetOutcome outcome = outcome(result);
    if (!(outcome instanceof TargetOutcome.Responded)) {
      release();
    }
    onEnded.accept(outcome);
  }

  private void release() {
    budget.release(reservedBytes);
  }

  private TargetOutcome outcome(Result result) {
    if (result.isSucceeded() || respondedEarly(result)) {
      List<Header> headers = new ArrayList<>();
      HopByHopHeaders.copyEndToEnd(result.getResponse().getHeaders(), headers);
      if (headRequest) {
        copyContentLength(result.getResponse(), headers);
      }
      return new TargetOutcome.Responded(
          result.getResponse().getStatus(), headers, body, this::release);
    }
    String detail = invalidReason != null ? invalidReason : String.valueOf(result.getFailure());
    if (!requestBegun) {
      return new TargetOutcome.NotSent(detail);
    }
    return responseBegun
        ? new TargetOutcome.InvalidResponse(detail)
        : new TargetOutcome.NoResponse(detail);
  }

  /** A response to HEAD has the length that the body would have. */
  private static void copyContentLength(Response response, List<Header> into) {
    String length = response.getHeaders().get(HttpHeader.CONTENT_LENGTH);
    if (length != null) {
      into.add(
          Header.newBuilder()
              .setName(HttpHeader.CONTENT_LENGTH.asString())
              .setValue(length)
              .build());
    }
  }

  /** A target may respond before it has read the complete request, such as with a 413. */
  private boolean respondedEarly(Result result) {
    return responseBegun && result.getResponseFailure() == null && invalidReason == null;
  }
}
