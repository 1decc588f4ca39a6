package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.marigoldsail.daemon.link.FakeLinks;
import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.workflow.WorkflowStore.KeyedRecord;
import io.marigoldsail.daemon.workflow.WorkflowStore.Topic;
import io.marigoldsail.protocol.EndReport;
import io.marigoldsail.protocol.ServiceRoom;
import io.marigoldsail.protocol.VmReport;
import io.marigoldsail.workflow.QueueTable;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.StepSpec;
import io.marigoldsail.workflow.VmChooser;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import io.marigoldsail.workflow.Workflow;
import io.marigoldsail.workflow.WorkflowIds;
import io.marigoldsail.workflow.WorkflowTask;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Best-effort tasks that a VM refuses beside its services, on virtual time. */
class RefusedBestEffortTest {
  private static final long ID = 96;
  private static final long SETTLED_MILLIS = 500;
  private static final long REPORT_MILLIS = 300;
  private static final float ROOM = 4;
  private static final StepSpec.TaskTraits BEST_EFFORT =
      new StepSpec.TaskTraits(false, true, false, false, true, "heavy", 0, 0);

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
          () -> Optional.of(configuration()));
  private final LinkConnection side = FakeLinks.withoutPeer(time.loop());

  private static QueueTable configuration() {
    return WorkflowTestCluster.configuration(1, "service");
  }

  private final class PassScheduler implements VmTracker.Listener {
    @Override
    public void runEnded(OwnedPartition partition, WorkflowTask task, RunOutcome outcome) {
      scheduler.runEnded(task, outcome);
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

  @BeforeEach
  void orderTaskThatIsRefused() {
    KeyedRecord submission =
        new KeyedRecord(
            WorkflowIds.format(ID),
            WorkflowCodec.encode(WorkflowTestCluster.workflow(ID, BEST_EFFORT, 1)));
    store.append(Topic.SUBMISSIONS, 0, List.of(submission), Optional.empty());
    ownership.start();
    time.advance(SETTLED_MILLIS);
    report(ROOM);
    assertEquals(1, attempts());
    EndReport refused = ScriptedVm.end(task().openRun(), RunOutcome.REFUSED);
    report(ROOM, refused);
  }

  /** Sends a report and lets the passes run that it and later sweeps cause. */
  private void report(float room, EndReport... ends) {
    VmReport report =
        VmReport.newBuilder()
            .setVm("vm-0")
            .setWorker("incarnation-1")
            .setService("service")
            .setMilliProcessors(4_000)
            .setMemoryMebibytes(8_192)
            .setFreeMilliProcessors(4_000)
            .setFreeMemoryMebibytes(8_192)
            .setOvercommitMilliProcessors(4_000)
            .setServing(1)
            .addServiceRooms(ServiceRoom.newBuilder().setImage("service").setHeadroom(room))
            .addAllEnds(List.of(ends))
            .build();
    vms.handleReport(side, report);
    time.advance(REPORT_MILLIS);
    scheduler.schedulePass();
    time.advance(1);
  }

  private WorkflowTask task() {
    Workflow workflow = ownership.active().get(0).workflow(ID).orElseThrow();
    return workflow.tasks().get(0);
  }

  private int attempts() {
    return task().lastAttempt();
  }

  /** Guards against starts that an owner repeats at a VM which refuses each of them. */
  @Test
  void vmThatRefusedTheImageIsNotTriedAgainWhileItsRoomIsUnchanged() {
    report(ROOM);
    assertEquals(1, attempts());
  }

  @Test
  void vmThatReportsMoreRoomIsTriedAgain() {
    report(ROOM + 1);
    assertEquals(2, attempts());
  }

  /** Guards against a task that waits forever for a VM whose room does not change. */
  @Test
  void vmIsTriedAgainAfterASecond() {
    report(ROOM);
    report(ROOM);
    report(ROOM);
    assertEquals(2, attempts());
  }
}
