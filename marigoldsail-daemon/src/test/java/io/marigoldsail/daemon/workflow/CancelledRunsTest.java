package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.daemon.identity.WorkflowIdCodec;
import io.marigoldsail.daemon.workflow.VirtualEntry.Vm;
import io.marigoldsail.protocol.RunReport;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.StepSpec;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import io.marigoldsail.workflow.Workflow;
import io.marigoldsail.workflow.WorkflowSpec;
import io.marigoldsail.workflow.WorkflowStatus;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Runs of cancelled workflows whose orders are lost, late or overtaken, on virtual time. */
class CancelledRunsTest {
  private static final long WORKFLOW = 81;
  private static final WorkerLeaseTerms TERMS = WorkerLeaseTerms.forMaxLease(4_000);
  private static final long PASS_MILLIS = 300;

  /** The time in which callers expect the runs of a cancelled workflow to be told to stop. */
  private static final long CANCEL_MILLIS = 3_000;

  private static final long REPORT_MILLIS = 700;
  private static final long OCCURRENCE_MILLIS = 1_000;

  /** More than fit on one VM. */
  private static final int MEMBERS = 12;

  private static final StepSpec.TaskTraits GANG =
      new StepSpec.TaskTraits(true, false, false, false, false, "", 0, 0);

  private final VirtualEntry entry =
      new VirtualEntry(TERMS, WorkflowTestCluster.configuration(1, "service"));
  private final Vm vm = entry.addVm("vm-0", "service");

  private Workflow submit(WorkflowSpec spec) {
    Workflow workflow = entry.submit(spec);
    vm.report(List.of());
    while (!workflow.hasOpenTasks()) {
      entry.advance(1);
    }
    return workflow;
  }

  private Workflow submitAndRun() {
    Workflow workflow = submit(WorkflowTestCluster.workflow(WORKFLOW, 2));
    entry.advance(PASS_MILLIS);
    assertEquals(2, vm.ordered().size());
    vm.report(vm.ordered());
    return workflow;
  }

  private static Set<RunKey> stopped(Vm vm) {
    return Set.copyOf(vm.stopped());
  }

  /** Guards against a start that follows its cancel since its order was being written meanwhile. */
  @Test
  void cancelWhileAStartIsWrittenStartsNothing() {
    Workflow workflow = submit(WorkflowTestCluster.workflow(WORKFLOW, 2));
    assertEquals(List.of(), vm.ordered());
    entry.cancel(workflow);
    entry.advance(PASS_MILLIS);
    assertEquals(List.of(), vm.ordered());
    assertEquals(2, stopped(vm).size());
  }

  /** Guards against runs that go on since the stop was lost with its connection. */
  @Test
  void stopThatIsLostWithItsConnectionIsSentAgain() {
    Workflow workflow = submitAndRun();
    List<RunKey> runs = vm.ordered();
    entry.cancel(workflow);
    vm.disconnect();
    entry.advance(PASS_MILLIS);
    assertEquals(List.of(), vm.stopped());
    vm.report(runs);
    entry.advance(1);
    assertEquals(Set.copyOf(runs), stopped(vm));
  }

  /** Guards against runs that go on since the frame with their stops was passed over. */
  @Test
  void stopIsRepeatedWhileTheRunIsReported() {
    Workflow workflow = submitAndRun();
    List<RunKey> runs = vm.ordered();
    entry.cancel(workflow);
    for (long passed = 0; passed < CANCEL_MILLIS; passed += REPORT_MILLIS) {
      entry.advance(REPORT_MILLIS);
      vm.report(runs);
    }
    assertTrue(vm.stopped().size() >= 2 * runs.size(), vm.stopped().toString());
    assertEquals(Set.copyOf(runs), stopped(vm));
  }

  /**
   * Guards against a start that is sent again after a reconnection, since the new connection's
   * report lacks the run, though its workflow has been cancelled meanwhile.
   */
  @Test
  void startThatWasLostIsNotRepeatedAfterTheCancel() {
    Workflow workflow = submit(WorkflowTestCluster.workflow(WORKFLOW, 2));
    entry.advance(PASS_MILLIS);
    vm.disconnect();
    entry.cancel(workflow);
    entry.advance(PASS_MILLIS);
    int starts = vm.ordered().size();
    vm.report(List.of());
    entry.advance(PASS_MILLIS);
    assertEquals(starts, vm.ordered().size());
    assertEquals(Set.copyOf(vm.ordered()), stopped(vm));
  }

  /** Guards against members that start after their gang's cancel, since their VM was cut off. */
  @Test
  void memberOfACancelledGangDoesNotStartAfterAReconnection() {
    Vm second = entry.addVm("vm-1", "service");
    second.report(List.of());
    Workflow workflow = submit(WorkflowTestCluster.workflow(WORKFLOW, GANG, MEMBERS));
    second.disconnect();
    entry.advance(PASS_MILLIS);
    vm.report(vm.ordered());
    entry.cancel(workflow);
    entry.advance(PASS_MILLIS);
    int onSecond = second.ordered().size();
    second.report(List.of());
    entry.advance(PASS_MILLIS);
    assertEquals(onSecond, second.ordered().size());
    assertEquals(MEMBERS, stopped(vm).size() + stopped(second).size());
    assertTrue(!stopped(vm).isEmpty() && !stopped(second).isEmpty());
  }

