package io.marigoldsail.daemon.operators;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Result;
import io.marigoldsail.json.Json;
import java.util.Map;
import java.util.Optional;

/**
 * An operator's request that was matched to a route.
 *
 * <p>Immutable except for the body, which must not be modified. Rejects nulls.
 */
public final class OperatorRequest {
  private final Map<String, String> pathParameters;
  private final Map<String, String> queryParameters;
  private final byte[] body;

  OperatorRequest(
      Map<String, String> pathParameters, Map<String, String> queryParameters, byte[] body) {
    this.pathParameters = Map.copyOf(pathParameters);
    this.queryParameters = Map.copyOf(queryParameters);
    this.body = requireNonNull(body, "body");
  }

  /**
   * Returns the decoded value of a path parameter.
   *
   * @param name the name in braces in the route's template
   * @throws IllegalArgumentException if the template has no such parameter
   */
  public String path(String name) {
    String value = pathParameters.get(name);
    if (value == null) {
      throw new IllegalArgumentException("the route's template has no path parameter " + name);
    }
    return value;
  }

  /** Returns a query parameter, or empty if the request has none of this name. */
  public Optional<String> query(String name) {
    return Optional.ofNullable(queryParameters.get(name));
  }

  /**
   * Returns an integer query parameter, the default if it is absent, or a {@code BAD_REQUEST}
   * failure if it is not an integer.
   */
  public Result<Long> queryNumber(String name, long defaultValue) {
    Optional<String> text = query(name);
    if (text.isEmpty()) {
      return Result.ok(defaultValue);
    }
    try {
      return Result.ok(Long.parseLong(text.get()));
    } catch (NumberFormatException e) {
      return Result.failed(
          ErrorKind.BAD_REQUEST, name + ": must be a whole number, is \"" + text.get() + "\"");
    }
  }

  /** Returns the unparsed body, which callers must not modify. */
  public byte[] body() {
    return body;
  }

  /**
   * Returns the body parsed as JSON, a missing node if the body is empty, or a failure if it is not
   * JSON.
   */
  public Result<JsonNode> json() {
    if (body.length == 0) {
      return Result.ok(MissingNode.getInstance());
    }
    return Json.parse("body", body);
  }
}
