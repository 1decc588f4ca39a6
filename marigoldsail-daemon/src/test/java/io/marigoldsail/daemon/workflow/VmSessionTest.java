package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.protocol.VmReport;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.TaskKey;
import org.junit.jupiter.api.Test;

class VmSessionTest {
  private static final RunKey RUN = new RunKey(new TaskKey(7, 0, 0, 0), 1);

  private static VmReport report(String worker) {
    return VmReport.newBuilder().setVm("vm-0").setWorker(worker).build();
  }

  /**
   * An order waited to be sent when the report came that the worker had another life. It went out
   * for the new one, which would start a task that its owner orders elsewhere.
   */
  @Test
  void pendingOrdersAreDroppedWhenTheIncarnationChanges() {
    VmSession session = new VmSession(null, report("life-1"), 0);
    session.addStop(RUN);
    session.update(report("life-1"), 1);
    assertTrue(session.hasPendingOrders());
    session.update(report("life-2"), 2);
    assertFalse(session.hasPendingOrders());
  }
}
