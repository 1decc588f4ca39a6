package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.daemon.link.FakeLinks;
import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.workflow.WorkflowStore.KeyedRecord;
import io.marigoldsail.daemon.workflow.WorkflowStore.Topic;
import io.marigoldsail.protocol.TaskProgress;
import io.marigoldsail.protocol.VmReport;
import io.marigoldsail.protocol.WorkflowProgress;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.StepSpec;
import io.marigoldsail.workflow.VmChooser;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import io.marigoldsail.workflow.Workflow;
import io.marigoldsail.workflow.WorkflowSpec;
import io.marigoldsail.workflow.WorkflowTask;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Exceptions while one workflow is handled do not end a pass over all of them. */
class ThrowingItemsTest {
  private static final long ODD = 94;
  private static final long SOUND = 95;
  private static final long SETTLED_MILLIS = 500;
  private static final long PASS_DELAY_MILLIS = 11;
  private static final long EXPIRED_MILLIS = 60_000;

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
          time.loop(), ownership, WorkerLeaseTerms.forMaxLease(10_000), () -> 0, new Throwing());
  private final EntryScheduler scheduler =
      new EntryScheduler(
          time.loop(),
          () -> 0,
          ownership,
          vms,
          VmChooser.of(1.5),
          new FakeAdviser(),
          () -> Optional.of(WorkflowTestCluster.configuration(1, "service")));
  private final LinkConnection side = FakeLinks.withoutPeer(time.loop());
  private final Logger logger = Logger.getLogger(ThrowingItemsTest.class.getName());
  private final List<String> logged = new ArrayList<>();
  private final Handler handler = new CollectingHandler();

  @AfterEach
  void stopLogging() {
    logger.removeHandler(handler);
  }

  private void submit(WorkflowSpec spec) {
    KeyedRecord record = new KeyedRecord(spec.id().toString(), WorkflowCodec.encode(spec));
    append(Topic.SUBMISSIONS, TestIds.number(spec.id()), record);
  }

  private static String key(long id) {
    return TestIds.id(id).toString();
  }

  private void append(Topic topic, long id, KeyedRecord keyed) {
    assertEquals(key(id), keyed.key());
    store.append(topic, 0, List.of(keyed), Optional.empty());
  }

  private Workflow workflow(long id) {
    return ownership.active().get(0).workflow(TestIds.id(id)).orElseThrow();
  }

  private void report() {
    vms.handleReport(
        side,
        VmReport.newBuilder()
            .setVm("vm-0")
            .setWorker("incarnation-1")
            .setService("service")
            .setMilliProcessors(4_000)
            .setMemoryMebibytes(8_192)
            .setFreeMilliProcessors(4_000)
            .setFreeMemoryMebibytes(8_192)
            .build());
    time.advance(PASS_DELAY_MILLIS);
  }

  /** Guards against a gang that is done in part, whose attempt throws before other tasks' turn. */
  @Test
  void workflowThatCannotStartEndsNoSchedulingPass() {
    StepSpec.TaskTraits gang = new StepSpec.TaskTraits(true, false, false, false, false, "", 0, 0);
    submit(WorkflowTestCluster.workflow(ODD, gang, 3));
    WorkflowProgress.Builder progress = WorkflowProgress.newBuilder().setStatus(1);
    for (int phase : new int[] {0, 1, 0}) {
      progress.addTasks(TaskProgress.newBuilder().setLastAttempt(1).setPhase(phase));
    }
    append(Topic.PROGRESS, ODD, new KeyedRecord(key(ODD), progress.build().toByteString()));
    submit(WorkflowTestCluster.workflow(SOUND, 1));
    ownership.start();
    time.advance(SETTLED_MILLIS);
    report();
    assertFalse(workflow(SOUND).openTasks().isEmpty());
    assertTrue(workflow(ODD).openTasks().isEmpty());
    time.rethrowFailure();
  }

  /** Guards against runs that count as open for ever because the end of another one threw. */
  @Test
  void runWhoseEndThrowsKeepsNoOtherRunOpen() {
    submit(WorkflowTestCluster.workflow(ODD, 2));
    submit(WorkflowTestCluster.workflow(SOUND, 2));
    ownership.start();
    time.advance(SETTLED_MILLIS);
    report();
    assertEquals(2, workflow(ODD).openTasks().size());
    assertEquals(2, workflow(SOUND).openTasks().size());
    vms.disconnected(side, "closed by the test");
    time.advance(EXPIRED_MILLIS);
    vms.closeExpiredRuns();
    assertTrue(workflow(ODD).openTasks().isEmpty());
    assertTrue(workflow(SOUND).openTasks().isEmpty());
  }

  /** Guards against a log that one odd item fills. */
  @Test
  void itemIsLoggedOnce() {
    logger.addHandler(handler);
    logger.setUseParentHandlers(false);
    ItemGuard guard = new ItemGuard(EventLog.of(ThrowingItemsTest.class), "item-failed");
    List<String> handled = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      for (String item : List.of("a", "odd", "b")) {
        guard.run(
            () -> item,
            () -> {
              if (item.equals("odd")) {
                throw new IllegalStateException("thrown by the test");
              }
              handled.add(item);
            });
      }
    }
    assertEquals(List.of("a", "b", "a", "b", "a", "b"), handled);
    assertEquals(1, logged.size(), logged.toString());
    assertTrue(logged.get(0).contains("event=item-failed item=odd"), logged.toString());
  }

  private final class CollectingHandler extends Handler {
    @Override
    public void publish(LogRecord record) {
      logged.add(record.getMessage());
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
  }

  /** Throws at each end of a run of the odd workflow. */
  private final class Throwing implements VmTracker.Listener {
    @Override
    public void runEnded(OwnedPartition partition, WorkflowTask task, RunOutcome outcome) {
      if (TestIds.number(task.key().workflow()) == ODD) {
        throw new IllegalStateException("thrown by the test");
      }
    }

    @Override
    public void capacityChanged() {
      scheduler.capacityChanged();
    }

    @Override
    public boolean mayOrder() {
      return true;
    }
  }
}
