package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.marigoldsail.daemon.workflow.VirtualEntry.Vm;
import io.marigoldsail.protocol.EndReport;
import io.marigoldsail.protocol.ServiceRoom;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.StepSpec;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import io.marigoldsail.workflow.WorkflowTask;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Best-effort tasks that a VM refuses beside its services, on virtual time. */
class RefusedBestEffortTest {
  private static final long ID = 96;
  private static final long REPORT_MILLIS = 300;
  private static final float ROOM = 4;
  private static final StepSpec.TaskTraits BEST_EFFORT =
      new StepSpec.TaskTraits(false, true, false, false, true, "heavy", 0, 0);

  private final VirtualEntry entry =
      new VirtualEntry(
          WorkerLeaseTerms.forMaxLease(10_000), WorkflowTestCluster.configuration(1, "service"));
  private final Vm vm = entry.addVm("vm-0", "service");

  @BeforeEach
  void orderTaskThatIsRefused() {
    entry.submit(WorkflowTestCluster.workflow(ID, BEST_EFFORT, 1));
    report(ROOM);
    assertEquals(1, attempts());
    EndReport refused = ScriptedVm.end(task().openRun(), RunOutcome.REFUSED);
    report(ROOM, refused);
  }

  /** Sends a report and lets the passes run that it and later sweeps cause. */
  private void report(float room, EndReport... ends) {
    vm.send(
        vm.idle()
            .setOvercommitMilliProcessors(4_000)
            .setServing(1)
            .addServiceRooms(ServiceRoom.newBuilder().setImage("service").setHeadroom(room))
            .addAllEnds(List.of(ends)));
    entry.advance(REPORT_MILLIS);
  }

  private WorkflowTask task() {
    return entry.workflow(ID).tasks().get(0);
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
