package io.marigoldsail.daemon.workflow;

import io.marigoldsail.workflow.Workflow;

/** Takes what becomes of partitions and does nothing about it. */
class NoOpOwnershipListener implements PartitionOwnership.Listener {
  @Override
  public void ownersRead(long asOfGeneration, WorkflowStore.Owners owners) {}

  @Override
  public void activated(OwnedPartition partition) {}

  @Override
  public void submitted(OwnedPartition partition, Workflow workflow) {}

  @Override
  public void lost(OwnedPartition partition) {}
}
