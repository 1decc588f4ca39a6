package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.marigoldsail.daemon.workflow.VirtualEntry.Vm;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import io.marigoldsail.workflow.Workflow;
import io.marigoldsail.workflow.WorkflowSpec;
import io.marigoldsail.workflow.WorkflowStatus;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Submissions that arrive again under the id of an accepted workflow, on virtual time. */
class RepeatedSubmissionTest {
  private static final long WORKFLOW = 91;
  private static final WorkerLeaseTerms TERMS = WorkerLeaseTerms.forMaxLease(4_000);
  private static final long PASS_MILLIS = 300;

  private final VirtualEntry entry =
      new VirtualEntry(TERMS, WorkflowTestCluster.configuration(1, "service"));
  private final Vm vm = entry.addVm("vm-0", "service");

  private static WorkflowSpec withProgram(WorkflowSpec spec, String program) {
    return new WorkflowSpec(
        spec.id(),
        spec.queue(),
        spec.policy(),
        program,
        spec.steps(),
        spec.schedule(),
        spec.acceptedMillis());
  }

  /**
   * Guards against tasks of an accepted workflow that start with the program and the steps of a
   * later submission under its id: the next owner would read that one alone.
   */
  @Test
  void nextOwnerRunsTheWorkflowThatWasAcceptedFirst() {
    WorkflowSpec first = WorkflowTestCluster.workflow(WORKFLOW, 2);
    entry.submit(first);
    entry.submit(withProgram(WorkflowTestCluster.workflow(WORKFLOW, 1, 3), "another program"));
    assertEquals(first, entry.workflow(WORKFLOW).spec());
    entry.advance(PASS_MILLIS);
    assertEquals(first, entry.successor(TERMS).workflow(WORKFLOW).spec());
  }

  /** Guards against a cancelled workflow that starts again, since its submission is repeated. */
  @Test
  void repeatedSubmissionOfACancelledWorkflowStartsNothing() {
    WorkflowSpec spec = WorkflowTestCluster.workflow(WORKFLOW, 2);
    Workflow workflow = entry.submit(spec);
    entry.cancel(workflow);
    entry.advance(PASS_MILLIS);
    assertEquals(WorkflowStatus.CANCELLED, entry.submit(spec).status());
    VirtualEntry next = entry.successor(TERMS);
    assertEquals(WorkflowStatus.CANCELLED, next.workflow(WORKFLOW).status());
    assertEquals(WorkflowStatus.CANCELLED, next.submit(spec).status());
    Vm reconnected = next.addVm("vm-0", "service");
    reconnected.report(List.of());
    next.advance(PASS_MILLIS);
    assertEquals(List.of(), reconnected.ordered());
    assertEquals(List.of(), vm.ordered());
  }
}
