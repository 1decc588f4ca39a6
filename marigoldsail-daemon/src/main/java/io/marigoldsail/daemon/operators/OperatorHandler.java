package io.marigoldsail.daemon.operators;

import io.marigoldsail.error.Result;
import java.util.concurrent.CompletableFuture;

/**
 * Handles the requests of one route on the operators' address.
 *
 * <p>Runs on a small thread pool and must not block: a handler that waits for the log or a peer
 * returns an incomplete future.
 */
@FunctionalInterface
public interface OperatorHandler {
  /** Returns a future of the response. A future that fails becomes an internal error response. */
  CompletableFuture<Result<OperatorResponse>> handle(OperatorRequest request);

  /** A handler that returns its response without a future. */
  @FunctionalInterface
  interface Synchronous {
    /** Returns the response. */
    Result<OperatorResponse> handle(OperatorRequest request);
  }

  /** Adapts a synchronous handler. */
  static OperatorHandler synchronous(Synchronous handler) {
    return request -> CompletableFuture.completedFuture(handler.handle(request));
  }
}
