package io.marigoldsail.daemon.workflow;

import io.marigoldsail.workflow.ImageHarm;
import java.util.HashMap;
import java.util.Map;

/**
 * What all VMs saw of the harm that images do, added up by an entry.
 *
 * <p>Confined to the loop's thread.
 */
final class FleetImages {
  private final Map<String, Map<String, ImageHarm.Seen>> byVm = new HashMap<>();

  /** Takes what a VM has seen. */
  void reported(String vm, Map<String, ImageHarm.Seen> seen) {
    byVm.put(vm, seen);
  }

  /** Returns what all VMs but one saw, by image; the empty name leaves none out. */
  Map<String, ImageHarm.Seen> allBut(String vm) {
    Map<String, ImageHarm.Seen> sum = new HashMap<>();
    byVm.forEach(
        (name, seen) -> {
          if (!name.equals(vm)) {
            seen.forEach((image, what) -> sum.merge(image, what, ImageHarm.Seen::plus));
          }
        });
    return sum;
  }
}
