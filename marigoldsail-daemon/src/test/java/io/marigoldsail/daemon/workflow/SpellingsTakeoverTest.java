package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.daemon.workflow.WorkflowStore.Appended;
import io.marigoldsail.workflow.QueryResult;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.Workflow;
import io.marigoldsail.workflow.WorkflowId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Workflows of several parts of progress whose ids differ in the case of their digits alone, while
 * their partition moves.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SpellingsTakeoverTest {
  private static final ImmutableList<WorkflowId> SPELLINGS =
      ImmutableList.of(
          WorkflowId.of("00000000000000ab"),
          WorkflowId.of("00000000000000aB"),
          WorkflowId.of("00000000000000Ab"),
          WorkflowId.of("00000000000000AB"));

  private static final int TASKS = Workflow.TASKS_PER_PART + 6;
  private static final long RETENTION_MILLIS = 60_000;

  private final VirtualCluster cluster = new VirtualCluster();
  private final List<VirtualCluster.Entry> entries =
      new ArrayList<>(
          List.of(cluster.addEntry(0, RETENTION_MILLIS), cluster.addEntry(1, RETENTION_MILLIS)));
  private final List<VirtualCluster.Side> sides =
      List.of(cluster.addSide("vm-0"), cluster.addSide("vm-1"), cluster.addSide("vm-2"));
  private final List<RunKey> started = new ArrayList<>();

  private Set<RunKey> active() {
    Set<RunKey> active = new HashSet<>(started);
    active.removeIf(run -> sides.stream().noneMatch(side -> side.worker().isActive(run)));
    return active;
  }

  private Stream<RunKey> activeOf(WorkflowId id) {
    return active().stream().filter(run -> run.task().workflow().equals(id));
  }

  /** Ends the runs of all tasks with an even index. */
  private void endEveryOther() {
    for (RunKey run : active()) {
      if (run.task().index() % 2 == 0) {
        sides.stream()
            .filter(side -> side.worker().isActive(run))
            .forEach(side -> side.worker().endRun(run, RunOutcome.DONE));
      }
    }
  }

  /** Guards against progress, runs, or a cancel that a new owner takes for another workflow's. */
  @Test
  void newOwnerGoesOnWithEachWorkflow() {
    sides.forEach(side -> side.onStart(started::add));
    cluster.advance(3_000);
    for (WorkflowId id : SPELLINGS) {
      assertInstanceOf(
          Appended.class, entries.get(0).submit(WorkflowTestCluster.workflow(id, TASKS)));
    }
    cluster.advance(3_000);
    assertEquals(SPELLINGS.size() * TASKS, active().size());
    endEveryOther();
    cluster.advance(2_000);

    String owner = cluster.ownerOf(0xab);
    VirtualCluster.Entry killed =
        entries.stream().filter(each -> owner.startsWith(each.memberPrefix())).findFirst().get();
    killed.kill();
    entries.remove(killed);
    cluster.advance(15_000);

    assertEquals(SPELLINGS.size() * TASKS, started.size(), "a task was started again");
    assertEquals(SPELLINGS.size() * TASKS / 2, active().size());
    WorkflowId cancelled = SPELLINGS.get(2);
    assertEquals(QueryResult.CANCELLED, entries.get(0).query(cancelled, true));
    cluster.advance(3_000);
    for (WorkflowId id : SPELLINGS) {
      boolean runs = !id.equals(cancelled);
      assertEquals(runs ? TASKS / 2 : 0, activeOf(id).count(), id.toString());
      assertEquals(
          runs ? QueryResult.RUNNING : QueryResult.CANCELLED, entries.get(0).query(id, false));
    }
    cluster.rethrowFailure();
  }
}
