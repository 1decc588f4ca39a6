package io.marigoldsail.idempotency;

import io.marigoldsail.dispatch.TargetState;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Proposes homes for shards that have none.
 *
 * <p>By highest random weight: every entry proposes the same VM as long as they see the same
 * targets, and a lost VM's shards spread over all others. Where entries see different targets their
 * proposals differ and the log decides. Shards stay where they are when targets come.
 */
public final class ShardAssignment {
  private ShardAssignment() {}

  /**
   * Returns the shards of the service that lack a home, by the target that should claim them.
   *
   * @param service the service
   * @param held the shards that have homes
   * @param targets the targets that can be reached; leaving ones and those of other services are
   *     passed over
   */
  public static Map<String, List<Integer>> proposeClaims(
      String service, Collection<Integer> held, Collection<TargetState> targets) {
    List<String> vms =
        targets.stream()
            .filter(target -> target.service().equals(service) && !target.draining())
            .map(TargetState::vm)
            .toList();
    Map<String, List<Integer>> claims = new TreeMap<>();
    if (vms.isEmpty()) {
      return claims;
    }
    for (int shard = 0; shard < KeyShards.COUNT; shard++) {
      if (!held.contains(shard)) {
        String vm = highestWeighted(vms, service, shard);
        claims.computeIfAbsent(vm, name -> new ArrayList<>()).add(shard);
      }
    }
    return claims;
  }

  /**
   * Returns which target is to have a shard that its home gives away, or empty where there is none.
   *
   * @param service the service
   * @param shard the shard
   * @param from the VM of its home
   * @param targets the targets that can be reached
   */
  public static Optional<TargetState> successor(
      String service, int shard, String from, Collection<TargetState> targets) {
    return targets.stream()
        .filter(target -> target.service().equals(service) && !target.draining())
        .filter(target -> !target.vm().equals(from))
        .max(Comparator.comparingLong(target -> KeyShards.weight(target.vm(), service, shard)));
  }

  /**
   * Returns whether an entry may revoke homes for their silence.
   *
   * <p>An entry that was just started, or is itself cut off, hears hardly anybody. Without this it
   * would revoke all homes, healthy as they are, and every key would be refused for the quiet time.
   *
   * @param missing how many homes it does not hear
   * @param heard how many VMs it hears
   */
  public static boolean mayRevoke(int missing, int heard) {
    return heard >= missing;
  }

  private static String highestWeighted(List<String> vms, String service, int shard) {
    String best = vms.get(0);
    for (String vm : vms) {
      if (KeyShards.weight(vm, service, shard) > KeyShards.weight(best, service, shard)) {
        best = vm;
      }
    }
    return best;
  }
}