  /** Guards against further occurrences of a scheduled workflow after its cancel. */
  @Test
  void cancelledWorkflowHasNoFurtherOccurrence() {
    WorkflowSpec once = WorkflowTestCluster.workflow(WORKFLOW, 1);
    Workflow workflow =
        submit(
            new WorkflowSpec(
                once.id(),
                once.queue(),
                once.policy(),
                once.program(),
                ImmutableList.copyOf(once.steps()),
                new WorkflowSpec.Schedule(5, 0, OCCURRENCE_MILLIS),
                once.acceptedMillis()));
    entry.advance(PASS_MILLIS);
    entry.cancel(workflow);
    int before = vm.ordered().size();
    for (long passed = 0; passed < 5 * OCCURRENCE_MILLIS; passed += REPORT_MILLIS) {
      vm.report(List.of());
      entry.advance(REPORT_MILLIS);
    }
    assertEquals(before, vm.ordered().size());
  }

  /** Guards against runs that go on since the owner that cancelled them has lost the partition. */
  @Test
  void nextOwnerStopsTheRunsOfACancelledWorkflow() {
    Workflow workflow = submitAndRun();
    List<RunKey> runs = vm.ordered();
    vm.disconnect();
    entry.cancel(workflow);
    entry.advance(PASS_MILLIS);
    VirtualEntry next = entry.successor(TERMS);
    assertEquals(WorkflowStatus.CANCELLED, next.workflow(WORKFLOW).status());
    Vm reconnected = next.addVm("vm-0", "service");
    reconnected.report(runs);
    next.advance(1);
    assertEquals(Set.copyOf(runs), stopped(reconnected));
  }

  /**
   * Guards against a start that a former owner sent and that the worker executes late, after the
   * next owner has answered a cancel: the VM must have been told to stop the run by then.
   */
  @Test
  void nextOwnerStopsRunsThatTheVmDoesNotReportYet() {
    Workflow workflow = submit(WorkflowTestCluster.workflow(WORKFLOW, 2));
    entry.advance(PASS_MILLIS);
    List<RunKey> runs = vm.ordered();
    entry.cancel(workflow);
    vm.disconnect();
    entry.advance(PASS_MILLIS);
    VirtualEntry next = entry.successor(TERMS);
    Vm reconnected = next.addVm("vm-0", "service");
    reconnected.report(List.of());
    next.advance(1);
    assertEquals(List.of(), reconnected.ordered());
    assertEquals(Set.copyOf(runs), stopped(reconnected));
  }

  /**
   * Guards against a run of a cancelled workflow that goes on while the owner cannot read new
   * submissions: its VM was cut off for so long that the run counted as lost.
   */
  @Test
  void lostRunOfACancelledWorkflowIsStoppedThoughSubmissionsAreUnread() {
    Workflow workflow = submitAndRun();
    RunKey run = vm.ordered().get(0);
    entry.cancel(workflow);
    vm.disconnect();
    while (workflow.hasOpenTasks()) {
      entry.advance(PASS_MILLIS);
    }
    entry.refuseReads();
    entry.advance(CANCEL_MILLIS);
    assertFalse(entry.isCaughtUp());
    vm.report(List.of(run));
    entry.advance(PASS_MILLIS);
    assertEquals(Set.of(run), stopped(vm));
  }

  /** Guards against a former owner, turned away by the store, that stops its successor's run. */
  @Test
  void formerOwnerWithoutTheStoreDoesNotStopTheRunOfItsSuccessor() {
    submitAndRun();
    RunKey next = new RunKey(vm.ordered().get(0).task(), 2);
    entry.refuseCalls();
    entry.successor(TERMS);
    entry.advance(2 * CANCEL_MILLIS);
    vm.report(List.of(next));
    entry.advance(PASS_MILLIS);
    assertFalse(stopped(vm).contains(next));
  }

  /** Guards against runs of workflows that are not read yet, which would be stopped. */
  @Test
  void runOfAnUnknownWorkflowIsNotStoppedWhileSubmissionsAreUnread() {
    Workflow workflow = submitAndRun();
    RunKey unknown = new RunKey(TestIds.task(WORKFLOW + 1, 0, 0, 0), 1);
    assertFalse(workflow.status().isTerminal());
    vm.report(vm.ordered(), ScriptedVm.end(vm.ordered().get(0), RunOutcome.DONE));
    entry.refuseReads();
    entry.advance(2 * CANCEL_MILLIS);
    assertFalse(entry.isCaughtUp());
    vm.send(
        vm.idle()
            .addRuns(
                RunReport.newBuilder().setTask(WorkflowIdCodec.encode(unknown)).setStarted(true)));
    entry.advance(1);
    assertFalse(stopped(vm).contains(unknown));
  }
}
