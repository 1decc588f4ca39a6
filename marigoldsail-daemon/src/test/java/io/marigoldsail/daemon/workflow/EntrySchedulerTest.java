package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.workflow.QueryResult;
import io.marigoldsail.workflow.StepSpec;
import io.marigoldsail.workflow.TaskKey;
import io.marigoldsail.workflow.WorkflowSpec;
import java.io.IOException;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class EntrySchedulerTest {
  private static final StepSpec.Nature LASTING =
      new StepSpec.Nature(false, false, false, true, false, "", 0, 0);

  private final WorkflowWorld world = new WorkflowWorld();

  @AfterEach
  void stop() {
    world.close();
  }

  private void start(long runMillis) throws IOException {
    world.addEntry();
    world.addSide("vm-0", runMillis);
    world.awaitReady();
  }

  private static StepSpec step(int tasks, int maxPerVm, StepSpec.Nature nature) {
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
            new WorkflowSpec.Terms(service, priority, 3, Optional.empty(), 2, 100),
            "program",
            ImmutableList.copyOf(steps),
            WorkflowSpec.Schedule.AT_ONCE,
            System.currentTimeMillis());
    assertInstanceOf(WorkflowStore.Appended.class, world.entry(0).entry().submit(spec).join());
  }

  /**
   * A workflow waits for a service of which no VM is left. Another one with equal tasks came later,
   * for a service with nothing to do, and did not begin before the first one did.
   */
  @Test
  void aWorkflowWithoutRoomHoldsUpNoEqualOneOfAnotherService() throws IOException {
    start(40);
    submit(91, WorkflowWorld.SERVICE_WITHOUT_VMS, 0, step(2, 0, StepSpec.Nature.PLAIN));
    submit(92, "service", 1, step(2, 0, StepSpec.Nature.PLAIN));
    world.await("the other is done", () -> world.status(0, 92) == QueryResult.DONE);
    assertEquals(0, world.history().starts(new TaskKey(91, 0, 0, 0)));
  }

  /**
   * Two services of one workflow are alike, and a VM takes one task of each at most. The first
   * lacks a second VM for good, and nothing of the second was ever at work.
   */
  @Test
  void aStepWithoutRoomHoldsUpNoEqualStepOfItsWorkflow() throws IOException {
    start(60_000);
    submit(93, "service", 0, step(2, 1, LASTING), step(2, 1, LASTING));
    world.await("one of each is at work", () -> world.history().totalStarts() == 2);
    assertEquals(1, world.history().starts(new TaskKey(93, 0, 0, 0)));
    assertEquals(1, world.history().starts(new TaskKey(93, 0, 1, 0)));
  }
}
