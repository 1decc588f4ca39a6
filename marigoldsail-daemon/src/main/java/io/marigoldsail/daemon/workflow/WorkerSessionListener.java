package io.marigoldsail.daemon.workflow;

/** Receives changes of one {@link WorkerSession}; called on the loop. */
interface WorkerSessionListener {
  /** The VM started or stopped accepting work; to be reported to all entries at once. */
  void availabilityChanged();

  /** The total or the free capacity of the VM have changed; not urgent. */
  void capacityChanged();

  /** A run of the partition has changed, and possibly the free capacity of the VM. */
  void runChanged(int partition);

  /** Returns whether no run may start in the zone because it is evacuated. */
  boolean isEvacuated(String zone);

  /** The worker has started again under its id as the given incarnation. */
  void workerSucceeded(WorkerSession session, String successor);

  /** The worker incarnation of the session has ended. */
  void sessionEnded(WorkerSession session);
}
