package io.marigoldsail.daemon.workflow;

/** Told what changes in one life of the VM's worker; called on the loop. */
interface WorkerSessionListener {
  /** Whether the VM may be given work has changed: all entries are to hear at once. */
  void availabilityChanged();

  /** What is left of the VM has changed; entries hear in turns. */
  void capacityChanged();

  /** A run of the partition has changed, and with it what is left of the VM. */
  void runChanged(int partition);

  /** This life of the worker is over. */
  void sessionEnded(WorkerSession session);
}
