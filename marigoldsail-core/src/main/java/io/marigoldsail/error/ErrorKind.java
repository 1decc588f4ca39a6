package io.marigoldsail.error;

import java.util.Locale;
import java.util.Optional;

/**
 * All kinds of errors, each with its HTTP status and its advice to the caller or operator.
 *
 * <p>This enum is the only definition of error responses; a test checks that {@code docs/errors.md}
 * lists the same content. Constants are immutable and thread-safe.
 */
public enum ErrorKind {
  /** The request is malformed: a wrong type, an unknown field or an invalid header. */
  BAD_REQUEST(400, Execution.NOT_RUN, Advice.CORRECT_REQUEST, "The request is malformed"),
  /** No resource exists at this path or with this name. */
  NOT_FOUND(404, Execution.NOT_RUN, Advice.CORRECT_REQUEST, "There is nothing under this name"),
  /** The path does not support this method. */
  METHOD_NOT_ALLOWED(405, Execution.NOT_RUN, Advice.CORRECT_REQUEST, "The path lacks this method"),
  /** Two publishers, or two requests with the same idempotency key, conflict. */
  CONFLICT(
      409, Execution.NOT_RUN, Advice.CORRECT_REQUEST, "Another change or request is in the way"),
  /** The body exceeds the documented limit. */
  BODY_TOO_LARGE(413, Execution.NOT_RUN, Advice.CORRECT_REQUEST, "The body exceeds the limit"),
  /** A configuration, job or settings file was parsed but violates a rule. */
  INVALID_CONTENT(422, Execution.NOT_RUN, Advice.CORRECT_REQUEST, "The content breaks a rule"),
  /** The job can run on no VM, even with all other tasks ended. */
  NEVER_FITS(422, Execution.NOT_RUN, Advice.CORRECT_REQUEST, "The job can never run on any VM"),
  /** The caller holds more than its fair share while others wait. */
  CALLER_OVER_SHARE(429, Execution.NOT_RUN, Advice.RETRY_LATER, "The caller is over its share"),
  /** The team's quota is exhausted. */
  QUOTA_EXCEEDED(429, Execution.NOT_RUN, Advice.RETRY_LATER, "The team's quota is used up"),
  /** The service is fully loaded; the request would have missed its deadline. */
  OVERLOADED(503, Execution.NOT_RUN, Advice.RETRY_LATER, "The service is full"),
  /** The service has no live target. */
  NO_TARGET(503, Execution.NOT_RUN, Advice.RETRY_LATER, "No target serves this now"),
  /** This process is stopping and accepts no new requests. */
  SHUTTING_DOWN(503, Execution.NOT_RUN, Advice.RETRY_LATER, "This process is stopping"),
  /** The platform's log service does not respond; nothing was accepted. */
  LOG_UNAVAILABLE(503, Execution.NOT_RUN, Advice.RETRY_LATER, "The log service is unavailable"),
  /**
   * The log did not confirm whether the append took effect; repeating it is safe, because records
   * are deduplicated by id.
   */
  LOG_OUTCOME_UNKNOWN(
      504, Execution.UNKNOWN, Advice.RETRY_IF_IDEMPOTENT, "The log's answer was lost"),
  /** The outcome of an earlier request with this idempotency key is not known here yet. */
  KEY_STATE_UNKNOWN(
      503, Execution.UNKNOWN, Advice.RETRY_LATER, "An earlier try with this key may have run"),
  /** The deadline passed before the request was passed to a target. */
  DEADLINE_BEFORE_START(504, Execution.NOT_RUN, Advice.RETRY_LATER, "The deadline passed unserved"),
  /** The deadline passed while a target was processing the request. */
  DEADLINE_WHILE_RUNNING(
      504, Execution.UNKNOWN, Advice.RETRY_IF_IDEMPOTENT, "The answer came too late"),
  /** The target or the connection to it was lost, and the request may have run. */
  OUTCOME_UNKNOWN(502, Execution.UNKNOWN, Advice.RETRY_IF_IDEMPOTENT, "The outcome is unknown"),
  /** The target's response was truncated or invalid. */
  TARGET_BROKEN_ANSWER(
      502, Execution.RAN, Advice.RETRY_IF_IDEMPOTENT, "The target's answer was broken"),
  /** The target refused the connection; nothing was sent. */
  TARGET_UNREACHABLE(502, Execution.NOT_RUN, Advice.RETRY_LATER, "The target cannot be reached"),
  /** The worker did not respond, or failed to execute a command. */
  WORKER_FAILED(502, Execution.UNKNOWN, Advice.RETRY_LATER, "The worker failed"),
  /** An internal error; the log has the details. */
  INTERNAL(500, Execution.UNKNOWN, Advice.RETRY_IF_IDEMPOTENT, "An internal error");

  /** Whether the requested operation may have taken effect. */
  public enum Execution {
    /** The operation provably did not run and never will. */
    NOT_RUN,
    /** The operation ran. */
    RAN,
    /** The operation may or may not have run. */
    UNKNOWN
  }

  /** What the caller may do next. */
  public enum Advice {
    /** Repeating the unchanged request is useless. */
    CORRECT_REQUEST("correct the request; the same one fails again"),
    /** Repeating the request later is safe, whatever its method. */
    RETRY_LATER("ask again after the time in Retry-After"),
    /** Repeating the request is safe if it is idempotent, or with the same idempotency key. */
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

  /** Returns the HTTP status of the response. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns whether the requested operation may have taken effect. */
  public Execution execution() {
    return execution;
  }

  /** Returns what the caller may do next. */
  public Advice advice() {
    return advice;
  }

  /** Returns a short human-readable summary, the same for every occurrence. */
  public String title() {
    return title;
  }

  /**
   * Returns the stable name used in responses, frames, logs and metrics, such as {@code no-target}.
   */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the kind with the given {@linkplain #code() code}, or empty if the code is unknown. */
  public static Optional<ErrorKind> forCode(String code) {
    for (ErrorKind kind : values()) {
      if (kind.code().equals(code)) {
        return Optional.of(kind);
      }
    }
    return Optional.empty();
  }
}
