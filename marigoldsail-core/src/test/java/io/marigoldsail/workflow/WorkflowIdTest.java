package io.marigoldsail.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.CharRange;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class WorkflowIdTest {
  /** Guards against an id that is rewritten, in which its caller does not recognise its own. */
  @Property(tries = 300)
  void keepsTheTextOfTheCaller(
      @ForAll
          @StringLength(16)
          @CharRange(from = '0', to = '9')
          @CharRange(from = 'a', to = 'f')
          @CharRange(from = 'A', to = 'F')
          String text) {
    assertEquals(text, WorkflowId.of(text).toString());
    assertEquals(Optional.of(WorkflowId.of(text)), WorkflowId.parse(text));
  }

  /** Guards against a workflow that is taken for another one whose id has the same digits. */
  @Test
  void idsThatDifferInTheCaseOfADigitDiffer() {
    WorkflowId upper = WorkflowId.of("5C0e7a21d94b36f8");
    WorkflowId lower = WorkflowId.of("5c0e7a21d94b36f8");
    assertNotEquals(upper, lower);
    assertNotEquals(upper.hashCode(), lower.hashCode());
    assertTrue(upper.compareTo(lower) < 0);
    assertNotEquals(new TaskKey(upper, 0, 0, 0), new TaskKey(lower, 0, 0, 0));
    assertEquals(lower, upper.toLowerCase());
    assertEquals(upper.partition(24), lower.partition(24));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "5c0e",
        "5c0e7a21d94b36f",
        "5c0e7a21d94b36f8a",
        "5c0e7a21d94b36g8",
        "5C0E7A21D94B36G8",
        "+c0e7a21d94b36f8",
        "-c0e7a21d94b36f8",
        "5c0e7a21d94b36f ",
        "5c0e7a21d94b36f٨",
        "5c0e7a21d94b36fａ"
      })
  void rejectsOtherTexts(String text) {
    assertEquals(Optional.empty(), WorkflowId.parse(text));
    assertThrows(IllegalArgumentException.class, () -> WorkflowId.of(text));
  }

  @Test
  void spreadsNeighbouringIdsOverPartitions() {
    int[] counts = new int[24];
    for (int id = 0; id < 2_400; id++) {
      counts[WorkflowId.of(String.format("%016x", id)).partition(24)]++;
    }
    for (int count : counts) {
      assertTrue(count > 50 && count < 200, "a partition has " + count);
    }
  }

  /** Guards against records of earlier versions in partitions where nobody looks for them. */
  @Test
  void partitionsAreThoseOfEarlierVersions() {
    assertEquals(21, WorkflowId.of("5c0e7a21d94b36f8").partition(24));
    assertEquals(4, WorkflowId.of("0000000000000000").partition(24));
    assertEquals(16, WorkflowId.of("ffffffffffffffff").partition(24));
  }

  /** Guards against a task of another program that is taken for one of this system. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "...",
        "5c0e7a21d94b36f8",
        "5c0e7a21d94b36f8.0.1",
        "5c0e7a21d94b36f8.0.1.17.0",
        "5c0e7a21d94b36f8.00.1.17",
        "5c0e7a21d94b36f8.0.+1.17",
        "5c0e7a21d94b36f8.0.1.-17",
        "5c0e7a21d94b36f8.0.-0.17",
        "5c0e7a21d94b36f8.0.1.99999999999",
        "5c0e7a21d94b36f8.0.1.١٧",
        "5c0e7a21d94b36g8.0.1.17"
      })
  void rejectsOtherNamesOfTasks(String text) {
    assertEquals(Optional.empty(), TaskKey.parse(text));
  }

  @Test
  void taskNamesKeepTheTextOfTheId() {
    Set<TaskKey> keys = new HashSet<>();
    for (String text : new String[] {"5C0E7A21D94B36F8.0.1.17", "5c0e7a21d94b36f8.0.1.17"}) {
      TaskKey key = TaskKey.parse(text).orElseThrow();
      assertEquals(text, key.toString());
      keys.add(key);
    }
    assertEquals(2, keys.size());
  }
}
