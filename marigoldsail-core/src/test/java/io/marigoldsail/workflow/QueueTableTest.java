package io.marigoldsail.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.junit.jupiter.api.Test;

class QueueTableTest {
  private static final WorkflowSpec.Terms TERMS = new WorkflowSpec.Terms("service", 0, 1, false);

  private static Queue queue(String name, String host, String prefix) {
    return new Queue(name, host, prefix, TERMS, 250, 3_000);
  }

  @Test
  void theLongestPrefixOfTheHostWins() {
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
  void whoHasPriorityGoesFirstThenWhoWasAcceptedFirst() {
    StepSpec step = Workflows.step(1, 1, StepSpec.Nature.PLAIN);
    WorkflowSpec.Schedule once = WorkflowSpec.Schedule.AT_ONCE;
    List<Workflow> sorted =
        java.util.stream.Stream.of(
                Workflow.of(Workflows.spec(1, 2, 10, once, step)),
                Workflow.of(Workflows.spec(2, 0, 30, once, step)),
                Workflow.of(Workflows.spec(3, 0, 20, once, step)))
            .sorted(WaitingOrder.INSTANCE)
            .toList();
    assertEquals(
        List.of(3L, 2L, 1L), sorted.stream().map(workflow -> workflow.spec().id()).toList());
  }
}
