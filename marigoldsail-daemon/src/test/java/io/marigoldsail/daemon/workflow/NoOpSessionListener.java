package io.marigoldsail.daemon.workflow;

/** Ignores all changes of a worker session. */
final class NoOpSessionListener implements WorkerSessionListener {
  @Override
  public void availabilityChanged() {}

  @Override
  public void capacityChanged() {}

  @Override
  public boolean isEvacuated(String zone) {
    return false;
  }

  @Override
  public void runChanged(int partition) {}

  @Override
  public void workerSucceeded(WorkerSession session, String successor) {}

  @Override
  public void sessionEnded(WorkerSession session) {}
}
