package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.protocol.ServiceRoom;
import io.marigoldsail.protocol.VmReport;
import io.marigoldsail.workflow.Place;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.StepSpec;
import io.marigoldsail.workflow.Workflow;
import io.marigoldsail.workflow.WorkflowTask;
import java.util.List;
import org.junit.jupiter.api.Test;

class VmSessionTest {
  private static final RunKey RUN = new RunKey(TestIds.task(7, 0, 0, 0), 1);

  private static VmReport report(String worker) {
    return VmReport.newBuilder().setVm("vm-0").setWorker(worker).build();
  }

  /** Guards against leases most of whose content is evidence that the VM has just received. */
  @Test
  void imagesAreSentAtAnInterval() {
    VmSession session = new VmSession(null, report("incarnation-1"), 0);
    assertTrue(session.areImagesDue(5));
    assertFalse(session.areImagesDue(5 + VmSession.IMAGES_INTERVAL_NANOS - 1));
    assertTrue(session.areImagesDue(5 + VmSession.IMAGES_INTERVAL_NANOS));
  }

  /**
   * An order was pending when a report with a new worker incarnation arrived. It was sent to the
   * new incarnation, which would start a task that its owner orders elsewhere.
   */
  @Test
  void pendingOrdersAreDroppedWhenTheIncarnationChanges() {
    VmSession session = new VmSession(null, report("incarnation-1"), 0);
    session.addStop(RUN);
    session.update(report("incarnation-1"), 1);
    assertTrue(session.hasPendingOrders());
    session.update(report("incarnation-2"), 2);
    assertFalse(session.hasPendingOrders());
  }

  /**
   * Guards against a scheduling pass that ends at a VM whose run has ended without a report, and
   * against capacity reserved for such a run or for a later attempt elsewhere.
   */
  @Test
  void runThatIsNotTheOpenAttemptReservesNothing() {
    Workflow workflow = Workflow.of(WorkflowTestCluster.workflow(8, 1));
    WorkflowTask task = workflow.tasks().get(0);
    workflow.startAttempt(task, new Place("vm-0", "incarnation-1"));
    OpenRun run = OpenRun.create(null, task, 0, false, "");
    VmReport idle =
        report("incarnation-1").toBuilder()
            .setFreeMilliProcessors(4_000)
            .setFreeMemoryMebibytes(8_192)
            .build();
    VmSession session = new VmSession(null, idle, 0);
    long whenOpen = freeMilliProcessors(session, run);
    workflow.recordEnd(run.key(), RunOutcome.LOST, "", 0);
    assertFalse(run.isOpen());
    long whenEnded = freeMilliProcessors(session, run);
    assertEquals(whenOpen + task.step().booked().milliProcessors(), whenEnded);
    workflow.startAttempt(task, new Place("vm-1", "incarnation-1"));
    assertFalse(run.isOpen());
    assertEquals(1, run.key().attempt());
    assertEquals(whenEnded, freeMilliProcessors(session, run));
  }

  private static long freeMilliProcessors(VmSession session, OpenRun run) {
    return session.offer(List.of(run), new FleetStatistics(), 1).free().milliProcessors();
  }

  /** Guards against a worker that gets no tasks of an image that its predecessor refused. */
  @Test
  void refusalsEndWithTheIncarnationThatRefused() {
    StepSpec.TaskTraits bestEffort =
        new StepSpec.TaskTraits(false, true, false, false, true, "heavy", 0, 0);
    WorkflowTask task = Workflow.of(WorkflowTestCluster.workflow(7, bestEffort, 1)).tasks().get(0);
    VmSession session = new VmSession(null, reportWithRoom("incarnation-1"), 0);
    session.recordRefusal(task, 1);
    session.update(reportWithRoom("incarnation-1"), 2);
    assertTrue(session.hasRefused("heavy", 2));
    session.update(reportWithRoom("incarnation-2"), 3);
    assertFalse(session.hasRefused("heavy", 3));
  }

  private static VmReport reportWithRoom(String worker) {
    return report(worker).toBuilder()
        .addServiceRooms(ServiceRoom.newBuilder().setImage("service").setHeadroom(1))
        .build();
  }
}
