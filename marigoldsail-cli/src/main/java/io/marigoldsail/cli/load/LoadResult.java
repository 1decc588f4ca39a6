package io.marigoldsail.cli.load;

/**
 * How a request ended.
 *
 * @param kind {@code served}, an error's code, {@code http-STATUS}, {@code connection-failed} and
 *     so on
 * @param served whether the caller got what it asked for
 */
record LoadResult(String kind, boolean served) {
  /** The caller got its answer. */
  static final LoadResult SERVED = new LoadResult("served", true);

  /** The answer's body was not the request's, though the target echoes. */
  static final LoadResult WRONG_BODY = failed("wrong-body");

  /** No answer came until well after the deadline. */
  static final LoadResult NO_RESPONSE = failed("no-answer");

  /** Not sent, because too many were open already: the tool's own limit. */
  static final LoadResult NOT_SENT = failed("not-sent-too-many-open");

  static LoadResult failed(String kind) {
    return new LoadResult(kind, false);
  }
}
