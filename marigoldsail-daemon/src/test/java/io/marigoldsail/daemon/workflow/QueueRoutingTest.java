package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.daemon.workflow.VirtualEntry.Vm;
import io.marigoldsail.protocol.EndReport;
import io.marigoldsail.workflow.AdviserTiming;
import io.marigoldsail.workflow.Queue;
import io.marigoldsail.workflow.QueueTable;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.StepSpec;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import io.marigoldsail.workflow.Workflow;
import io.marigoldsail.workflow.WorkflowSpec;
import io.marigoldsail.workflow.WorkflowStatus;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Accepted workflows whose queue changes in the configuration, on virtual time. */
class QueueRoutingTest {
  private static final long ID = 81;
  private static final long PASS_MILLIS = 300;
  private static final String FORMER = "former-service";
  private static final String NEWER = "newer-service";
  private static final Optional<AdviserTiming> ADVICE =
      Optional.of(new AdviserTiming(1, 1, 60_000));

  private final VirtualEntry entry =
      new VirtualEntry(
          WorkerLeaseTerms.forMaxLease(10_000), configuration(1, FORMER, Optional.empty()));
  private final Vm former = entry.addVm("vm-former", FORMER);
  private final Vm newer = entry.addVm("vm-newer", NEWER);

  private static QueueTable configuration(
      long version, String service, Optional<AdviserTiming> advice) {
    return new QueueTable(
        version, ImmutableList.of(new Queue("queue", "", "/", policy(service, advice), 1_000)));
  }

  private static QueueTable configurationWithoutTheQueue(long version) {
    Queue other = new Queue("other", "", "/", policy("other-service", Optional.empty()), 1_000);
    return new QueueTable(version, ImmutableList.of(other));
  }

  private static WorkflowSpec.QueuePolicy policy(String service, Optional<AdviserTiming> advice) {
    return new WorkflowSpec.QueuePolicy(service, 0, 3, advice, 2, 100);
  }

  /** Submits a workflow of two steps of one task; both VMs are idle and report. */
  private Workflow submit(StepSpec.TaskTraits traits, Optional<AdviserTiming> advice) {
    WorkflowSpec plain = WorkflowTestCluster.workflow(ID, traits, 1, 1);
    final Workflow workflow =
        entry.submit(
            new WorkflowSpec(
                TestIds.id(ID),
                plain.queue(),
                policy(FORMER, advice),
                plain.program(),
                plain.steps(),
                plain.schedule(),
                plain.acceptedMillis()));
    former.report(List.of());
    newer.report(List.of());
    entry.advance(PASS_MILLIS);
    return workflow;
  }

  private Workflow submit() {
    return submit(StepSpec.TaskTraits.PLAIN, Optional.empty());
  }

  /** Ends the last run that was ordered on the VM. */
  private void end(Vm vm, RunOutcome outcome) {
    List<RunKey> ordered = vm.ordered();
    EndReport end = ScriptedVm.end(ordered.get(ordered.size() - 1), outcome);
    vm.report(List.of(), end);
    entry.advance(PASS_MILLIS);
  }

  /**
   * Guards against accepted workflows that stand still after their running step once their queue is
   * sent to another service.
   */
  @Test
  void nextStepStartsOnTheServiceToWhichTheQueueIsSentNow() {
    Workflow workflow = submit();
    assertEquals(1, former.ordered().size());
    entry.configure(configuration(2, NEWER, Optional.empty()));
    end(former, RunOutcome.DONE);
    assertEquals(1, newer.ordered().size());
    end(newer, RunOutcome.DONE);
    assertEquals(WorkflowStatus.DONE, workflow.status());
    assertEquals(1, former.ordered().size());
  }

  /** Guards against a long-running task that ends after the change and never runs again. */
  @Test
  void longRunningTaskRunsAgainOnTheServiceToWhichTheQueueIsSentNow() {
    submit(new StepSpec.TaskTraits(false, false, false, true, false, "", 0, 0), Optional.empty());
    entry.configure(configuration(2, NEWER, Optional.empty()));
    end(former, RunOutcome.FAILED);
    entry.advance(2_000);
    assertEquals(1, newer.ordered().size());
    assertEquals(1, former.ordered().size());
  }

  /** Guards against accepted workflows that stand still once their queue is removed. */
  @Test
  void workflowOfARemovedQueueGoesOnWhereItRan() {
    Workflow workflow = submit();
    entry.configure(configurationWithoutTheQueue(2));
    end(former, RunOutcome.DONE);
    assertEquals(2, former.ordered().size());
    end(former, RunOutcome.DONE);
    assertEquals(WorkflowStatus.DONE, workflow.status());
  }

  /** Guards against a start on a service that the queue had left before it was removed. */
  @Test
  void workflowOfAQueueThatMovedBeforeItsRemovalGoesOnWhereItMoved() {
    submit();
    entry.configure(configuration(2, NEWER, Optional.empty()));
    entry.advance(PASS_MILLIS);
    entry.configure(configurationWithoutTheQueue(3));
    end(former, RunOutcome.DONE);
    assertEquals(1, newer.ordered().size());
    assertEquals(1, former.ordered().size());
  }

  /** Guards against a new owner that forgets where a workflow of a removed queue runs. */
  @Test
  void serviceIsKnownToANewOwnerThoughTheQueueWasRemoved() {
    Workflow workflow = submit();
    entry.configure(configuration(2, NEWER, Optional.empty()));
    end(former, RunOutcome.DONE);
    Workflow restored =
        Workflow.restore(
            workflow.spec(),
            WorkflowCodec.decodeProgress(WorkflowCodec.encode(workflow.record())).orElseThrow());
    restored.follow(configurationWithoutTheQueue(3));
    assertEquals(NEWER, restored.service());
  }

  /**
   * Guards against starts without a ticket, which workers refuse, once the queue requires placement
   * advice.
   */
  @Test
  void nextStepStartsWithATicketOnceTheQueueRequiresAdvice() {
    submit();
    assertEquals(List.of(""), former.tickets());
    entry.configure(configuration(2, FORMER, ADVICE));
    end(former, RunOutcome.DONE);
    assertEquals(2, former.ordered().size());
    assertNotEquals("", former.tickets().get(1));
  }

  /** Guards against workflows that wait for an adviser that their queue no longer has. */
  @Test
  void nextStepStartsWithoutTheAdviserOnceTheQueueRequiresNoAdvice() {
    entry.configure(configuration(2, FORMER, ADVICE));
    submit(StepSpec.TaskTraits.PLAIN, ADVICE);
    assertNotEquals("", former.tickets().get(0));
    entry.adviser().failNext(Integer.MAX_VALUE);
    entry.configure(configuration(3, FORMER, Optional.empty()));
    end(former, RunOutcome.DONE);
    assertEquals(2, former.ordered().size());
    assertEquals("", former.tickets().get(1));
  }
}
