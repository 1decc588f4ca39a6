package io.marigoldsail.daemon.dispatch;

/** HTTP headers between callers and an entry. */
public final class CallerHeaders {
  /** The name of the caller; defaults to the caller's IP address. */
  public static final String CALLER = "Marigoldsail-Caller";

  /** How long the caller waits for the response, in milliseconds. */
  public static final String DEADLINE_MILLIS = "Marigoldsail-Deadline-Millis";

  /** The key of the request's subject, such as a lot's name. */
  public static final String KEY = "Marigoldsail-Key";

  /** Identifies one intended effect across several attempts of the caller. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** The request's id on the timeline, in responses and in requests to targets. */
  public static final String REQUEST_ID = "Marigoldsail-Request-Id";

  private CallerHeaders() {}
}
