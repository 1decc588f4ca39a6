package io.marigoldsail.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class QueueTableTest {
  private static final WorkflowSpec.QueuePolicy POLICY =
      new WorkflowSpec.QueuePolicy("service", 0, 1, Optional.empty(), 2, 250);

  private static Queue queue(String name, String host, String prefix) {
    return new Queue(name, host, prefix, POLICY, 3_000);
  }

  @Test
  void longestPrefixOfTheHostWins() {
    QueueTable table =
        new QueueTable(
            1,
            ImmutableList.of(
                queue("short", "a.example", "/x/"),
                queue("long", "a.example", "/x/y/"),
                queue("other", "b.example", "/x/y/z/")));
    assertEquals("long", table.find("A.example", "/x/y/z/1").orElseThrow().name());
    assertEquals("short", table.find("a.example", "/x/1").orElseThrow().name());
    assertTrue(table.find("c.example", "/x/1").isEmpty());
    assertTrue(table.find("a.example", "/1").isEmpty());
  }

  @Test
  void findsQueuesByName() {
    Queue one = queue("one", "a.example", "/x/");
    QueueTable table = new QueueTable(1, ImmutableList.of(one, queue("two", "", "/y/")));
    assertEquals(Optional.of(one), table.queue("one"));
    assertEquals(Optional.empty(), table.queue("three"));
  }
}
