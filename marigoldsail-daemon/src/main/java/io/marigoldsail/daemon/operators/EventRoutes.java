package io.marigoldsail.daemon.operators;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.error.Result;
import io.marigoldsail.timeline.EventBuffer;
import io.marigoldsail.timeline.EventFilter;
import io.marigoldsail.timeline.EventJson;

/**
 * Serves {@code GET /events?after=N&limit=M} with the filters {@code request}, {@code task}, {@code
 * vm}, {@code team} and {@code caller}: the events of this process, oldest first.
 */
public final class EventRoutes {
  private static final long DEFAULT_LIMIT = 500;
  private static final long MAX_LIMIT = 5000;

  private final EventBuffer events;

  /** Creates the routes over a process's events. */
  public EventRoutes(EventBuffer events) {
    this.events = requireNonNull(events, "events");
  }

  /** Serves the route on the given server. */
  public void registerOn(OperatorServer server) {
    server.registerSynchronous("GET", "/events", this::events);
  }

  private Result<OperatorResponse> events(OperatorRequest request) {
    Result<Long> limit = request.queryNumber("limit", DEFAULT_LIMIT);
    EventFilter filter =
        new EventFilter(
            request.query("request").orElse(""),
            request.query("task").orElse(""),
            request.query("vm").orElse(""),
            request.query("team").orElse(""),
            request.query("caller").orElse(""));
    return request
        .queryNumber("after", 0)
        .then(after -> limit.then(count -> Result.ok(page(after, count, filter))));
  }

  private OperatorResponse page(long after, long limit, EventFilter filter) {
    int bounded = (int) Math.max(1, Math.min(limit, MAX_LIMIT));
    return OperatorResponse.ok(EventJson.write(events.page(after, bounded, filter)));
  }
}
