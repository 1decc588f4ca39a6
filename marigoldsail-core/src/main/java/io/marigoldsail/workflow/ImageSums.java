package io.marigoldsail.workflow;

import static java.util.Objects.requireNonNull;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;

/**
 * What all VMs of a fleet saw of images, and what all but one saw.
 *
 * <p>Each VM tells anew every second and is told what the others saw. Added up anew each time, that
 * is work in the square of the number of VMs; here a VM's word costs time in the number of images.
 *
 * <p>Confined to one thread. Rejects nulls.
 */
public final class ImageSums {
  /** Rounding leaves no more than this, and a belief does not feel what weighs as little. */
  private static final double NOTHING_WEIGHT = 1e-6;

  private final Map<String, Map<String, ImageHarm.Seen>> byVm = new HashMap<>();
  private final Map<String, ImageHarm.Seen> sum = new HashMap<>();

  /** Replaces what a VM saw. */
  public void saw(String vm, Map<String, ImageHarm.Seen> seen) {
    Map<String, ImageHarm.Seen> before = byVm.put(requireNonNull(vm, "vm"), Map.copyOf(seen));
    if (before != null) {
      takeOut(before, sum);
    }
    seen.forEach(
        (image, what) -> {
          if (what.weight() > NOTHING_WEIGHT) {
            sum.merge(image, what, ImageHarm.Seen::plus);
          }
        });
  }

  /** Takes a part out of sums; what is left of an image that was seen nowhere else is dropped. */
  private static void takeOut(Map<String, ImageHarm.Seen> part, Map<String, ImageHarm.Seen> from) {
    part.forEach(
        (image, what) ->
            from.computeIfPresent(
                image,
                (key, all) -> {
                  ImageHarm.Seen left = all.minus(what);
                  return left.weight() > NOTHING_WEIGHT ? left : null;
                }));
  }

  /** Returns what all VMs saw; a view that later words change. */
  public Map<String, ImageHarm.Seen> all() {
    return Collections.unmodifiableMap(sum);
  }

  /** Returns what all VMs but the one saw, as it is now. */
  public Map<String, ImageHarm.Seen> elsewhere(String vm) {
    Map<String, ImageHarm.Seen> others = new HashMap<>(sum);
    takeOut(byVm.getOrDefault(vm, Map.of()), others);
    return others;
  }
}
