package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.daemon.workflow.WorkflowStore.AppendResult;
import io.marigoldsail.daemon.workflow.WorkflowStore.Appended;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.StepSpec;
import io.marigoldsail.workflow.WorkflowSpec;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Far more waiting tasks than a pass looks at one by one, on virtual time. */
class WideBacklogTest {
  private static final int BACKLOG = 120;
  private static final int WIDTH = 1_000;
  private static final int LATER = 5;

  private final VirtualCluster cluster = new VirtualCluster();
  private final VirtualCluster.Entry entry = cluster.addEntry(0, 60_000);
  private final VirtualCluster.Side side = cluster.addSide("vm-0");

  private static WorkflowSpec spec(long id, int priority, int tasks, String label) {
    StepSpec step =
        new StepSpec(
            tasks,
            new Sizes(1, 1 << 20, 0),
            100,
            ImmutableList.of(),
            new StepSpec.Placement(label, "", false, 0),
            StepSpec.TaskTraits.PLAIN);
    return new WorkflowSpec(
        id,
        "queue",
        new WorkflowSpec.QueuePolicy("service", priority, 3, Optional.empty(), 2, 1_000),
        "program",
        ImmutableList.of(step),
        WorkflowSpec.Schedule.IMMEDIATE,
        System.currentTimeMillis());
  }

  private void submit(WorkflowSpec spec) {
    CompletableFuture<AppendResult> result = new CompletableFuture<>();
    entry.execute(() -> entry.entry().submit(spec).thenAccept(result::complete));
    assertInstanceOf(Appended.class, cluster.await(result, 2_000));
  }

  /**
   * Guards against workflows that never start behind a backlog which no VM can run, as a pass does
   * not get to them.
   */
  @Test
  void workflowsBehindABacklogWithoutVmStartInTheirWidth() {
    Set<RunKey> started = new HashSet<>();
    side.onStart(started::add);
    cluster.advance(4_000);
    for (int id = 0; id < BACKLOG; id++) {
      submit(spec(id, 0, WIDTH, "no-such-label"));
    }
    for (int id = BACKLOG; id < BACKLOG + LATER; id++) {
      submit(spec(id, 1, 30, ""));
    }
    cluster.advance(10_000);
    assertEquals(LATER * 30, started.size());
  }
}
