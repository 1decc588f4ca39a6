package io.marigoldsail.daemon.dispatch;

import com.google.protobuf.ByteString;
import io.marigoldsail.daemon.link.BrokenFrameException;
import io.marigoldsail.dispatch.ByteBudget;
import io.marigoldsail.protocol.AnswerStart;
import java.util.Optional;

/** Assembles a response from its frames and rejects a body of the wrong length. */
final class ResponseAssembly {
  private final AnswerStart start;
  private final ByteBudget budget;
  private final long reservedBytes;
  private ByteString body;
  private boolean complete;

  private ResponseAssembly(AnswerStart start, ByteBudget budget, long reserved) {
    this.start = start;
    this.budget = budget;
    this.reservedBytes = reserved;
    this.body = ByteString.EMPTY;
  }

  /** Returns an assembly with the first frame added, or empty if the budget is exhausted. */
  static Optional<ResponseAssembly> begin(AnswerStart start, ByteBudget budget)
      throws BrokenFrameException {
    if (start.getBodyLength() > BodyLimits.MAX_BYTES) {
      throw new BrokenFrameException(
          "response body has "
              + start.getBodyLength()
              + " bytes, limit is "
              + BodyLimits.MAX_BYTES);
    }
    if (!budget.tryReserve(start.getBodyLength())) {
      return Optional.empty();
    }
    ResponseAssembly assembly = new ResponseAssembly(start, budget, start.getBodyLength());
    assembly.add(start.getData(), start.getLast());
    return Optional.of(assembly);
  }

  void add(ByteString data, boolean last) throws BrokenFrameException {
    body = body.isEmpty() ? data : body.concat(data);
    long length = start.getBodyLength();
    // A truncated body whose last chunk is marked would reach the caller as a complete response.
    if (body.size() > length || (last && body.size() != length)) {
      throw new BrokenFrameException(
          "response body has " + body.size() + " bytes, announced were " + length);
    }
    complete = last;
  }

  boolean isComplete() {
    return complete;
  }

  CallerResponse response() {
    return new CallerResponse(start.getStatus(), start.getHeadersList(), body);
  }

  /** Returns the reserved bytes to the budget; to be called once. */
  void release() {
    budget.release(reservedBytes);
  }
}
