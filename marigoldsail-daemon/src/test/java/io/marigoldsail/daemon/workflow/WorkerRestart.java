package io.marigoldsail.daemon.workflow;

import io.marigoldsail.workflow.WorkerIncarnation;

/** How a simulated worker starts again after a crash. */
enum WorkerRestart {
  /** Under a new id: it ignores calls for its earlier incarnations. */
  NEW_ID {
    @Override
    String nameOf(String vm, int incarnation, long bootedAt) {
      return vm + "/" + incarnation;
    }
  },
  /** Under its id; calls that an earlier incarnation received and left for later are lost. */
  SAME_ID {
    @Override
    String nameOf(String vm, int incarnation, long bootedAt) {
      return WorkerIncarnation.of(vm, bootedAt).name();
    }

    @Override
    boolean executes(String receiver, String present) {
      return receiver.equals(present);
    }
  },
  /** Under its id; it executes calls that an earlier incarnation received and left for later. */
  SAME_ID_WITH_LATE_CALLS {
    @Override
    String nameOf(String vm, int incarnation, long bootedAt) {
      return SAME_ID.nameOf(vm, incarnation, bootedAt);
    }
  };

  abstract String nameOf(String vm, int incarnation, long bootedAt);

  /** Returns whether the present incarnation executes a call that the receiver left for later. */
  boolean executes(String receiver, String present) {
    return true;
  }
}
