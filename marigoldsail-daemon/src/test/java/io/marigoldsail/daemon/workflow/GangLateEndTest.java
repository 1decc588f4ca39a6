package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.daemon.workflow.VirtualEntry.Vm;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.StepSpec;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import io.marigoldsail.workflow.Workflow;
import io.marigoldsail.workflow.WorkflowSpec;
import io.marigoldsail.workflow.WorkflowStatus;
import io.marigoldsail.workflow.WorkflowTask;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Gangs whose VMs are cut off one after the other, on virtual time. */
class GangLateEndTest {
  private static final long GANG = 71;
  private static final WorkerLeaseTerms TERMS = WorkerLeaseTerms.forMaxLease(4_000);
  private static final long CUT_INTERVAL_MILLIS = 1_000;
  private static final long PASS_MILLIS = 300;

  private final VirtualEntry entry =
      new VirtualEntry(TERMS, WorkflowTestCluster.configuration(1, "service"));
  private final Vm first = entry.addVm("vm-0", "service");
  private final Vm second = entry.addVm("vm-1", "service");

  /** Returns a gang of two tasks, of which a VM has room for one. */
  private static WorkflowSpec gang() {
    StepSpec step =
        new StepSpec(
            2,
            new Sizes(3_000, 1 << 20, 0),
            5_000,
            ImmutableList.of(),
            StepSpec.Placement.ANYWHERE,
            new StepSpec.TaskTraits(true, false, false, false, false, "", 0, 0));
    return new WorkflowSpec(
        TestIds.id(GANG),
        "queue",
        new WorkflowSpec.QueuePolicy("service", 0, 3, Optional.empty(), 2, 100),
        "program",
        ImmutableList.of(step),
        WorkflowSpec.Schedule.IMMEDIATE,
        0);
  }

  /** Runs the gang, and cuts off both VMs until the lease of the first one only has expired. */
  private Workflow runGangUntilTheFirstVmIsLost() {
    Workflow workflow = entry.submit(gang());
    first.report(List.of());
    second.report(List.of());
    entry.advance(PASS_MILLIS);
    assertEquals(1, first.ordered().size());
    assertEquals(1, second.ordered().size());
    first.report(first.ordered());
    second.report(second.ordered());
    entry.advance(CUT_INTERVAL_MILLIS);
    first.disconnect();
    while (workflow.openTasks().size() == 2) {
      second.report(second.ordered());
      entry.advance(CUT_INTERVAL_MILLIS);
    }
    second.disconnect();
    assertTrue(workflow.openTasks().get(0).isStopRequested());
    return workflow;
  }

  private static RunKey onlyRun(Vm vm) {
    return vm.ordered().get(0);
  }

  private boolean isOrdered(Workflow workflow) {
    return workflow.tasks().stream().allMatch(WorkflowTask::isOpen);
  }

  /**
   * Guards against an entry that starts nothing any more once the late end of one member has
   * completed the gang and the VM of another member has come back.
   */
  @Test
  void lateEndOfAGangDoesNotKeepLaterWorkflowsFromStarting() {
    final Workflow gang = runGangUntilTheFirstVmIsLost();
    first.report(List.of(), ScriptedVm.end(onlyRun(first), RunOutcome.DONE));
    assertEquals(WorkflowStatus.DONE, gang.status());
    second.report(List.of(onlyRun(second)));
    Workflow later = entry.submit(WorkflowTestCluster.workflow(GANG + 1, 1));
    second.report(List.of(), ScriptedVm.end(onlyRun(second), RunOutcome.DONE));
    entry.advance(PASS_MILLIS);
    assertTrue(isOrdered(later));
  }

  /** Guards against capacity that stays reserved for a member whose gang has completed. */
  @Test
  void memberOfACompletedGangReservesNoCapacity() {
    runGangUntilTheFirstVmIsLost();
    first.report(List.of(), ScriptedVm.end(onlyRun(first), RunOutcome.DONE));
    first.disconnect();
    second.report(List.of());
    Workflow later = entry.submit(WorkflowTestCluster.workflow(GANG + 1, 8));
    entry.advance(PASS_MILLIS);
    assertTrue(isOrdered(later));
  }

  /** Guards against an attempt that is started again though the gang has completed late. */
  @Test
  void gangThatCompletedLateHasNoFurtherAttempt() {
    Workflow gang = runGangUntilTheFirstVmIsLost();
    first.report(List.of(), ScriptedVm.end(onlyRun(first), RunOutcome.DONE));
    second.report(List.of());
    entry.advance(2 * TERMS.takeoverMillis());
    assertFalse(gang.hasOpenTasks());
    assertEquals(1, first.ordered().size());
    assertEquals(1, second.ordered().size());
  }
}
