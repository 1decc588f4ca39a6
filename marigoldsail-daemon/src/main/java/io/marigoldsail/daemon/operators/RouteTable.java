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

/** Finds the handler of a method and path. Safe for any thread. */
final class RouteTable {
  private final List<Route> routes = new CopyOnWriteArrayList<>();

  /** A handler and what the path's braces stood for. */
  record Match(OperatorHandler handler, Map<String, String> parameters) {}

  private record Route(String method, List<String> template, OperatorHandler handler) {
    boolean matches(List<String> path) {
      if (path.size() != template.size()) {
        return false;
      }
      for (int i = 0; i < path.size(); i++) {
        boolean fixed = !isParameter(template.get(i));
        if (fixed && !template.get(i).equals(path.get(i))) {
          return false;
        }
      }
      return true;
    }

    /** A route without braces goes before one with, whichever was registered first. */
    long parameterCount() {
      return template.stream().filter(RouteTable::isParameter).count();
    }
  }

  void add(String method, String template, OperatorHandler handler) {
    checkArgument(template.startsWith("/"), "template does not start with a slash: %s", template);
    List<String> segments = segments(template);
    for (Route route : routes) {
      boolean same = route.method.equals(method) && route.template.equals(segments);
      checkArgument(!same, "registered twice: %s %s", method, template);
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
          ErrorKind.METHOD_NOT_ALLOWED, path + " takes " + String.join(", ", otherMethods));
    }
    return Result.failed(ErrorKind.NOT_FOUND, "no route " + path);
  }

  private static Result<Match> match(Route route, List<String> path) {
    Map<String, String> parameters = new HashMap<>();
    for (int i = 0; i < path.size(); i++) {
      String name = route.template.get(i);
      if (isParameter(name)) {
        try {
          // A plus sign in a path is itself; only in a query it stands for a space.
          String value = URLDecoder.decode(path.get(i).replace("+", "%2B"), StandardCharsets.UTF_8);
          parameters.put(name.substring(1, name.length() - 1), value);
        } catch (IllegalArgumentException e) {
          return Result.failed(ErrorKind.BAD_REQUEST, "broken escape in path: " + path.get(i));
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
