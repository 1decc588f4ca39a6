package io.marigoldsail.daemon.dispatch;

import com.google.protobuf.ByteString;
import io.marigoldsail.daemon.link.BrokenFrameException;
import io.marigoldsail.dispatch.ByteBudget;
import io.marigoldsail.protocol.AnswerStart;
import java.util.Optional;

/** Puts an answer together from its frames; only a whole one comes out. */
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

  /** Returns an assembly that has taken the first frame, or empty where memory is short. */
  static Optional<ResponseAssembly> begin(AnswerStart start, ByteBudget budget)
      throws BrokenFrameException {
    if (start.getBodyLength() > BodyLimits.MAX_BYTES) {
      throw new BrokenFrameException("answer of " + start.getBodyLength() + " bytes");
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
    // A shorter body with the mark of the last chunk would reach the caller as a whole answer.
    if (body.size() > length || (last && body.size() != length)) {
      throw new BrokenFrameException("answer has " + body.size() + " bytes, not " + length);
    }
    complete = last;
  }

  boolean isComplete() {
    return complete;
  }

  CallerResponse response() {
    return new CallerResponse(start.getStatus(), start.getHeadersList(), body);
  }

  /** Gives back what the answer holds of the budget; to be called once. */
  void release() {
    budget.release(reservedBytes);
  }
}
