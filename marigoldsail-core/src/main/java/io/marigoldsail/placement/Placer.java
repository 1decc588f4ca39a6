package io.marigoldsail.placement;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.job.Sizes;
import io.marigoldsail.job.Spread;
import java.util.Locale;
import java.util.random.RandomGenerator;

/**
 * Chooses the VM for one task: one with enough capacity on which the task has not failed, as long
 * as another VM could hold it, preferably away from the job's other tasks, from interfering tasks
 * and from load.
 *
 * <p>Examines every VM once, so the cost is linear in the size of the fleet. Not thread-safe.
 */
public final class Placer {
  /** Cost of each of the job's tasks in the same rack or zone, in loads of a whole VM. */
  private static final double SAME_GROUP_COST = 0.25;

  /**
   * Cost of placing a task that needs no accelerators on a VM that has some, in loads of a whole
   * VM: it may keep out a task that needs them.
   */
  private static final double ACCELERATOR_WASTE_COST = 1;

  /** Keeps entries that decide at once on the same view from all choosing the same VM. */
  private static final double JITTER = 0.02;

  private static final long MIXER = 0x9E3779B97F4A7C15L;
  private static final int HASH_SHIFT = 40;
  private static final double HASH_RANGE = 1 << 24;

  private final RandomGenerator random;
  private final PlacementCosts costs;

  /**
   * Creates a placer.
   *
   * @param costs further costs of VMs, in addition to their load
   * @param random breaks ties
   */
  public Placer(PlacementCosts costs, RandomGenerator random) {
    this.costs = requireNonNull(costs, "costs");
    this.random = requireNonNull(random, "random");
  }

  /** Begins a round of placements in one fleet. */
  public void beginRound() {
    costs.beginRound();
  }

  /** Returns where the task should run, without allocating it in the fleet. */
  public PlacementDecision place(PlacementRequest request, Fleet fleet) {
    costs.prepare(request);
    CandidateVm best = null;
    double bestCost = Double.POSITIVE_INFINITY;
    long salt = random.nextLong();
    boolean fitsElsewhere = fitsOnOtherVm(request, fleet);
    for (CandidateVm candidate : fleet.candidates()) {
      boolean excluded = fitsElsewhere && hasFailedOn(request, candidate);
      if (excluded || !request.sizes().fitsIn(candidate.freeFor(request.task().name()))) {
        continue;
      }
      if (!request.spec().urgent() && !isAllowed(request, candidate, fleet)) {
        continue;
      }
      double cost = cost(request, candidate) + jitter(candidate, salt);
      if (cost < bestCost) {
        best = candidate;
        bestCost = cost;
      }
    }
    if (best == null) {
      return new PlacementDecision.NoCapacity(rejectionReason(request, fleet));
    }
    String why =
        String.format(
            Locale.ROOT, "lowest cost of %d VMs: %.2f", fleet.candidates().size(), bestCost);
    return new PlacementDecision.Chosen(best, why);
  }

  /**
   * Returns whether some VM on which the task has not failed is large enough, full or not.
   *
   * <p>A worker that fails everything is always empty. If its VM only had a higher cost, tasks
   * would return to it whenever the others are full, and use up their attempts there.
   */
  private static boolean fitsOnOtherVm(PlacementRequest request, Fleet fleet) {
    if (request.task().failedVms().isEmpty()) {
      return true;
    }
    for (CandidateVm candidate : fleet.candidates()) {
      Sizes capacity = candidate.state().description().capacity();
      if (!hasFailedOn(request, candidate) && request.sizes().fitsIn(capacity)) {
        return true;
      }
    }
    return false;
  }

  private boolean isAllowed(PlacementRequest request, CandidateVm candidate, Fleet fleet) {
    return fleet.leavesReserve(candidate, request.sizes()) && costs.isTolerable(request, candidate);
  }

  private static boolean hasFailedOn(PlacementRequest request, CandidateVm candidate) {
    return request.task().failedVms().contains(candidate.vm());
  }

  /**
   * Returns a small pseudorandom cost, computed by a hash because a random number for every VM
   * costs more.
   */
  private static double jitter(CandidateVm candidate, long salt) {
    long mixed = (candidate.state().registration() ^ salt) * MIXER;
    return JITTER * (mixed >>> HASH_SHIFT) / HASH_RANGE;
  }

  private double cost(PlacementRequest request, CandidateVm candidate) {
    double cost = candidate.utilizationWith(request.sizes());
    Spread spread = request.spec().spread();
    if (spread != Spread.NONE) {
      String group = spread.groupOf(candidate.state().description());
      cost += SAME_GROUP_COST * request.inGroup().getOrDefault(group, 0);
    }
    if (request.sizes().accelerators() == 0
        && candidate.state().description().capacity().accelerators() > 0) {
      cost += ACCELERATOR_WASTE_COST;
    }
    return cost + costs.cost(request, candidate);
  }

  private static String rejectionReason(PlacementRequest request, Fleet fleet) {
    if (fleet.candidates().isEmpty()) {
      return "no VM accepts tasks now";
    }
    return "none of %d VMs can take %s without using the urgent reserve or slowing its service"
        .formatted(fleet.candidates().size(), request.sizes());
  }
}
