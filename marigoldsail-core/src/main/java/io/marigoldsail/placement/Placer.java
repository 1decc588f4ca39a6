package io.marigoldsail.placement;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.job.Sizes;
import io.marigoldsail.job.Spread;
import java.util.Locale;
import java.util.random.RandomGenerator;

/**
 * Chooses the VM for one task: it must fit, must not have failed there as long as another VM could
 * hold it, and should be away from its job's other tasks, from bad neighbours and from load.
 *
 * <p>Looks at every VM once, so the cost is linear in the fleet. Not safe for use by several
 * threads.
 */
public final class Placer {
  /** Each of the job's tasks in the same rack or zone costs as much as a quarter of a VM's load. */
  private static final double SAME_GROUP_COST = 0.25;

  /** An accelerator held back from tasks that need one costs as much as a whole VM's load. */
  private static final double ACCELERATOR_WASTE_COST = 1;

  /** Keeps entries that decide at once on one view from all choosing the same VM. */
  private static final double JITTER = 0.02;

  private static final long MIXER = 0x9E3779B97F4A7C15L;
  private static final int HASH_SHIFT = 40;
  private static final double HASH_RANGE = 1 << 24;

  private final RandomGenerator random;
  private final PlacementCosts costs;

  /**
   * Creates a placer.
   *
   * @param costs what is known of VMs beside their room
   * @param random breaks ties
   */
  public Placer(PlacementCosts costs, RandomGenerator random) {
    this.costs = requireNonNull(costs, "costs");
    this.random = requireNonNull(random, "random");
  }

  /** Begins a round of placements into one fleet. */
  public void beginRound() {
    costs.beginRound();
  }

  /** Returns where the task should run, without noting it in the fleet. */
  public PlacementDecision place(PlacementRequest request, Fleet fleet) {
    costs.prepare(request);
    CandidateVm best = null;
    double bestCost = Double.POSITIVE_INFINITY;
    long salt = random.nextLong();
    boolean elsewhere = fitsOnOtherVm(request, fleet);
    for (CandidateVm room : fleet.candidates()) {
      boolean avoided = elsewhere && hasFailedOn(request, room);
      if (avoided || !request.sizes().fitsIn(room.freeFor(request.task().name()))) {
        continue;
      }
      if (!request.spec().urgent() && !isAllowed(request, room, fleet)) {
        continue;
      }
      double cost = cost(request, room) + jitter(room, salt);
      if (cost < bestCost) {
        best = room;
        bestCost = cost;
      }
    }
    if (best == null) {
      return new PlacementDecision.NoCapacity(rejectionReason(request, fleet));
    }
    String why =
        String.format(
            Locale.ROOT, "cheapest of %d VMs, cost %.2f", fleet.candidates().size(), bestCost);
    return new PlacementDecision.Chosen(best, why);
  }

  /**
   * Returns whether some VM on which the task has not failed is large enough, full or not. A worker
   * that fails all it is given is always empty; were its VM merely dearer, tasks would go back to
   * it whenever the others are full, and use up their attempts there.
   */
  private static boolean fitsOnOtherVm(PlacementRequest request, Fleet fleet) {
    if (request.task().failedVms().isEmpty()) {
      return true;
    }
    for (CandidateVm room : fleet.candidates()) {
      Sizes capacity = room.state().description().capacity();
      if (!hasFailedOn(request, room) && request.sizes().fitsIn(capacity)) {
        return true;
      }
    }
    return false;
  }

  private boolean isAllowed(PlacementRequest request, CandidateVm room, Fleet fleet) {
    return fleet.leavesReserve(room, request.sizes()) && costs.isTolerable(request, room);
  }

  private static boolean hasFailedOn(PlacementRequest request, CandidateVm room) {
    return request.task().failedVms().contains(room.vm());
  }

  /** Returns a small random cost; a hash, because a random number for every VM costs more. */
  private static double jitter(CandidateVm room, long salt) {
    long mixed = (room.state().registration() ^ salt) * MIXER;
    return JITTER * (mixed >>> HASH_SHIFT) / HASH_RANGE;
  }

  private double cost(PlacementRequest request, CandidateVm room) {
    double cost = room.utilizationWith(request.sizes());
    Spread spread = request.spec().spread();
    if (spread != Spread.NONE) {
      String group = spread.groupOf(room.state().description());
      cost += SAME_GROUP_COST * request.inGroup().getOrDefault(group, 0);
    }
    if (request.sizes().accelerators() == 0
        && room.state().description().capacity().accelerators() > 0) {
      cost += ACCELERATOR_WASTE_COST;
    }
    return cost + costs.cost(request, room);
  }

  private static String rejectionReason(PlacementRequest request, Fleet fleet) {
    if (fleet.candidates().isEmpty()) {
      return "no VM may be given tasks now";
    }
    return "no VM of %d has room for %s that is not kept for urgent work or for a quiet service"
        .formatted(fleet.candidates().size(), request.sizes());
  }
}
