package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.workflow.Place;
import io.marigoldsail.workflow.QueryResult;
import io.marigoldsail.workflow.QueueTable;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.StepSpec;
import io.marigoldsail.workflow.VmChooser;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import io.marigoldsail.workflow.Workflow;
import io.marigoldsail.workflow.WorkflowSpec;
import io.marigoldsail.workflow.WorkflowTask;
import java.io.IOException;
import java.util.Collections;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class EntrySchedulerTest {
  private static final StepSpec.TaskTraits LONG_RUNNING =
      new StepSpec.TaskTraits(false, false, false, true, false, "", 0, 0);

  private final WorkflowTestCluster cluster = new WorkflowTestCluster();

  @AfterEach
  void stop() {
    cluster.close();
  }

  private void start(long runMillis) throws IOException {
    cluster.addEntry();
    cluster.addSide("vm-0", runMillis);
    cluster.awaitReady();
  }

  private static StepSpec step(int tasks, int maxPerVm, StepSpec.TaskTraits traits) {
    return new StepSpec(
        tasks,
        new Sizes(500, 1 << 20, 0),
        100,
        ImmutableList.of(),
        new StepSpec.Placement("", "", false, maxPerVm),
        traits);
  }

  private void submit(long id, String queue, String service, int priority, StepSpec... steps) {
    WorkflowSpec spec =
        new WorkflowSpec(
            TestIds.id(id),
            queue,
            new WorkflowSpec.QueuePolicy(service, priority, 3, Optional.empty(), 2, 100),
            "program",
            ImmutableList.copyOf(steps),
            WorkflowSpec.Schedule.IMMEDIATE,
            System.currentTimeMillis());
    assertInstanceOf(WorkflowStore.Appended.class, cluster.entry(0).entry().submit(spec).join());
  }

  /**
   * A gang was refused repeatedly while other tasks competed for its capacity. With an unbounded
   * backoff, it was not tried for four more seconds after there was capacity for it.
   */
  @Test
  void backoffOfRefusedGangIsBounded() {
    LinkLoop loop = new VirtualLoop().loop();
    EntryMember self = new EntryMember("127.0.0.1", 1, 1);
    PartitionOwnership ownership =
        new PartitionOwnership(
            new ScriptedOwnersStore(1), loop, () -> 0, self, new NoOpOwnershipListener());
    WorkerLeaseTerms terms = WorkerLeaseTerms.forMaxLease(10_000);
    VmTracker vms = new VmTracker(loop, ownership, terms, () -> 0, new NoOpVmListener());
    EntryScheduler scheduler =
        new EntryScheduler(
            loop,
            () -> 0,
            ownership,
            vms,
            VmChooser.of(1.5),
            new FakeAdviser(),
            Optional::<QueueTable>empty);
    StepSpec.TaskTraits gang = new StepSpec.TaskTraits(true, false, false, false, false, "", 0, 0);
    Workflow workflow = Workflow.of(WorkflowTestCluster.workflow(94, gang, 2));
    WorkflowTask member = workflow.tasks().get(0);
    for (int i = 0; i < 30; i++) {
      workflow.startGangAttempt(member, Collections.nCopies(2, new Place("vm-0", "incarnation-1")));
      workflow
          .openTasks()
          .forEach(
              task -> {
                workflow.recordEnd(task.openRun(), RunOutcome.REFUSED, "", 0);
                scheduler.runEnded(task, RunOutcome.REFUSED);
              });
      long backoffMillis = TimeUnit.NANOSECONDS.toMillis(member.notBefore() - loop.now());
      assertTrue(
          backoffMillis > 0 && backoffMillis <= 1_000,
          "backoff of " + backoffMillis + " ms after " + (i + 1) + " refusals");
    }
  }

  private static final class NoOpVmListener implements VmTracker.Listener {
    @Override
    public void runEnded(OwnedPartition partition, WorkflowTask task, RunOutcome outcome) {}

    @Override
    public boolean mayOrder() {
      return true;
    }

    @Override
    public void capacityChanged() {}
  }

  /**
   * A workflow waits for a service without VMs. A later workflow with equal tasks for an idle
   * service did not start before the first one did.
   */
  @Test
  void workflowWithoutCapacityDoesNotBlockEqualOneOfAnotherService() throws IOException {
    start(40);
    submit(
        91,
        "idle",
        WorkflowTestCluster.SERVICE_WITHOUT_VMS,
        0,
        step(2, 0, StepSpec.TaskTraits.PLAIN));
    submit(92, "queue", "service", 1, step(2, 0, StepSpec.TaskTraits.PLAIN));
    cluster.await("the other workflow is done", () -> cluster.status(0, 92) == QueryResult.DONE);
    assertEquals(0, cluster.history().starts(TestIds.task(91, 0, 0, 0)));
  }

  /**
   * Two steps of one workflow are equal, with at most one task of each per VM. The first step has
   * no second VM, and no task of the second step was ever started.
   */
  @Test
  void stepWithoutCapacityDoesNotBlockEqualStepOfItsWorkflow() throws IOException {
    start(60_000);
    submit(93, "queue", "service", 0, step(2, 1, LONG_RUNNING), step(2, 1, LONG_RUNNING));
    cluster.await("one task of each step has started", () -> cluster.history().totalStarts() == 2);
    assertEquals(1, cluster.history().starts(TestIds.task(93, 0, 0, 0)));
    assertEquals(1, cluster.history().starts(TestIds.task(93, 0, 1, 0)));
  }
}
