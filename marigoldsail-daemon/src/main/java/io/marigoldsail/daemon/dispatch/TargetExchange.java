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
 * longest allowed response. Reserving chunk by chunk could deadlock: several responses could be half
 * read, each waiting for bytes that another holds.
 */
final class TargetExchange implements Response.Listener {
  private static final long RETRY_RESERVE_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

  private final LinkLoop loop;
  private final ByteBudget budget;
  private final boolean bodiless;
  private final Consumer<TargetOutcome> ended;
  private volatile boolean begun;
  private volatile boolean answerBegun;
  private volatile String broken;
  private ByteString body = ByteString.EMPTY;
  private long reserved;
  private boolean completed;

  TargetExchange(
      LinkLoop loop, ByteBudget budget, boolean headRequest, Consumer<TargetOutcome> onEnded) {
    this.loop = loop;
    this.bodiless = headRequest;
    this.budget = budget;
    this.ended = onEnded;
  }

  /** Records that the first byte of the request is about to be written. */
  void begun() {
    begun = true;
  }

  @Override
  public void onBegin(Response response) {
    answerBegun = true;
  }

  @Override
  public void onContentSource(Response response, Content.Source source) {
    read(response, source);
  }

  private void read(Response response, Content.Source source) {
    while (true) {
      if (body.size() >= Bodies.CHUNK_BYTES && reserved == 0 && !reserve()) {
        loop.schedule(() -> read(response, source), RETRY_RESERVE_NANOS);
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
      if (body.size() > Bodies.MAX_BYTES) {
        broken = "response body is longer than " + Bodies.MAX_BYTES + " bytes";
        response.abort(new IllegalStateException(broken));
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
    if (!budget.tryReserve(Bodies.MAX_BYTES)) {
      return false;
    }
    reserved = Bodies.MAX_BYTES;
    return true;
  }

  @Override
  public void onComplete(Result result) {
    synchronized (this) {
      completed = true;
    }
    TargetOutcome outcome = outcome(result);
    if (!(outcome instanceof TargetOutcome.Answered)) {
      release();
    }
    ended.accept(outcome);
  }

  private void release() {
    budget.release(reserved);
  }

  private TargetOutcome outcome(Result result) {
    if (result.isSucceeded() || answeredEarly(result)) {
      List<Header> headers = new ArrayList<>();
      HopHeaders.copy(result.getResponse().getHeaders(), headers);
      if (bodiless) {
        copyLength(result.getResponse(), headers);
      }
      return new TargetOutcome.Answered(
          result.getResponse().getStatus(), headers, body, this::release);
    }
    String detail = broken != null ? broken : String.valueOf(result.getFailure());
    if (!begun) {
      return new TargetOutcome.NeverSent(detail);
    }
    return answerBegun ? new TargetOutcome.BrokenAnswer(detail) : new TargetOutcome.Lost(detail);
  }

  /** A response to HEAD has the length that the body would have. */
  private static void copyLength(Response response, List<Header> into) {
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
  private boolean answeredEarly(Result result) {
    return answerBegun && result.getResponseFailure() == null && broken == null;
  }
}
