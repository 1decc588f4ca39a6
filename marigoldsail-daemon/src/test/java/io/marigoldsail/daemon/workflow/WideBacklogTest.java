package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.marigoldsail.daemon.workflow.WorkflowStore.Appended;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.StepSpec;
import io.marigoldsail.workflow.WorkflowSpec;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Far more waiting tasks than a pass looks at one by one, on virtual time. */
class WideBacklogTest {
  private static final int BACKLOG = 120;
  private static final int WIDTH = 1_000;
  private static final int LATER = 5;

  private final VirtualCluster cluster = new VirtualCluster();
  private final VirtualCluster.Entry entry = cluster.addEntry(0, 60_000);
  private final VirtualCluster.Side side = cluster.addSide("vm-0");

  private void submit(long id, int priority, int tasks, String label) {
    WorkflowSpec spec =
        WorkflowTestCluster.workflowOfSmallTasks(
            id,
            priority,
            tasks,
            new StepSpec.Placement(label, "", false, 0),
            StepSpec.TaskTraits.PLAIN,
            "program");
    assertInstanceOf(Appended.class, entry.submit(spec));
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
      submit(id, 0, WIDTH, "no-such-label");
    }
    for (int id = BACKLOG; id < BACKLOG + LATER; id++) {
      submit(id, 1, 30, "");
    }
    cluster.advance(10_000);
    assertEquals(LATER * 30, started.size());
  }
}
