package io.marigoldsail.job;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Boots of VMs that a later boot under the same name has displaced; they may not join again.
 *
 * <p>Without this check, a late or duplicate join record of an old boot, or an old machine that
 * still runs under a name given to a new one, would revoke the new boot. The tasks of the new boot
 * would lose their leases, and the two boots could displace each other repeatedly. A worker never
 * returns to an earlier boot, so a displaced boot is rejected for good.
 *
 * <p>Bounded: the oldest boots of a VM, and the VMs displaced first, are evicted. Not thread-safe.
 */
final class DisplacedBoots {
  private static final int MAX_BOOTS_PER_VM = 16;
  private static final int MAX_VMS = 4_096;

  private final Map<String, ArrayDeque<Long>> boots =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, ArrayDeque<Long>> eldest) {
          return size() > MAX_VMS;
        }
      };

  boolean contains(String vm, long boot) {
    ArrayDeque<Long> ofVm = boots.get(vm);
    return ofVm != null && ofVm.contains(boot);
  }

  void add(String vm, long boot) {
    if (contains(vm, boot)) {
      return;
    }
    ArrayDeque<Long> ofVm = boots.computeIfAbsent(vm, unused -> new ArrayDeque<>());
    ofVm.addLast(boot);
    if (ofVm.size() > MAX_BOOTS_PER_VM) {
      ofVm.removeFirst();
    }
  }

  /** Returns a copy of all boots by VM, in the order in which the VMs were first displaced. */
  Map<String, List<Long>> byVm() {
    Map<String, List<Long>> copy = new LinkedHashMap<>();
    boots.forEach((vm, ofVm) -> copy.put(vm, new ArrayList<>(ofVm)));
    return copy;
  }

  void replace(Map<String, List<Long>> all) {
    boots.clear();
    all.forEach((vm, ofVm) -> ofVm.forEach(boot -> add(vm, boot)));
  }
}
