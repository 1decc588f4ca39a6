package io.marigoldsail.placement;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;

/**
 * The costs of running beside neighbours, from what {@link Interference} has learned.
 *
 * <p>Not safe for use by several threads. Costs a few look-ups for each VM.
 */
public final class InterferenceCosts implements PlacementCosts {
  /** A neighbour that doubles the run time of either costs as much as one and a half full VMs. */
  private static final double SLOWDOWN_COST = 1.5;

  /** Tasks that slow the service by less are placed without regard to it. */
  private static final double MIN_SLOWDOWN = 0.08;

  /** The service of one VM is slowed by at most so much, unless by a single task. */
  private static final double MAX_TOTAL_SLOWDOWN = 0.2;

  private final Interference interference;
  private final Map<String, Map<String, Double>> mutualByProgram = new HashMap<>();
  private Map<String, Double> mutual = Map.of();
  private Map<String, Double> service = Map.of();

  /** Creates costs that follow what the table learns. */
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
   * Noisy tasks wait for a VM whose service is not slowed already. Placed all the same, they would
   * be throttled there to a fraction and hold room that calm tasks could use (a trial of a noisy
   * wave that way came to 38% of the baseline's throughput).
   */
  @Override
  public boolean isTolerable(PlacementRequest request, CandidateVm room) {
    double own = service.getOrDefault(request.spec().program(), 0.0);
    if (own < MIN_SLOWDOWN) {
      return true;
    }
    double there = 0;
    for (Map.Entry<String, Double> noise : service.entrySet()) {
      Integer count = room.programs().get(noise.getKey());
      there += count == null ? 0 : noise.getValue() * count;
    }
    return there < MIN_SLOWDOWN || there + own <= MAX_TOTAL_SLOWDOWN;
  }

  @Override
  public double cost(PlacementRequest request, CandidateVm room) {
    if (mutual.isEmpty()) {
      return 0;
    }
    double excess = 0;
    for (Map.Entry<String, Double> neighbour : mutual.entrySet()) {
      Integer count = room.programs().get(neighbour.getKey());
      if (count != null) {
        excess += neighbour.getValue() * count;
      }
    }
    return SLOWDOWN_COST * excess;
  }
}
