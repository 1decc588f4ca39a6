package io.marigoldsail.daemon.dispatch;

/** Headers between callers and an entry. */
public final class CallerHeaders {
  /** Who asks; where it is missing, the caller's IP number stands for it. */
  public static final String CALLER = "Marigoldsail-Caller";

  /** How many milliseconds the caller still waits. */
  public static final String DEADLINE_MILLIS = "Marigoldsail-Deadline-Millis";

  /** What the request is about, such as a lot's name. */
  public static final String KEY = "Marigoldsail-Key";

  /** Names one intended effect over several tries. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** In answers, and in requests to targets: the request's id on the time line. */
  public static final String REQUEST_ID = "Marigoldsail-Request-Id";

  private CallerHeaders() {}
}
