package io.marigoldsail.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.job.Sizes;
import java.util.HashMap;
import java.util.Map;

/**
 * What is booked on one VM: the last word on whether a run may start there.
 *
 * <p>Load pattern: several owners place on the same VM at the same time, each by what it heard
 * last. All their orders pass through here, so a race costs one of them a refusal and never
 * overbooks the VM. A run is booked from before its order to the worker until the worker has listed
 * its end or is gone: a start without an answer may be carried out later, and what is being stopped
 * still works.
 *
 * <p>Confined to one thread. Rejects nulls.
 */
public final class RoomLedger {
  private final Map<RunKey, Sizes> booked = new HashMap<>();
  private Sizes capacity = Sizes.NONE;
  private Sizes total = Sizes.NONE;

  /** Sets what the VM has. */
  public void capacity(Sizes newCapacity) {
    capacity = requireNonNull(newCapacity, "newCapacity");
  }

  /** Returns what the VM has. */
  public Sizes capacity() {
    return capacity;
  }

  /** Books room for the run if there is; returns whether the run is booked now. */
  public boolean tryBook(RunKey run, Sizes sizes) {
    if (booked.containsKey(run)) {
      return true;
    }
    if (!sizes.fitsIn(free())) {
      return false;
    }
    book(run, sizes);
    return true;
  }

  /** Books room for a run that is there already, whether or not there is room. */
  public void book(RunKey run, Sizes sizes) {
    Sizes before = booked.put(requireNonNull(run, "run"), requireNonNull(sizes, "sizes"));
    total = (before == null ? total : total.minus(before)).plus(sizes);
  }

  /** Frees what the run had. */
  public void release(RunKey run) {
    Sizes sizes = booked.remove(run);
    if (sizes != null) {
      total = total.minus(sizes);
    }
  }

  /** Returns what is not booked. */
  public Sizes free() {
    return capacity.minus(total);
  }
}
