package io.marigoldsail.workflow;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Where a run is: one life of a worker on a VM.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param vm the VM's name
 * @param worker names the worker's life; another one after each crash
 */
public record Place(String vm, String worker) {
  /** Checks the components. */
  public Place {
    checkArgument(!vm.isEmpty(), "a place has no VM");
    checkArgument(!worker.isEmpty(), "a place has no worker");
  }
}
