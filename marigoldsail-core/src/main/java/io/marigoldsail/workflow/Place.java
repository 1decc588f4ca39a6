package io.marigoldsail.workflow;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Where a run is: one incarnation of a worker on a VM.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param vm the VM's name
 * @param worker identifies the incarnation; changes with each crash of the worker
 */
public record Place(String vm, String worker) {
  /** Checks the components. */
  public Place {
    checkArgument(!vm.isEmpty(), "vm is empty");
    checkArgument(!worker.isEmpty(), "worker is empty");
  }
}
