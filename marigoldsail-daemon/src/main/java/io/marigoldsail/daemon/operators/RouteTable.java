package io.marigoldsail.daemon.operators;

import static com.google.common.base.Preconditions.checkArgument;

import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Result;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;

/** Finds the handler for a method and path. Thread-safe. */
final class RouteTable {
  private final List<Route> routes = new CopyOnWriteArrayList<>();

  /** A matched handler and the decoded values of the path parameters. */
  record Match(OperatorHandler handler, Map<String, String> parameters) {}

  private record Route(String method, List<String> template, OperatorHandler handler) {
    boolean matches(List<String> path) {
      if (path.size() != template.size()) {
        return false;
      }
      for (int i = 0; i < path.size(); i++) {
        boolean literal = !isParameter(template.get(i));
        if (literal && !template.get(i).equals(path.get(i))) {
          return false;
        }
      }
      return true;
    }

    /** The route with fewer parameters has precedence, regardless of registration order. */
    long parameterCount() {
      return template.stream().filter(RouteTable::isParameter).count();
    }
  }

  void add(String method, String template, OperatorHandler handler) {
    checkArgument(template.startsWith("/"), "template does not start with a slash: %s", template);
    List<String> segments = segments(template);
    for (Route route : routes) {
      boolean same = route.method.equals(method) && route.template.equals(segments);
      checkArgument(!same, "route is already registered: %s %s", method, template);
    }
    routes.add(new Route(method, segments, handler));
  }

  Result<Match> find(String method, String path) {
    List<String> segments = segments(path);
    Route best = null;
    TreeSet<String> otherMethods = new TreeSet<>();
    for (Route route : routes) {
      if (!route.matches(segments)) {
        continue;
      }
      if (!route.method.equals(method)) {
        otherMethods.add(route.method);
      } else if (best == null || route.parameterCount() < best.parameterCount()) {
        best = route;
      }
    }
    if (best != null) {
      return match(best, segments);
    }
    if (!otherMethods.isEmpty()) {
      return Result.failed(
          ErrorKind.METHOD_NOT_ALLOWED,
          path + ": method not allowed; allowed: " + String.join(", ", otherMethods));
    }
    return Result.failed(ErrorKind.NOT_FOUND, "no route for path " + path);
  }

  private static Result<Match> match(Route route, List<String> path) {
    Map<String, String> parameters = new HashMap<>();
    for (int i = 0; i < path.size(); i++) {
      String name = route.template.get(i);
      if (isParameter(name)) {
        try {
          // URLDecoder decodes a plus sign to a space, which applies to queries but not to paths.
          String value = URLDecoder.decode(path.get(i).replace("+", "%2B"), StandardCharsets.UTF_8);
          parameters.put(name.substring(1, name.length() - 1), value);
        } catch (IllegalArgumentException e) {
          return Result.failed(
              ErrorKind.BAD_REQUEST, "invalid percent-encoding in path segment: " + path.get(i));
        }
      }
    }
    return Result.ok(new Match(route.handler, parameters));
  }

  private static boolean isParameter(String segment) {
    return segment.startsWith("{") && segment.endsWith("}");
  }

  private static List<String> segments(String path) {
    return List.of(path.substring(1).split("/", -1));
  }
}
