package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.daemon.workflow.WorkflowStore.Appended;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.StepSpec;
import io.marigoldsail.workflow.WorkflowSpec;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What does not fit into one frame between an entry and a side process, on virtual time. */
class LargeFramesTest {
  private static final long RETENTION_MILLIS = 60_000;
  private static final long SETTLED_MILLIS = 4_000;
  private static final int RUNS = 9_000;
  private static final StepSpec.TaskTraits LASTING =
      new StepSpec.TaskTraits(false, true, false, true, false, "", 0, 0);

  private final VirtualCluster cluster = new VirtualCluster();
  private final VirtualCluster.Entry entry = cluster.addEntry(0, RETENTION_MILLIS);
  private final List<RunKey> started = new ArrayList<>();

  LargeFramesTest() {
    cluster.advance(SETTLED_MILLIS);
  }

  private VirtualCluster.Side addSide() {
    VirtualCluster.Side side = cluster.addSide("vm-0");
    side.onStart(started::add);
    cluster.advance(SETTLED_MILLIS);
    return side;
  }

  private void submit(long id, int tasks, String program) {
    WorkflowSpec spec =
        WorkflowTestCluster.workflowOfSmallTasks(
            id, 0, tasks, StepSpec.Placement.ANYWHERE, LASTING, program);
    assertInstanceOf(Appended.class, entry.submit(spec));
  }

  private void assertAllStartedOnce(int runs) {
    assertEquals(runs, started.size());
    assertEquals(runs, new HashSet<>(started).size());
    assertTrue(started.stream().allMatch(run -> run.attempt() == 1));
  }

  /** Guards against starts with long programs that together are longer than a frame may be. */
  @Test
  void startsThatNoFrameHoldsTogetherReachTheirVm() {
    String program = "p".repeat(WorkflowSpec.MAX_PROGRAM_LENGTH);
    for (int id = 1; id <= 60; id++) {
      submit(id, 2, program);
    }
    addSide();
    assertAllStartedOnce(120);
  }

  /**
   * Guards against a report longer than a frame, over which an entry that starts again closes each
   * connection of the VM: its runs were given up one after the other and started nowhere.
   */
  @Test
  void runsThatNoFrameHoldsTogetherOutliveTheirEntry() {
    submit(1, RUNS, "program");
    VirtualCluster.Side side = addSide();
    assertAllStartedOnce(RUNS);
    entry.kill();
    cluster.advance(1_000);
    cluster.addEntry(1, RETENTION_MILLIS);
    cluster.advance(20_000);
    assertAllStartedOnce(RUNS);
    assertTrue(started.stream().allMatch(run -> side.worker().isActive(run)));
  }
}
