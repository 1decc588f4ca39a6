package io.marigoldsail.colocation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleBiFunction;

/**
 * Divides the headroom of the services of one VM among the best-effort images beside them.
 *
 * <p>Answers a VM on which best-effort tasks of several images run beside services, and some of the
 * services come near their targets: only the images that cost these services headroom are slowed
 * down, each by the same factor, and the others work on at full speed.
 *
 * <p>Stateless.
 */
final class HeadroomAllocator {
  /** Effect that an image is assumed to have at least on a service over its target. */
  static final double MIN_EFFECT_WHEN_OVER = 0.5;

  /** An image that takes less headroom than this from a service is not slowed down for it. */
  private static final double NEGLIGIBLE = 0.02;

  /** Speeds below this fraction are rounded down to zero. */
  private static final double MIN_SPEED = 0.04;

  private static final int ROUNDS = 3;

  /**
   * A service of the VM.
   *
   * @param image its image
   * @param spare the headroom that best-effort work may take from it; negative for none
   * @param over whether it has been over its target for more than one reading
   */
  record Service(String image, double spare, boolean over) {}

  private HeadroomAllocator() {}

  /**
   * Returns the share of full speed of each image, from 0 to 1.
   *
   * @param services the services of the VM
   * @param demand the work of each image at full speed, as a fraction of the VM's processors
   * @param effect the effect of a best-effort image on a service image
   */
  static Map<String, Double> speeds(
      List<Service> services,
      Map<String, Double> demand,
      ToDoubleBiFunction<String, String> effect) {
    Map<String, Double> speeds = new HashMap<>();
    demand.keySet().forEach(image -> speeds.put(image, 1.0));
    for (int round = 0; round < ROUNDS; round++) {
      for (Service service : services) {
        limitFor(service, demand, effect, speeds);
      }
    }
    speeds.replaceAll((image, speed) -> speed < MIN_SPEED ? 0 : speed);
    return speeds;
  }

  private static void limitFor(
      Service service,
      Map<String, Double> demand,
      ToDoubleBiFunction<String, String> effect,
      Map<String, Double> speeds) {
    Map<String, Double> taken = new HashMap<>();
    double total = 0;
    for (Map.Entry<String, Double> each : demand.entrySet()) {
      double least = service.over() ? MIN_EFFECT_WHEN_OVER : 0;
      double full =
          Math.max(least, effect.applyAsDouble(each.getKey(), service.image())) * each.getValue();
      if (full > NEGLIGIBLE) {
        double now = full * speeds.get(each.getKey());
        taken.put(each.getKey(), now);
        total += now;
      }
    }
    double spare = Math.max(0, service.spare());
    if (total <= spare) {
      return;
    }
    double factor = spare / total;
    taken.keySet().forEach(image -> speeds.computeIfPresent(image, (key, speed) -> speed * factor));
  }
}
