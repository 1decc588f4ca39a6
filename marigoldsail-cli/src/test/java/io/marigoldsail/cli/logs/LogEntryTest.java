package io.marigoldsail.cli.logs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class LogEntryTest {
  private static final String LINE =
      "time=2026-07-15T01:55:39.748Z level=info process=edge-1 logger=a.b.WorkflowEntry"
          + " event=run-ended run=e96be147d361a657.0.1.17#2 outcome=STOPPED"
          + " reason=\"listed by the \\\"worker\\\"\" ms=2047";

  @Test
  void collectorPrefixIsSkipped() {
    LogEntry entry = LogEntry.parse("  31.7 edge-1 " + LINE).orElseThrow();
    assertEquals(Instant.parse("2026-07-15T01:55:39.748Z"), entry.time());
    assertEquals("edge-1", entry.process());
    assertEquals("run-ended", entry.event());
    assertEquals(
        Map.of(
            "run", "e96be147d361a657.0.1.17#2",
            "outcome", "STOPPED",
            "reason", "listed by the \"worker\"",
            "ms", "2047"),
        entry.fields());
  }

  @Test
  void unrelatedLinesAreSkipped() {
    for (String line :
        new String[] {"", "time=", "time=now process=a event=b", "event=run-ended"}) {
      assertEquals(Optional.empty(), LogEntry.parse(line), line);
    }
  }

  @Test
  void aLineConcernsItsRunItsTaskAndItsWorkflow() {
    LogEntry entry = LogEntry.parse(LINE).orElseThrow();
    assertTrue(entry.concerns("e96be147d361a657"));
    assertTrue(entry.concerns("e96be147d361a657.0.1.17"));
    assertTrue(entry.concerns("e96be147d361a657.0.1.17#2"));
    assertFalse(entry.concerns("e96be147d361a657.0.1.1"));
    assertFalse(entry.concerns("e96be147d361a65"));
  }
}
