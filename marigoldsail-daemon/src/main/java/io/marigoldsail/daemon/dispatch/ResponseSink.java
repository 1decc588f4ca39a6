package io.marigoldsail.daemon.dispatch;

import io.marigoldsail.error.Failure;

/** Where the one answer to a caller's request goes; called on the loop's thread. */
public interface ResponseSink {
  /**
   * The target's answer.
   *
   * @param requestId the id that the caller is shown
   * @param answer the whole answer
   */
  void succeeded(String requestId, CallerResponse answer);

  /**
   * There is no answer of a target.
   *
   * @param requestId the id that the caller is shown
   * @param failure why
   */
  void failed(String requestId, Failure failure);
}
