package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.daemon.identity.WorkflowIdCodec;
import io.marigoldsail.daemon.link.FakeLinks;
import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.workflow.FakeWorkflowStore.AppendFault;
import io.marigoldsail.daemon.workflow.WorkflowStore.KeyedRecord;
import io.marigoldsail.daemon.workflow.WorkflowStore.Topic;
import io.marigoldsail.protocol.EndReport;
import io.marigoldsail.protocol.VmReport;
import io.marigoldsail.workflow.QueueTable;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.VmChooser;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import io.marigoldsail.workflow.Workflow;
import io.marigoldsail.workflow.WorkflowTask;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Scheduling passes that reports of capacity cause, on virtual time. */
class SchedulingPassTest {
  private static final long ID = 95;
  private static final long PASS_DELAY_MILLIS = 10;
  private static final long REFUSED_BACKOFF_MILLIS = 25;

  private final VirtualLoop time = new VirtualLoop();
  private final FakeWorkflowStore store = new FakeWorkflowStore(1, time.timer());
  private final PartitionOwnership ownership =
      new PartitionOwnership(
          store,
          time.loop(),
          time::wallMillis,
          new EntryMember("127.0.0.1", 1, 1),
          new NoOpOwnershipListener());
  private final VmTracker vms =
      new VmTracker(
          time.loop(),
          ownership,
          WorkerLeaseTerms.forMaxLease(10_000),
          () -> 0,
          new PassScheduler());
  private final EntryScheduler scheduler =
      new EntryScheduler(
          time.loop(),
          () -> 0,
          ownership,
          vms,
          VmChooser.of(1.5),
          new FakeAdviser(),
          this::configuration);
  private final LinkConnection side = FakeLinks.withoutPeer(time.loop());
  private int passes;

  /** Counts the scheduling passes, each of which reads the configuration once. */
  private Optional<QueueTable> configuration() {
    passes++;
    return Optional.of(WorkflowTestCluster.configuration(1, "service"));
  }

  @BeforeEach
  void submit() {
    KeyedRecord submission =
        new KeyedRecord(
            TestIds.id(ID).toString(), WorkflowCodec.encode(WorkflowTestCluster.workflow(ID, 1)));
    store.append(Topic.SUBMISSIONS, 0, List.of(submission), Optional.empty());
    ownership.start();
    time.advance(500);
    assertEquals(1, ownership.active().size());
    // Orders do not become durable, so none is sent.
    store.failAppends(AppendFault.REFUSED, Integer.MAX_VALUE);
  }

  private void report() {
    vms.handleReport(side, vmReport().build());
  }

  private static VmReport.Builder vmReport() {
    return VmReport.newBuilder()
        .setVm("vm-0")
        .setWorker("incarnation-1")
        .setService("service")
        .setMilliProcessors(4_000)
        .setMemoryMebibytes(8_192)
        .setFreeMilliProcessors(4_000)
        .setFreeMemoryMebibytes(8_192);
  }

  private boolean isOrdered() {
    Workflow workflow = ownership.active().get(0).workflow(TestIds.id(ID)).orElseThrow();
    return !workflow.openTasks().isEmpty();
  }

  @Test
  void waitingTaskIsOrderedSoonAfterReportOfCapacity() {
    assertFalse(isOrdered());
    report();
    time.advance(PASS_DELAY_MILLIS);
    time.runPending();
    assertTrue(isOrdered());
  }

  /**
   * Each report caused a pass over all waiting tasks and all VMs. Many VMs report together, and the
   * entry was busy with passes that repeated the previous one.
   */
  @Test
  void concurrentReportsCauseOnePass() {
    for (int i = 0; i < PASS_DELAY_MILLIS - 1; i++) {
      report();
      report();
      time.advance(1);
    }
    assertEquals(0, passes);
    time.advance(PASS_DELAY_MILLIS);
    assertEquals(1, passes);
    assertTrue(isOrdered());
  }

  /** Guards against an entry of a large calm fleet that is busy with passes that place nothing. */
  @Test
  void reportsCauseNoPassWhileNothingWaits() {
    report();
    time.advance(2 * PASS_DELAY_MILLIS);
    assertTrue(isOrdered());
    int before = passes;
    for (int i = 0; i < 10; i++) {
      report();
      time.advance(2 * PASS_DELAY_MILLIS);
    }
    assertEquals(before, passes);
  }

  /** Guards against a task without a VM that is not looked at again when a VM reports. */
  @Test
  void taskThatFoundNoVmIsOrderedAfterALaterReport() {
    scheduler.schedulePass();
    time.advance(2 * PASS_DELAY_MILLIS);
    assertFalse(isOrdered());
    report();
    time.advance(2 * PASS_DELAY_MILLIS);
    assertTrue(isOrdered());
  }

  /**
   * Guards against a refused task that is looked at again only when some VM reports, though it may
   * be placed at the end of its backoff.
   */
  @Test
  void refusedTaskIsOrderedAgainAtTheEndOfItsBackoffWithoutAReport() {
    report();
    time.advance(2 * PASS_DELAY_MILLIS);
    WorkflowTask task = onlyTask();
    RunKey refused = task.openRun();
    vms.handleReport(
        side,
        vmReport()
            .addEnds(
                EndReport.newBuilder()
                    .setTask(WorkflowIdCodec.encode(refused))
                    .setOutcome(RunOutcome.REFUSED.number()))
            .build());
    time.runPending();
    assertFalse(isOrdered());
    time.advance(2 * REFUSED_BACKOFF_MILLIS);
    assertTrue(isOrdered());
    assertEquals(refused.attempt() + 1, task.openRun().attempt());
  }

  private WorkflowTask onlyTask() {
    return ownership.active().get(0).task(TestIds.task(ID, 0, 0, 0)).orElseThrow();
  }

  private final class PassScheduler implements VmTracker.Listener {
    @Override
    public void runEnded(OwnedPartition partition, WorkflowTask task, RunOutcome outcome) {
      scheduler.runEnded(task, outcome);
    }

    @Override
    public boolean mayOrder() {
      return true;
    }

    @Override
    public void capacityChanged() {
      scheduler.capacityChanged();
    }
  }
}
