package io.marigoldsail.colocation;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableMap;
import java.util.Map;

/**
 * The room for best-effort tasks beside the services of one VM: for each service image the headroom
 * that more work may take from it, predicted for the time of a short run.
 *
 * <p>Immutable but for the effects, which are a live view. Rejects nulls.
 */
public final class ServiceRooms {
  /** Tasks use about this part of the processors that they declare. */
  static final double USED_OF_DECLARED = 0.85;

  /** Headroom that a run may take from any service, also from one that has none to spare. */
  static final double NEGLIGIBLE_LOSS = 0.05;

  private final ImmutableMap<String, Double> rooms;
  private final ImageEffects effects;

  private ServiceRooms(ImmutableMap<String, Double> rooms, ImageEffects effects) {
    this.rooms = rooms;
    this.effects = requireNonNull(effects, "effects");
  }

  /**
   * Returns rooms.
   *
   * @param rooms the headroom to spare, by service image; negative for none
   * @param effects the effects of best-effort images
   */
  public static ServiceRooms of(Map<String, Double> rooms, ImageEffects effects) {
    return new ServiceRooms(ImmutableMap.copyOf(rooms), effects);
  }

  /** Returns the headroom to spare by service image; negative for none. */
  public ImmutableMap<String, Double> asMap() {
    return rooms;
  }

  /** Returns whether services of the image run on the VM. */
  public boolean hosts(String serviceImage) {
    return rooms.containsKey(serviceImage);
  }

  /** Returns whether a task takes headroom that counts from a service here. */
  public boolean isInterfering(String image, double share) {
    for (String service : rooms.keySet()) {
      if (loss(image, share, service) > NEGLIGIBLE_LOSS) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns whether one more task leaves each service the headroom that it needs.
   *
   * @param image the task's image
   * @param share processors that the task declares, as a fraction of the VM's
   */
  public boolean fits(String image, double share) {
    for (Map.Entry<String, Double> room : rooms.entrySet()) {
      if (loss(image, share, room.getKey()) > Math.max(room.getValue(), NEGLIGIBLE_LOSS)) {
        return false;
      }
    }
    return true;
  }

  /** Returns the rooms that are left beside one more task, see {@link #fits}. */
  public ServiceRooms after(String image, double share) {
    ImmutableMap.Builder<String, Double> left = ImmutableMap.builder();
    rooms.forEach((service, room) -> left.put(service, room - loss(image, share, service)));
    return new ServiceRooms(left.buildOrThrow(), effects);
  }

  private double loss(String image, double share, String service) {
    checkArgument(share >= 0, "share is negative: %s", share);
    return effects.effect(image, service) * share * USED_OF_DECLARED;
  }

  /** Returns the rooms for logs. */
  @Override
  public String toString() {
    return rooms.toString();
  }
}
