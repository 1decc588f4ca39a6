package io.marigoldsail.workflow;

import static java.util.Objects.requireNonNull;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;

/**
 * Sums evidence on the interference of images over all VMs of a fleet, and over all VMs but one.
 *
 * <p>Each VM reports its evidence every second and receives that of the others. Adding all of it up for each VM would take time quadratic in the number of VMs; here an update takes time linear in the number of images.
 *
 * <p>Confined to one thread. Rejects nulls.
 */
public final class ImageSums {
  /** Weights up to this are rounding errors, too small to affect a belief. */
  private static final double NOTHING_WEIGHT = 1e-6;

  private final Map<String, Map<String, ImageHarm.Seen>> byVm = new HashMap<>();
  private final Map<String, ImageHarm.Seen> sum = new HashMap<>();

  /** Replaces the evidence of a VM. */
  public void saw(String vm, Map<String, ImageHarm.Seen> evidence) {
    Map<String, ImageHarm.Seen> before = byVm.put(requireNonNull(vm, "vm"), Map.copyOf(evidence));
    if (before != null) {
      takeOut(before, sum);
    }
    evidence.forEach(
        (image, each) -> {
          if (each.weight() > NOTHING_WEIGHT) {
            sum.merge(image, each, ImageHarm.Seen::plus);
          }
        });
  }

  /** Subtracts a part from sums and drops images whose remaining weight is negligible. */
  private static void takeOut(Map<String, ImageHarm.Seen> part, Map<String, ImageHarm.Seen> from) {
    part.forEach(
        (image, each) ->
            from.computeIfPresent(
                image,
                (key, total) -> {
                  ImageHarm.Seen remaining = total.minus(each);
                  return remaining.weight() > NOTHING_WEIGHT ? remaining : null;
                }));
  }

  /** Returns the evidence of all VMs, as a live view. */
  public Map<String, ImageHarm.Seen> all() {
    return Collections.unmodifiableMap(sum);
  }

  /** Returns the evidence of all VMs but the given one, as a copy. */
  public Map<String, ImageHarm.Seen> elsewhere(String vm) {
    Map<String, ImageHarm.Seen> others = new HashMap<>(sum);
    takeOut(byVm.getOrDefault(vm, Map.of()), others);
    return others;
  }
}
