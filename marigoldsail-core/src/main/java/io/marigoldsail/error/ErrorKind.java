package io.marigoldsail.error;

import java.util.Locale;
import java.util.Optional;

/**
 * The closed list of what can go wrong, each with the answer that a caller or an operator gets.
 *
 * <p>This enum is the only table from kind to answer; {@code docs/errors.md} shows it and a test
 * holds the two equal. Constants are immutable and safe for any thread.
 */
public enum ErrorKind {
  /** The request itself is malformed: a wrong type, an unknown field, a broken header. */
  BAD_REQUEST(400, Execution.NOT_RUN, Advice.CORRECT_REQUEST, "The request is malformed"),
  /** Nothing answers at this path or under this name. */
  NOT_FOUND(404, Execution.NOT_RUN, Advice.CORRECT_REQUEST, "There is nothing under this name"),
  /** The path exists but not with this method. */
  METHOD_NOT_ALLOWED(405, Execution.NOT_RUN, Advice.CORRECT_REQUEST, "The path lacks this method"),
  /** Two publishers, or two requests with one idempotency key, disagree. */
  CONFLICT(
      409, Execution.NOT_RUN, Advice.CORRECT_REQUEST, "Another change or request is in the way"),
  /** The body is longer than the documented limit. */
  BODY_TOO_LARGE(413, Execution.NOT_RUN, Advice.CORRECT_REQUEST, "The body exceeds the limit"),
  /** A file was understood but breaks a rule: configuration, job, or settings. */
  INVALID_CONTENT(422, Execution.NOT_RUN, Advice.CORRECT_REQUEST, "The content breaks a rule"),
  /** The job can never run anywhere, whatever ends first. */
  NEVER_FITS(422, Execution.NOT_RUN, Advice.CORRECT_REQUEST, "The job can never run on any VM"),
  /** The caller holds more than its share while others wait. */
  CALLER_OVER_SHARE(429, Execution.NOT_RUN, Advice.RETRY_LATER, "The caller is over its share"),
  /** The team's quota is used up. */
  QUOTA_EXCEEDED(429, Execution.NOT_RUN, Advice.RETRY_LATER, "The team's quota is used up"),
  /** The system is full; the request could not have been served before its deadline. */
  OVERLOADED(503, Execution.NOT_RUN, Advice.RETRY_LATER, "The service is full"),
  /** No target of the service is known and alive. */
  NO_TARGET(503, Execution.NOT_RUN, Advice.RETRY_LATER, "No target serves this now"),
  /** This process is stopping and takes nothing new. */
  SHUTTING_DOWN(503, Execution.NOT_RUN, Advice.RETRY_LATER, "This process is stopping"),
  /** The platform's log service does not answer; nothing was accepted. */
  LOG_UNAVAILABLE(503, Execution.NOT_RUN, Advice.RETRY_LATER, "The log service is unavailable"),
  /** The log did not say whether the append took effect; asking again is safe by record id. */
  LOG_OUTCOME_UNKNOWN(
      504, Execution.UNKNOWN, Advice.RETRY_IF_IDEMPOTENT, "The log's answer was lost"),
  /** The idempotency key's earlier outcome is not known here yet. */
  KEY_STATE_UNKNOWN(
      503, Execution.UNKNOWN, Advice.RETRY_LATER, "An earlier try with this key may have run"),
  /** The deadline passed before the request was handed to a target. */
  DEADLINE_BEFORE_START(504, Execution.NOT_RUN, Advice.RETRY_LATER, "The deadline passed unserved"),
  /** The deadline passed while a target was at work. */
  DEADLINE_WHILE_RUNNING(
      504, Execution.UNKNOWN, Advice.RETRY_IF_IDEMPOTENT, "The answer came too late"),
  /** The target or the way to it was lost after the request may have run. */
  OUTCOME_UNKNOWN(502, Execution.UNKNOWN, Advice.RETRY_IF_IDEMPOTENT, "The outcome is unknown"),
  /** The target's answer was cut short or was no valid answer. */
  TARGET_BROKEN_ANSWER(
      502, Execution.RAN, Advice.RETRY_IF_IDEMPOTENT, "The target's answer was broken"),
  /** The target refused the connection; nothing was sent. */
  TARGET_UNREACHABLE(502, Execution.NOT_RUN, Advice.RETRY_LATER, "The target cannot be reached"),
  /** The worker did not answer or failed what it was asked. */
  WORKER_FAILED(502, Execution.UNKNOWN, Advice.RETRY_LATER, "The worker failed"),
  /** A fault of this software; the log line names it. */
  INTERNAL(500, Execution.UNKNOWN, Advice.RETRY_IF_IDEMPOTENT, "An internal error");

  /** Whether what was asked for may have taken effect. */
  public enum Execution {
    /** Proven not to have run, and never will. */
    NOT_RUN,
    /** It ran. */
    RAN,
    /** It may or may not have run. */
    UNKNOWN
  }

  /** What the one who asked may do next. */
  public enum Advice {
    /** Asking again unchanged is pointless. */
    CORRECT_REQUEST("correct the request; the same one fails again"),
    /** Asking again later is safe, whatever the method. */
    RETRY_LATER("ask again after the time in Retry-After"),
    /** Asking again is safe for idempotent requests, or with the same idempotency key. */
    RETRY_IF_IDEMPOTENT("ask again only if idempotent, or with the same Idempotency-Key");

    private final String text;

    Advice(String text) {
      this.text = text;
    }

    /** Returns the advice as a sentence without a full stop. */
    public String text() {
      return text;
    }
  }

  private final int httpStatus;
  private final Execution execution;
  private final Advice advice;
  private final String title;

  ErrorKind(int httpStatus, Execution execution, Advice advice, String title) {
    this.httpStatus = httpStatus;
    this.execution = execution;
    this.advice = advice;
    this.title = title;
  }

  /** Returns the HTTP status of the answer. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns whether what was asked for may have taken effect. */
  public Execution execution() {
    return execution;
  }

  /** Returns what the one who asked may do next. */
  public Advice advice() {
    return advice;
  }

  /** Returns a short human-readable summary, the same for every occurrence. */
  public String title() {
    return title;
  }

  /**
   * Returns the stable name used in answers, frames, logs and metrics, such as {@code no-target}.
   */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the kind with the given {@linkplain #code() code}, or empty for a foreign one. */
  public static Optional<ErrorKind> forCode(String code) {
    for (ErrorKind kind : values()) {
      if (kind.code().equals(code)) {
        return Optional.of(kind);
      }
    }
    return Optional.empty();
  }
}
