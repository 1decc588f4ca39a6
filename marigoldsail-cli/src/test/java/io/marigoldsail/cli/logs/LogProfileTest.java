package io.marigoldsail.cli.logs;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class LogProfileTest {
  private static List<LogEntry> entries(String... events) {
    return Stream.of(events)
        .map(event -> LogEntry.parse("time=2026-07-15T01:55:39Z process=edge event=" + event))
        .flatMap(Optional::stream)
        .toList();
  }

  @Test
  void timesAreByQueueAndOutcome() {
    List<LogEntry> entries =
        entries(
            "run-ended run=b.0.0.0#1 outcome=DONE ms=7",
            "run-ordered run=a.0.0.0#1 queue=q waited_ms=30",
            "run-ordered run=a.0.0.1#1 queue=q waited_ms=90",
            "run-ended run=a.0.0.0#1 outcome=REFUSED ms=4",
            "run-ordered run=a.0.0.0#2 queue=q waited_ms=120",
            "run-ended run=a.0.0.0#2 outcome=DONE ms=800",
            "run-ended run=a.0.0.1#1 outcome=DONE ms=900",
            "run-ordered run=b.0.0.0#1 queue=other waited_ms=-5");
    List<LogProfile.QueueProfile> profiles = LogProfile.of(entries);
    assertEquals(
        new LogProfile.QueueProfile(
            "other",
            1,
            1,
            new LogProfile.LatencySummary(1, 0, 0),
            ImmutableMap.of("DONE", new LogProfile.LatencySummary(1, 7, 7))),
        profiles.get(0));
    LogProfile.QueueProfile queue = profiles.get(1);
    assertEquals(1, queue.workflows());
    assertEquals(2, queue.tasks());
    assertEquals(new LogProfile.LatencySummary(1, 30, 30), queue.firstStart());
    assertEquals(
        Map.of(
            "REFUSED",
            new LogProfile.LatencySummary(1, 4, 4),
            "DONE",
            new LogProfile.LatencySummary(2, 800, 900)),
        queue.runs());
  }
}
