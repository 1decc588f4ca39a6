package io.marigoldsail.daemon.operators;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import io.marigoldsail.json.Json;

/**
 * The HTTP response to an operator's request. Rejects nulls.
 *
 * @param status the HTTP status
 * @param mediaType the body's media type
 * @param body the body; not copied, so it must not be modified
 */
@SuppressWarnings("ArrayRecordComponent") // only written to the connection; equals is not used
public record OperatorResponse(int status, String mediaType, byte[] body) {
  private static final int STATUS_OK = 200;
  private static final int STATUS_ACCEPTED = 202;
  private static final String JSON_TYPE = "application/json";

  /** Checks that no component is null. */
  public OperatorResponse {
    requireNonNull(mediaType, "mediaType");
    requireNonNull(body, "body");
  }

  /** Returns a response with status 200 and a JSON body. */
  public static OperatorResponse ok(JsonNode body) {
    return new OperatorResponse(STATUS_OK, JSON_TYPE, Json.bytes(body));
  }

  /** Returns a response with status 200 whose body is a record, or a list of records, as JSON. */
  public static OperatorResponse okOf(Object value) {
    return ok(Json.mapper().valueToTree(value));
  }

  /** Returns a response with status 202: the request was accepted but is not completed. */
  public static OperatorResponse accepted(JsonNode body) {
    return new OperatorResponse(STATUS_ACCEPTED, JSON_TYPE, Json.bytes(body));
  }
}
