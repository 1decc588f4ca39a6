package io.marigoldsail.placement;

import static java.util.Objects.requireNonNull;

import java.util.Map;

/**
 * The costs of running beside neighbours, from what {@link Interference} has learned.
 *
 * <p>Not safe for use by several threads. Costs a few look-ups for each VM.
 */
public final class InterferenceCosts implements PlacementCosts {
  /** A neighbour that doubles the run time of either costs as much as one and a half full VMs. */
  private static final double EXCESS_COST = 1.5;

  private final Interference interference;
  private Map<String, Double> mutual = Map.of();

  /** Creates costs that follow what the table learns. */
  public InterferenceCosts(Interference interference) {
    this.interference = requireNonNull(interference, "interference");
  }

  @Override
  public void prepare(PlacementRequest request) {
    mutual = interference.mutual(request.spec().program());
  }

  @Override
  public double cost(PlacementRequest request, VmRoom room) {
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
    return EXCESS_COST * excess;
  }
}
