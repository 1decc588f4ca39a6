package io.marigoldsail.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.job.Sizes;
import java.util.HashMap;
import java.util.Map;

/**
 * Accounts for the resources of one VM and makes the final decision whether a run may start there.
 *
 * <p>Guards against overbooking by several owners that place on the same VM at once, each based on
 * its last report. All their start orders pass through this ledger, so a race costs one of them a
 * refusal. A run is booked from before its order goes to the worker until the worker has listed its
 * end or is gone: a start order without a response may still be carried out, and a run that is
 * being stopped still uses its resources. Best-effort tasks book no processors, so the processors
 * that they declare are summed up here and limited by {@link Overcommit}. Without that limit, three
 * owners that saw the same empty VM of 24 processors placed 24 best-effort tasks on it that
 * declared 43 processors.
 *
 * <p>Confined to one thread. Rejects nulls.
 */
public final class ResourceLedger {
  /**
   * Resource claim of a run.
   *
   * @param sizes the declared resources
   * @param bestEffort whether the run is best-effort: it uses only processors that others leave
   *     idle
   * @param urgency the urgency of the run; the limit on best-effort runs does not apply to {@link
   *     Urgency#STARVED}
   */
  public record Claim(Sizes sizes, boolean bestEffort, Urgency urgency) {
    /** Checks the components. */
    public Claim {
      requireNonNull(sizes, "sizes");
      requireNonNull(urgency, "urgency");
    }

    /** Returns the resources to book; a best-effort run books no processors. */
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

  /** Creates a ledger without bookings. */
  public ResourceLedger(Overcommit overcommit) {
    this.overcommit = requireNonNull(overcommit, "overcommit");
  }

  /** Sets the capacity of the VM. */
  public void capacity(Sizes newCapacity) {
    capacity = requireNonNull(newCapacity, "newCapacity");
  }

  /** Returns the capacity of the VM. */
  public Sizes capacity() {
    return capacity;
  }

  /**
   * Books the run if its resources are free; returns whether it is booked now, also if it was
   * before.
   */
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
    long remaining = free().milliProcessors() - bestEffortMilliProcessors;
    boolean limited = claim.bestEffort() && claim.urgency() != Urgency.STARVED;
    return !limited || remaining + overcommitMilliProcessors() >= claim.sizes().milliProcessors();
  }

  /** Books a run that exists already, even beyond the capacity; replaces its earlier booking. */
  public void book(RunKey run, Claim claim) {
    requireNonNull(run, "run");
    requireNonNull(claim, "claim");
    release(run);
    claims.put(run, claim);
    total = total.plus(claim.booked());
    bestEffortMilliProcessors += claim.bestEffortMilliProcessors();
  }

  /** Releases the booking of the run, if there is one. */
  public void release(RunKey run) {
    Claim claim = claims.remove(run);
    if (claim != null) {
      total = total.minus(claim.booked());
      bestEffortMilliProcessors -= claim.bestEffortMilliProcessors();
    }
  }

  /** Returns the processors that booked best-effort runs declare, in thousandths of a processor. */
  public long bestEffortMilliProcessors() {
    return bestEffortMilliProcessors;
  }

  /**
   * Returns the processors that best-effort runs may declare beyond the unbooked ones, in
   * thousandths of a processor.
   */
  public long overcommitMilliProcessors() {
    return overcommit.milliProcessors(total.milliProcessors());
  }

  /** Returns the resources that are not booked. */
  public Sizes free() {
    return capacity.minus(total);
  }
}
