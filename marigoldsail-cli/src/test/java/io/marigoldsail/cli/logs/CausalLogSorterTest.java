package io.marigoldsail.cli.logs;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableMap;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class CausalLogSorterTest {
  private static final String TASK = "e96be147d361a657.0.0.0";

  private final List<LogEntry> entries = new ArrayList<>();

  private void add(long second, String process, String event, String... pairs) {
    ImmutableMap.Builder<String, String> fields = ImmutableMap.builder();
    for (int i = 0; i < pairs.length; i += 2) {
      fields.put(pairs[i], pairs[i + 1]);
    }
    entries.add(new LogEntry(Instant.ofEpochSecond(second), process, event, fields.buildOrThrow()));
  }

  private List<String> sorted(String subject) {
    return CausalLogSorter.sort(subject, entries).stream()
        .map(entry -> entry.process() + " " + entry.event() + entry.run().replace(TASK, " "))
        .toList();
  }

  /**
   * The clock of the VM is ten seconds slow and that of the second owner twenty seconds fast.
   * Sorted by timestamp, the end on the VM would precede the start of the run and the second
   * attempt would follow everything else.
   */
  @Test
  void causesStandBeforeEffectsWhateverTheClocksSay() {
    add(100, "owner-1", "workflow-submitted", "workflow", "e96be147d361a657", "result", "Appended");
    add(101, "owner-1", "run-ordered", "run", TASK + "#1");
    add(92, "side", "run-over", "run", TASK + "#1");
    add(103, "owner-1", "run-ended", "run", TASK + "#1");
    add(124, "owner-2", "run-ordered", "run", TASK + "#2");
    add(96, "side", "run-over", "run", TASK + "#2");
    add(126, "owner-2", "run-ended", "run", TASK + "#2");
    add(104, "other", "run-ordered", "run", "5c0e7a21d94b36f8.0.0.0#1");
    List<String> expected =
        List.of(
            "owner-1 workflow-submitted",
            "owner-1 run-ordered #1",
            "side run-over #1",
            "owner-1 run-ended #1",
            "owner-2 run-ordered #2",
            "side run-over #2",
            "owner-2 run-ended #2");
    assertEquals(expected, sorted("e96be147d361a657"));
    assertEquals(expected, sorted(TASK));
    assertEquals(expected.subList(4, 7), sorted(TASK + "#2").subList(1, 4));
  }

  /** Guards against an explanation that mixes workflows whose ids have the same digits. */
  @Test
  void idsInAnotherCaseAreOtherSubjects() {
    add(100, "owner", "run-ordered", "run", TASK + "#1");
    add(101, "owner", "workflow-submitted", "workflow", "E96BE147D361A657");
    add(102, "owner", "run-ordered", "run", "E96BE147D361A657.0.0.0#1");
    assertEquals(List.of("owner run-ordered #1"), sorted("e96be147d361a657"));
    assertEquals(
        List.of("owner workflow-submitted", "owner run-orderedE96BE147D361A657.0.0.0#1"),
        sorted("E96BE147D361A657"));
  }

  /** Two files of one process in the wrong order contradict the other lines; none is dropped. */
  @Test
  void contradictoryLinesAreAllReturned() {
    add(103, "owner", "run-ended", "run", TASK + "#1");
    add(101, "owner", "run-ordered", "run", TASK + "#1");
    add(102, "side", "run-over", "run", TASK + "#1");
    assertEquals(3, sorted(TASK).size());
  }
}
