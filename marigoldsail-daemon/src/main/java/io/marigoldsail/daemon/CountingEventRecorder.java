package io.marigoldsail.daemon;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.observe.Metrics;
import io.marigoldsail.timeline.Event;
import io.marigoldsail.timeline.EventKind;
import io.marigoldsail.timeline.EventRecorder;
import io.prometheus.metrics.core.datapoints.CounterDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import java.util.EnumMap;
import java.util.Map;

/** Counts events by kind on their way to the time line: {@code marigoldsail_events_total}. */
final class CountingEventRecorder implements EventRecorder {
  private final EventRecorder next;
  private final Map<EventKind, CounterDataPoint> counters = new EnumMap<>(EventKind.class);

  CountingEventRecorder(EventRecorder next, Metrics metrics) {
    this.next = requireNonNull(next, "next");
    Counter counter = metrics.counter("events", "Events of the time line by kind", "kind");
    for (EventKind kind : EventKind.values()) {
      counters.put(kind, counter.labelValues(kind.code()));
    }
  }

  @Override
  public void record(Event event) {
    counters.get(event.kind()).inc();
    next.record(event);
  }
}
