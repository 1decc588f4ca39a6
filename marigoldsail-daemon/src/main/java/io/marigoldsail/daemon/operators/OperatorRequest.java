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
 * One request of an operator, matched to a route.
 *
 * <p>Immutable but for the body, which callers must not change. Rejects nulls.
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
   * Returns what stands for a name in braces of the route's template.
   *
   * @throws IllegalArgumentException if the template has no such name
   */
  public String path(String name) {
    String value = pathParameters.get(name);
    if (value == null) {
      throw new IllegalArgumentException("the route has no parameter " + name);
    }
    return value;
  }

  /** Returns a parameter of the query, if it was given. */
  public Optional<String> query(String name) {
    return Optional.ofNullable(queryParameters.get(name));
  }

  /** Returns a whole number from the query, the default if absent, or a {@code BAD_REQUEST}. */
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

  /** Returns the body as it came; callers must not change it. */
  public byte[] body() {
    return body;
  }

  /** Returns the body as JSON; a missing node if the body is empty. */
  public Result<JsonNode> json() {
    if (body.length == 0) {
      return Result.ok(MissingNode.getInstance());
    }
    return Json.parse("body", body);
  }
}
