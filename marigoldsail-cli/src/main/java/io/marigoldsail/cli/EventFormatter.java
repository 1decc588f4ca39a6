package io.marigoldsail.cli;

import io.marigoldsail.timeline.Event;
import io.marigoldsail.timeline.HybridClock;
import io.marigoldsail.timeline.TimedEvent;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;

/** Formats events as lines of text. Stateless. */
final class EventFormatter {
  private static final DateTimeFormatter TIME =
      DateTimeFormatter.ofPattern("HH:mm:ss.SSS").withZone(ZoneOffset.UTC);

  private EventFormatter() {}

  static String format(TimedEvent timed) {
    Event event = timed.event();
    StringBuilder line = new StringBuilder();
    line.append(TIME.format(Instant.ofEpochMilli(HybridClock.millis(timed.stamp()))));
    line.append(String.format("  %-12s %-24s", timed.process(), event.kind().code()));
    append(line, "request", event.request());
    append(line, "task", event.task());
    append(line, "vm", event.vm());
    append(line, "team", event.team());
    append(line, "caller", event.caller());
    if (!event.detail().isEmpty()) {
      line.append(" (").append(event.detail()).append(')');
    }
    return line.toString().stripTrailing();
  }

  private static void append(StringBuilder line, String key, String value) {
    if (!value.isEmpty()) {
      line.append(' ').append(key).append('=').append(value);
    }
  }
}
