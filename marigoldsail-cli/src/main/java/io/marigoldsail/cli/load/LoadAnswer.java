package io.marigoldsail.cli.load;

/**
 * How a request ended.
 *
 * @param kind {@code served}, an error's code, {@code http-STATUS}, {@code connection-failed} and
 *     so on
 * @param served whether the caller got what it asked for
 */
record LoadAnswer(String kind, boolean served) {
  /** The caller got its answer. */
  static final LoadAnswer SERVED = new LoadAnswer("served", true);

  /** The answer's body was not the request's, though the target echoes. */
  static final LoadAnswer WRONG_BODY = failed("wrong-body");

  /** No answer came until well after the deadline. */
  static final LoadAnswer NO_ANSWER = failed("no-answer");

  /** Not sent, because too many were open already: the tool's own limit. */
  static final LoadAnswer NOT_SENT = failed("not-sent-too-many-open");

  static LoadAnswer failed(String kind) {
    return new LoadAnswer(kind, false);
  }
}
