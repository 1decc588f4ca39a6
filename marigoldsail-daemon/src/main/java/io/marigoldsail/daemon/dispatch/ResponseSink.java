package io.marigoldsail.daemon.dispatch;

import io.marigoldsail.error.Failure;

/** Receives the single response to a caller's request; called on the loop's thread. */
public interface ResponseSink {
  /**
   * The target sent a response.
   *
   * @param requestId the request id that the caller receives
   * @param response the complete response
   */
  void succeeded(String requestId, CallerResponse response);

  /**
   * The request ended without a response of a target.
   *
   * @param requestId the request id that the caller receives
   * @param failure the reason
   */
  void failed(String requestId, Failure failure);
}
