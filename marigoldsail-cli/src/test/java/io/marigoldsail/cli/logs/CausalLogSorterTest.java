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
   * An engineer follows a task whose VM's clock is ten seconds behind and whose second owner's is
   * twenty ahead. Sorted by time its end on the VM stands before its order, and the second attempt
   * after the end of the day; the story tells them as they led to each other.
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
    List<String> wanted =
        List.of(
            "owner-1 workflow-submitted",
            "owner-1 run-ordered #1",
            "side run-over #1",
            "owner-1 run-ended #1",
            "owner-2 run-ordered #2",
            "side run-over #2",
            "owner-2 run-ended #2");
    assertEquals(wanted, sorted("e96be147d361a657"));
    assertEquals(wanted, sorted(TASK));
    assertEquals(wanted.subList(4, 7), sorted(TASK + "#2").subList(1, 4));
  }

  /** Two files of one process given the wrong way round contradict the rest; nothing is lost. */
  @Test
  void contradictoryLinesAreAllReturned() {
    add(103, "owner", "run-ended", "run", TASK + "#1");
    add(101, "owner", "run-ordered", "run", TASK + "#1");
    add(102, "side", "run-over", "run", TASK + "#1");
    assertEquals(3, sorted(TASK).size());
  }
}
