package io.marigoldsail.daemon.operators;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import io.marigoldsail.json.Json;

/**
 * The answer to an operator's request.
 *
 * <p>Rejects nulls.
 *
 * @param status the HTTP status
 * @param mediaType the body's media type
 * @param body the body; not copied, must not be changed
 */
@SuppressWarnings("ArrayRecordComponent") // handed to the connection unread; equality is not used
public record OperatorResponse(int status, String mediaType, byte[] body) {
  private static final int STATUS_OK = 200;
  private static final int STATUS_ACCEPTED = 202;
  private static final String JSON_TYPE = "application/json";

  /** Checks the components. */
  public OperatorResponse {
    requireNonNull(mediaType, "mediaType");
    requireNonNull(body, "body");
  }

  /** Returns an answer with status 200. */
  public static OperatorResponse ok(JsonNode body) {
    return new OperatorResponse(STATUS_OK, JSON_TYPE, Json.bytes(body));
  }

  /** Returns an answer with status 200 from records or lists of them. */
  public static OperatorResponse okOf(Object value) {
    return ok(Json.mapper().valueToTree(value));
  }

  /** Returns an answer with status 202: taken on, not ended. */
  public static OperatorResponse accepted(JsonNode body) {
    return new OperatorResponse(STATUS_ACCEPTED, JSON_TYPE, Json.bytes(body));
  }
}
