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
 * Proposes owners for shards without one.
 *
 * <p>Uses highest random weight (rendezvous) hashing: entries with the same targets propose the
 * same VM, and the shards of a lost VM spread over all others. Proposals of entries with different
 * targets may differ; the log decides between them. Shards are not moved when targets are added.
 */
public final class ShardAssignment {
  private ShardAssignment() {}

  /**
   * Returns the shards of the service without an owner, grouped by the VM that should claim them.
   *
   * @param service name of the service
   * @param owned shards that have an owner
   * @param targets the reachable targets; draining ones and those of other services are ignored
   */
  public static Map<String, List<Integer>> proposeClaims(
      String service, Collection<Integer> owned, Collection<TargetState> targets) {
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
      if (!owned.contains(shard)) {
        String vm = highestWeighted(vms, service, shard);
        claims.computeIfAbsent(vm, name -> new ArrayList<>()).add(shard);
      }
    }
    return claims;
  }

  /**
   * Returns the target that takes over a shard which its owner hands over, or empty if there is
   * none.
   *
   * @param service name of the service
   * @param shard number of the shard
   * @param from VM of the current owner
   * @param targets the reachable targets
   */
  public static Optional<TargetState> successor(
      String service, int shard, String from, Collection<TargetState> targets) {
    return targets.stream()
        .filter(target -> target.service().equals(service) && !target.draining())
        .filter(target -> !target.vm().equals(from))
        .max(Comparator.comparingLong(target -> KeyShards.weight(target.vm(), service, shard)));
  }

  /**
   * Returns whether an entry may revoke owners that it cannot reach.
   *
   * <p>An entry that has just started, or is itself cut off from the network, reaches hardly any
   * VM. Without this check it would revoke all healthy owners, and all keys would be refused for
   * the takeover delay.
   *
   * @param unreachable number of owners that the entry cannot reach
   * @param reachable number of VMs that it can reach
   */
  public static boolean mayRevoke(int unreachable, int reachable) {
    return reachable >= unreachable;
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
