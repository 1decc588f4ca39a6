package io.marigoldsail.cli.load;

/**
 * The result of a request.
 *
 * @param kind {@code served}, an error code, {@code http-STATUS}, {@code connection-failed} or another
 *     kind of failure
 * @param served whether the caller received the requested response
 */
record LoadAnswer(String kind, boolean served) {
  /** The caller received the response. */
  static final LoadAnswer SERVED = new LoadAnswer("served", true);

  /** The response body differs from the request body, although the target echoes. */
  static final LoadAnswer WRONG_BODY = failed("wrong-body");

  /** No response arrived until well after the deadline. */
  static final LoadAnswer NO_ANSWER = failed("no-answer");

  /** Not sent because the limit of open requests of this tool was reached. */
  static final LoadAnswer NOT_SENT = failed("not-sent-too-many-open");

  static LoadAnswer failed(String kind) {
    return new LoadAnswer(kind, false);
  }
}
