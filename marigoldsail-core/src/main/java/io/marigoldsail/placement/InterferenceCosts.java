package io.marigoldsail.placement;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;

/**
 * Placement costs of co-located tasks, from the interference that {@link Interference} has learned.
 *
 * <p>Not thread-safe. Costs a few look-ups for each VM.
 */
public final class InterferenceCosts implements PlacementCosts {
  /**
   * Cost per unit of slowdown: a neighbour that doubles the run time of either costs as much as one
   * and a half full VMs.
   */
  private static final double SLOWDOWN_COST = 1.5;

  /** Tasks that slow the service down by less are placed without regard to it. */
  private static final double MIN_SLOWDOWN = 0.08;

  /** Maximum slowdown of the service of one VM, unless by a single task. */
  private static final double MAX_TOTAL_SLOWDOWN = 0.2;

  private final Interference interference;
  private final Map<String, Map<String, Double>> mutualByProgram = new HashMap<>();
  private Map<String, Double> mutual = Map.of();
  private Map<String, Double> service = Map.of();

  /** Creates costs based on the given interference estimates. */
  public InterferenceCosts(Interference interference) {
    this.interference = requireNonNull(interference, "interference");
  }

  @Override
  public void beginRound() {
    mutualByProgram.clear();
    service = interference.costsTo(Interference.SERVICE);
  }

  @Override
  public void prepare(PlacementRequest request) {
    mutual = mutualByProgram.computeIfAbsent(request.spec().program(), interference::mutualCosts);
  }

  /**
   * Tasks that slow services down wait for a VM whose service is not slowed down yet. Otherwise
   * they would be throttled there to a fraction of their speed and hold capacity that other tasks
   * could use; a wave of such tasks reached 38% of the baseline throughput that way.
   */
  @Override
  public boolean isTolerable(PlacementRequest request, CandidateVm candidate) {
    double added = service.getOrDefault(request.spec().program(), 0.0);
    if (added < MIN_SLOWDOWN) {
      return true;
    }
    double total = 0;
    for (Map.Entry<String, Double> slowdown : service.entrySet()) {
      Integer count = candidate.programs().get(slowdown.getKey());
      total += count == null ? 0 : slowdown.getValue() * count;
    }
    return total < MIN_SLOWDOWN || total + added <= MAX_TOTAL_SLOWDOWN;
  }

  @Override
  public double cost(PlacementRequest request, CandidateVm candidate) {
    if (mutual.isEmpty()) {
      return 0;
    }
    double excess = 0;
    for (Map.Entry<String, Double> neighbour : mutual.entrySet()) {
      Integer count = candidate.programs().get(neighbour.getKey());
      if (count != null) {
        excess += neighbour.getValue() * count;
      }
    }
    return SLOWDOWN_COST * excess;
  }
}
