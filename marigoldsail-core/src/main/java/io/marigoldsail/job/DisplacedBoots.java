package io.marigoldsail.job;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Boots of VMs that a later boot under the same name has displaced.
 *
 * <p>Guards against a late or doubled record of an old boot's joining, and against an old machine
 * that lives on under a name given to a new one: each would revoke the new boot, whose tasks would
 * lose their leases, and the two could go on displacing each other. A worker never goes back to an
 * earlier boot, so what was displaced stays out. Bounded; the oldest are forgotten.
 */
final class DisplacedBoots {
  private static final int MAX_BOOTS = 16;
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
    if (ofVm.size() > MAX_BOOTS) {
      ofVm.removeFirst();
    }
  }

  /** Returns all, in the order in which VMs were first displaced. */
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
