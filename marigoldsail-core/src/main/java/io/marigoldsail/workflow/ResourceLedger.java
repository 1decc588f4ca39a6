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
 * still works. Tasks that fill book no processors, so what they declare is added up here and held
 * to the bound of {@link Overcommit}: without it three owners that saw the same empty VM put 24
 * such tasks of 43 processors on one of 24.
 *
 * <p>Confined to one thread. Rejects nulls.
 */
public final class ResourceLedger {
  /**
   * What a run takes.
   *
   * @param sizes what it declares
   * @param bestEffort whether it takes only the processors that others leave
   * @param urgency how much the place matters; one that starves is not held to the bound of what
   *     fills
   */
  public record Claim(Sizes sizes, boolean bestEffort, Urgency urgency) {
    /** Checks the components. */
    public Claim {
      requireNonNull(sizes, "sizes");
      requireNonNull(urgency, "urgency");
    }

    /** Returns what is booked for it: no processors if it fills. */
    public Sizes booked() {
      return bestEffort ? sizes.withoutProcessors() : sizes;
    }

    private long bestEffortMilliProcessors() {
      return bestEffort ? sizes.milliProcessors() : 0;
    }
  }

  private final Map<RunKey, Claim> claims = new HashMap<>();
  private final Overcommit overcommit;
  private Sizes capacity = Sizes.NONE;
  private Sizes total = Sizes.NONE;
  private long bestEffortMilliProcessors;

  /** Returns a ledger in which nothing is booked. */
  public ResourceLedger(Overcommit overcommit) {
    this.overcommit = requireNonNull(overcommit, "overcommit");
  }

  /** Sets what the VM has. */
  public void capacity(Sizes newCapacity) {
    capacity = requireNonNull(newCapacity, "newCapacity");
  }

  /** Returns what the VM has. */
  public Sizes capacity() {
    return capacity;
  }

  /** Books room for the run if there is; returns whether the run is booked now. */
  public boolean tryBook(RunKey run, Claim claim) {
    if (claims.containsKey(run)) {
      return true;
    }
    if (!claim.booked().fitsIn(free()) || !hasBestEffortCapacity(claim)) {
      return false;
    }
    book(run, claim);
    return true;
  }

  private boolean hasBestEffortCapacity(Claim claim) {
    long left = free().milliProcessors() - bestEffortMilliProcessors;
    boolean bound = claim.bestEffort() && claim.urgency() != Urgency.STARVED;
    return !bound || left + overcommitMilliProcessors() >= claim.sizes().milliProcessors();
  }

  /** Books room for a run that is there already, whether or not there is room. */
  public void book(RunKey run, Claim claim) {
    requireNonNull(run, "run");
    requireNonNull(claim, "claim");
    release(run);
    claims.put(run, claim);
    total = total.plus(claim.booked());
    bestEffortMilliProcessors += claim.bestEffortMilliProcessors();
  }

  /** Frees what the run had. */
  public void release(RunKey run) {
    Claim claim = claims.remove(run);
    if (claim != null) {
      total = total.minus(claim.booked());
      bestEffortMilliProcessors -= claim.bestEffortMilliProcessors();
    }
  }

  /** Returns what the runs that fill declared, in thousandths of a processor. */
  public long bestEffortMilliProcessors() {
    return bestEffortMilliProcessors;
  }

  /** Returns what such runs may declare beyond what is left, in thousandths of a processor. */
  public long overcommitMilliProcessors() {
    return overcommit.milliProcessors(total.milliProcessors());
  }

  /** Returns what is not booked. */
  public Sizes free() {
    return capacity.minus(total);
  }
}
