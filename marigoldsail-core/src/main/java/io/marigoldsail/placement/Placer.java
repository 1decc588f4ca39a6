package io.marigoldsail.placement;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.job.Spread;
import java.util.Locale;
import java.util.random.RandomGenerator;

/**
 * Chooses the VM for one task: it must fit, should be away from its job's other tasks, from VMs
 * where it failed, and from load.
 *
 * <p>Looks at every VM once, so the cost is linear in the fleet. Not safe for use by several
 * threads.
 */
public final class Placer {
  /** A VM where the task failed costs as much as three times a whole VM's load. */
  private static final double FAILED_HERE = 3;

  /** Each of the job's tasks in the same rack or zone costs as much as a quarter of a VM's load. */
  private static final double SAME_GROUP = 0.25;

  /** An accelerator held back from tasks that need one costs as much as a whole VM's load. */
  private static final double WASTED_ACCELERATORS = 1;

  /** Keeps entries that decide at once on one view from all choosing the same VM. */
  private static final double JITTER = 0.02;

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

  /** Returns where the task should run, without noting it in the fleet. */
  public PlacementDecision place(PlacementRequest request, Fleet fleet) {
    VmRoom best = null;
    double bestCost = Double.POSITIVE_INFINITY;
    for (VmRoom room : fleet.rooms()) {
      if (!request.sizes().fitsIn(room.free())) {
        continue;
      }
      double cost = cost(request, room);
      if (cost < bestCost) {
        best = room;
        bestCost = cost;
      }
    }
    if (best == null) {
      return new PlacementDecision.NoRoom(whyNone(request, fleet));
    }
    String why =
        String.format(Locale.ROOT, "cheapest of %d VMs, cost %.2f", fleet.rooms().size(), bestCost);
    return new PlacementDecision.Chosen(best, why);
  }

  private double cost(PlacementRequest request, VmRoom room) {
    double cost = room.loadWith(request.sizes()) + JITTER * random.nextDouble();
    Spread spread = request.spec().spread();
    if (spread != Spread.NONE) {
      String group = spread.groupOf(room.state().description());
      cost += SAME_GROUP * request.inGroup().getOrDefault(group, 0);
    }
    if (request.task().failedVms().contains(room.vm())) {
      cost += FAILED_HERE;
    }
    if (request.sizes().accelerators() == 0
        && room.state().description().capacity().accelerators() > 0) {
      cost += WASTED_ACCELERATORS;
    }
    return cost + costs.cost(request, room);
  }

  private static String whyNone(PlacementRequest request, Fleet fleet) {
    if (fleet.rooms().isEmpty()) {
      return "no VM may be given tasks now";
    }
    return "no VM of %d has room for %s".formatted(fleet.rooms().size(), request.sizes());
  }
}
