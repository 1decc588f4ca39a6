package io.marigoldsail.daemon.dispatch;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.marigoldsail.error.Failure;
import java.util.Locale;

/** Failures as {@code application/problem+json}. */
public final class ProblemDetails {
  /** The media type. */
  public static final String MEDIA_TYPE = "application/problem+json";

  private static final String TYPE_PREFIX = "urn:marigoldsail:error:";
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final ObjectMapper JSON = new ObjectMapper();

  private ProblemDetails() {}

  /**
   * Returns the failure as a JSON document.
   *
   * @param failure what went wrong
   * @param instance the id of the request it happened to, or empty
   */
  public static byte[] json(Failure failure, String instance) {
    ObjectNode problem = JSON.createObjectNode();
    problem.put("type", TYPE_PREFIX + failure.kind().code());
    problem.put("title", failure.kind().title());
    problem.put("status", failure.kind().httpStatus());
    problem.put("detail", failure.detail());
    problem.put("kind", failure.kind().code());
    problem.put("execution", failure.kind().execution().name().toLowerCase(Locale.ROOT));
    problem.put("advice", failure.kind().advice().text());
    if (failure.retryAfterMillis() > 0) {
      problem.put("retryAfterMillis", failure.retryAfterMillis());
    }
    if (!instance.isEmpty()) {
      problem.put("instance", instance);
    }
    try {
      return JSON.writeValueAsBytes(problem);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a tree of strings and numbers is always written", e);
    }
  }

  /** Returns the value of {@code Retry-After}: whole seconds, rounded up. */
  public static long retryAfterSeconds(Failure failure) {
    return (failure.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
  }
}
