package io.marigoldsail.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Failure;
import java.util.Locale;
import java.util.Optional;

/**
 * Converts failures to and from {@code application/problem+json} (RFC 9457), the error format of
 * every HTTP API of the system.
 *
 * <p>Stateless, safe for any thread.
 */
public final class ProblemDetails {
  /** The media type of the response. */
  public static final String MEDIA_TYPE = "application/problem+json";

  private static final String TYPE_PREFIX = "urn:marigoldsail:error:";
  private static final long MILLIS_PER_SECOND = 1000;

  private ProblemDetails() {}

  /**
   * Returns the response document for a failure of one request.
   *
   * @param failure the failure
   * @param instance the id of the failed request
   */
  public static ObjectNode of(Failure failure, String instance) {
    return of(failure).put("instance", instance);
  }

  /** Returns the response document for a failure. */
  public static ObjectNode of(Failure failure) {
    ErrorKind kind = failure.kind();
    ObjectNode node = Json.object();
    node.put("type", TYPE_PREFIX + kind.code());
    node.put("title", kind.title());
    node.put("status", kind.httpStatus());
    node.put("detail", failure.detail());
    node.put("kind", kind.code());
    node.put("execution", kind.execution().name().toLowerCase(Locale.ROOT));
    node.put("advice", kind.advice().text());
    if (failure.retryAfterMillis() > 0) {
      node.put("retryAfterMillis", failure.retryAfterMillis());
    }
    return node;
  }

  /**
   * Returns the value of {@code Retry-After} in whole seconds, rounded up, or empty if the failure
   * has no retry time.
   */
  public static Optional<String> retryAfter(Failure failure) {
    if (failure.retryAfterMillis() == 0) {
      return Optional.empty();
    }
    long seconds = (failure.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
    return Optional.of(Long.toString(seconds));
  }

  /**
   * Returns the failure that a document of {@link #of} represents, or empty for any other document.
   */
  public static Optional<Failure> read(JsonNode node) {
    String type = node.path("type").asText();
    if (!type.startsWith(TYPE_PREFIX)) {
      return Optional.empty();
    }
    long retryAfterMillis = Math.max(0, node.path("retryAfterMillis").asLong(0));
    String detail = node.path("detail").asText();
    return ErrorKind.forCode(type.substring(TYPE_PREFIX.length()))
        .map(kind -> new Failure(kind, detail, retryAfterMillis));
  }
}
