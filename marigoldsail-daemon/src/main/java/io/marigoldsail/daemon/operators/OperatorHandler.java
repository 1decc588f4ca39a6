package io.marigoldsail.daemon.operators;

import io.marigoldsail.error.Result;
import java.util.concurrent.CompletableFuture;

/**
 * Serves one route of the operators' address.
 *
 * <p>Called on one of a few threads: a handler that waits for the log or a peer returns a future
 * that others complete, and never blocks.
 */
@FunctionalInterface
public interface OperatorHandler {
  /** Returns the answer, or a future for it; a future that fails is answered as internal error. */
  CompletableFuture<Result<OperatorResponse>> handle(OperatorRequest request);

  /** A handler that has its answer at once. */
  @FunctionalInterface
  interface Synchronous {
    /** Returns the answer. */
    Result<OperatorResponse> handle(OperatorRequest request);
  }

  /** Returns a handler that answers at once. */
  static OperatorHandler synchronous(Synchronous handler) {
    return request -> CompletableFuture.completedFuture(handler.handle(request));
  }
}
