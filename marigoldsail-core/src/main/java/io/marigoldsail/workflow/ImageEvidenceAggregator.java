package io.marigoldsail.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.colocation.RecentEvidence;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Sums evidence on the interference of images over all VMs of a fleet, and over all VMs but one.
 *
 * <p>Each VM reports its evidence every second and receives that of the others. Adding all of it up
 * for each VM would take time quadratic in the number of VMs; here an update takes time linear in
 * the number of images.
 *
 * <p>Beyond a total size, the VMs that reported the longest ago are forgotten.
 *
 * <p>Confined to one thread. Rejects nulls.
 */
public final class ImageEvidenceAggregator {
  /** Weights up to this are rounding errors, too small to affect a belief. */
  private static final double NEGLIGIBLE_WEIGHT = 1e-6;

  /** Maximum of the estimated memory of the evidence of all VMs, in bytes. */
  static final int MAX_BYTES = 8 << 20;

  /** By VM; the one that reported last comes last. */
  private final Map<String, Map<String, ImageInterference.Evidence>> byVm = new LinkedHashMap<>();

  private int bytes;
  private final Map<String, ImageInterference.Evidence> total = new HashMap<>();

  /** Replaces the evidence of a VM. */
  public void update(String vm, Map<String, ImageInterference.Evidence> evidence) {
    remove(requireNonNull(vm, "vm"));
    byVm.put(vm, Map.copyOf(evidence));
    bytes += sizeOf(evidence);
    evidence.forEach(
        (image, each) -> {
          if (each.weight() > NEGLIGIBLE_WEIGHT) {
            total.merge(image, each, ImageInterference.Evidence::plus);
          }
        });
    while (bytes > MAX_BYTES) {
      remove(byVm.keySet().iterator().next());
    }
  }

  private void remove(String vm) {
    Map<String, ImageInterference.Evidence> removed = byVm.remove(vm);
    if (removed != null) {
      bytes -= sizeOf(removed);
      subtract(removed, total);
    }
  }

  private static int sizeOf(Map<String, ImageInterference.Evidence> evidence) {
    return evidence.keySet().stream()
        .mapToInt(image -> RecentEvidence.bytesInMemory(RecentEvidence.bytesOf(image)))
        .sum();
  }

  /** Subtracts a part from sums and drops images whose remaining weight is negligible. */
  private static void subtract(
      Map<String, ImageInterference.Evidence> part, Map<String, ImageInterference.Evidence> from) {
    part.forEach(
        (image, each) ->
            from.computeIfPresent(
                image,
                (key, total) -> {
                  ImageInterference.Evidence remaining = total.minus(each);
                  return remaining.weight() > NEGLIGIBLE_WEIGHT ? remaining : null;
                }));
  }

  /** Returns the evidence of all VMs, as a live view. */
  public Map<String, ImageInterference.Evidence> total() {
    return Collections.unmodifiableMap(total);
  }

  /** Returns the evidence of all VMs but the given one, as a copy. */
  public Map<String, ImageInterference.Evidence> totalExcluding(String vm) {
    Map<String, ImageInterference.Evidence> others = new HashMap<>(total);
    subtract(byVm.getOrDefault(vm, Map.of()), others);
    return others;
  }
}
