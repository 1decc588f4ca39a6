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
import io.marigoldsail.workflow.TaskKey;
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

  private final WorkflowTestCluster world = new WorkflowTestCluster();

  @AfterEach
  void stop() {
    world.close();
  }

  private void start(long runMillis) throws IOException {
    world.addEntry();
    world.addSide("vm-0", runMillis);
    world.awaitReady();
  }

  private static StepSpec step(int tasks, int maxPerVm, StepSpec.TaskTraits nature) {
    return new StepSpec(
        tasks,
        new Sizes(500, 1 << 20, 0),
        100,
        ImmutableList.of(),
        new StepSpec.Placement("", "", false, maxPerVm),
        nature);
  }

  private void submit(long id, String service, int priority, StepSpec... steps) {
    WorkflowSpec spec =
        new WorkflowSpec(
            id,
            "queue",
            new WorkflowSpec.QueuePolicy(service, priority, 3, Optional.empty(), 2, 100),
            "program",
            ImmutableList.copyOf(steps),
            WorkflowSpec.Schedule.IMMEDIATE,
            System.currentTimeMillis());
    assertInstanceOf(WorkflowStore.Appended.class, world.entry(0).entry().submit(spec).join());
  }

  /**
   * A gang was refused again and again while others raced it for room. When there was room for it
   * at last, it was not looked at for four seconds more.
   */
  @Test
  void backoffOfRefusedGangIsBounded() {
    LinkLoop loop = new VirtualLoop().loop();
    EntryMember self = new EntryMember("127.0.0.1", 1, 1);
    PartitionOwnership ownership =
        new PartitionOwnership(new ScriptedOwnersStore(1), loop, self, new NoOpOwnershipListener());
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
      workflow.startGangAttempt(member, Collections.nCopies(2, new Place("vm-0", "life-1")));
      workflow
          .openTasks()
          .forEach(
              task -> {
                workflow.recordEnd(task.openRun(), RunOutcome.REFUSED, "", 0);
                scheduler.runEnded(task, RunOutcome.REFUSED);
              });
      long waits = TimeUnit.NANOSECONDS.toMillis(member.notBefore() - loop.now());
      assertTrue(waits > 0 && waits <= 1_000, "waits " + waits + " ms after " + (i + 1));
    }
  }

  private static final class NoOpVmListener implements VmTracker.Listener {
    @Override
    public void runEnded(OwnedPartition partition, WorkflowTask task, RunOutcome outcome) {}

    @Override
    public void capacityChanged() {}
  }

  /**
   * A workflow waits for a service of which no VM is left. Another one with equal tasks came later,
   * for a service with nothing to do, and did not begin before the first one did.
   */
  @Test
  void workflowWithoutCapacityDoesNotBlockEqualOneOfAnotherService() throws IOException {
    start(40);
    submit(91, WorkflowTestCluster.SERVICE_WITHOUT_VMS, 0, step(2, 0, StepSpec.TaskTraits.PLAIN));
    submit(92, "service", 1, step(2, 0, StepSpec.TaskTraits.PLAIN));
    world.await("the other is done", () -> world.status(0, 92) == QueryResult.DONE);
    assertEquals(0, world.history().starts(new TaskKey(91, 0, 0, 0)));
  }

  /**
   * Two services of one workflow are alike, and a VM takes one task of each at most. The first
   * lacks a second VM for good, and nothing of the second was ever at work.
   */
  @Test
  void stepWithoutCapacityDoesNotBlockEqualStepOfItsWorkflow() throws IOException {
    start(60_000);
    submit(93, "service", 0, step(2, 1, LONG_RUNNING), step(2, 1, LONG_RUNNING));
    world.await("one of each is at work", () -> world.history().totalStarts() == 2);
    assertEquals(1, world.history().starts(new TaskKey(93, 0, 0, 0)));
    assertEquals(1, world.history().starts(new TaskKey(93, 0, 1, 0)));
  }
}
