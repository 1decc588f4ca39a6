package io.marigoldsail.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class WorkflowIdsTest {
  @Property(tries = 300)
  void formatAndParseRoundTrip(@ForAll long id) {
    String text = WorkflowIds.format(id);
    assertEquals(16, text.length());
    assertEquals(OptionalLong.of(id), WorkflowIds.parse(text));
  }

  @Test
  void rejectsOtherTexts() {
    for (String text :
        new String[] {"", "5c0e", "5c0e7a21d94b36f8a", "5c0e7a21d94b36g8", "+c0e7a21d94b36f8"}) {
      assertTrue(WorkflowIds.parse(text).isEmpty(), text);
    }
  }

  @Test
  void spreadsNeighbouringIdsOverPartitions() {
    int[] counts = new int[24];
    for (long id = 0; id < 2_400; id++) {
      counts[WorkflowIds.partition(id, 24)]++;
    }
    for (int count : counts) {
      assertTrue(count > 50 && count < 200, "a partition has " + count);
    }
  }
}
