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
public final class ImageEvidenceAggregator {
  /** Rounding leaves no more than this, and a belief does not feel what weighs as little. */
  private static final double NEGLIGIBLE_WEIGHT = 1e-6;

  private final Map<String, Map<String, ImageInterference.Evidence>> byVm = new HashMap<>();
  private final Map<String, ImageInterference.Evidence> total = new HashMap<>();

  /** Replaces what a VM saw. */
  public void update(String vm, Map<String, ImageInterference.Evidence> seen) {
    Map<String, ImageInterference.Evidence> before =
        byVm.put(requireNonNull(vm, "vm"), Map.copyOf(seen));
    if (before != null) {
      subtract(before, total);
    }
    seen.forEach(
        (image, what) -> {
          if (what.weight() > NEGLIGIBLE_WEIGHT) {
            total.merge(image, what, ImageInterference.Evidence::plus);
          }
        });
  }

  /** Takes a part out of sums; what is left of an image that was seen nowhere else is dropped. */
  private static void subtract(
      Map<String, ImageInterference.Evidence> part, Map<String, ImageInterference.Evidence> from) {
    part.forEach(
        (image, what) ->
            from.computeIfPresent(
                image,
                (key, all) -> {
                  ImageInterference.Evidence left = all.minus(what);
                  return left.weight() > NEGLIGIBLE_WEIGHT ? left : null;
                }));
  }

  /** Returns what all VMs saw; a view that later words change. */
  public Map<String, ImageInterference.Evidence> total() {
    return Collections.unmodifiableMap(total);
  }

  /** Returns what all VMs but the one saw, as it is now. */
  public Map<String, ImageInterference.Evidence> totalExcluding(String vm) {
    Map<String, ImageInterference.Evidence> others = new HashMap<>(total);
    subtract(byVm.getOrDefault(vm, Map.of()), others);
    return others;
  }
}
