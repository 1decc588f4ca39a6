package io.marigoldsail.cli.load;

/**
 * The result of a request.
 *
 * @param kind {@code served}, an error code, {@code http-STATUS}, {@code connection-failed} or
 *     another kind of failure
 * @param served whether the caller received the requested response
 */
record LoadResult(String kind, boolean served) {
  /** The caller received the response. */
  static final LoadResult SERVED = new LoadResult("served", true);

  /** The response body differs from the request body, although the target echoes. */
  static final LoadResult WRONG_BODY = failed("wrong-body");

  /** No response arrived until well after the deadline. */
  static final LoadResult NO_RESPONSE = failed("no-answer");

  /** Not sent because the limit of open requests of this tool was reached. */
  static final LoadResult NOT_SENT = failed("not-sent-too-many-open");

  static LoadResult failed(String kind) {
    return new LoadResult(kind, false);
  }
}
