package io.marigoldsail.daemon.workflow;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.marigoldsail.protocol.OwnerMap;
import io.marigoldsail.protocol.PartitionOwner;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Encodes and decodes the owners of partitions.
 *
 * <p>All entries send each change to all side processes, also in the first seconds of a process,
 * when its code is still slow. So maps name each member once; side processes of older versions
 * receive the name for each partition. Stateless.
 */
final class OwnerMapCodec {
  private OwnerMapCodec() {}

  /** Returns a map that names the owner of each partition. */
  static OwnerMap encode(Map<Integer, String> owners, long generation) {
    OwnerMap.Builder map = header(owners, generation);
    owners.forEach(
        (partition, member) ->
            map.addOwners(PartitionOwner.newBuilder().setPartition(partition).setMember(member)));
    return map.build();
  }

  /** Returns a map that names each member once. */
  static OwnerMap encodeWithMemberList(Map<Integer, String> owners, long generation) {
    OwnerMap.Builder map = header(owners, generation);
    Map<String, Integer> positions = new LinkedHashMap<>();
    int partitions = owners.keySet().stream().mapToInt(partition -> partition + 1).max().orElse(0);
    for (int partition = 0; partition < partitions; partition++) {
      String member = owners.get(partition);
      if (member == null) {
        map.addOwnerPositions(0);
        continue;
      }
      Integer position = positions.putIfAbsent(member, positions.size() + 1);
      map.addOwnerPositions(position == null ? positions.size() : position);
    }
    return map.addAllMembers(positions.keySet()).build();
  }

  /** Sets a digest that no side process of an older version takes for that of its own map. */
  private static OwnerMap.Builder header(Map<Integer, String> owners, long generation) {
    return OwnerMap.newBuilder().setGeneration(generation).setDigest(~legacyDigest(owners));
  }

  /** Returns the digest that processes of versions without fingerprints compute for the owners. */
  static int legacyDigest(Map<Integer, String> owners) {
    return owners.hashCode();
  }

  /**
   * Returns a hash of the owners; equal for equal owners in all processes, and different for
   * different ones but for a chance of 2^-64.
   *
   * <p>Unlike {@link Map#hashCode}, which adds up the entries: there the owners of two partitions
   * can often be exchanged without a change of the sum.
   */
  static long fingerprint(Map<Integer, String> owners) {
    Hasher hasher = Hashing.murmur3_128().newHasher();
    ImmutableSortedMap.copyOf(owners)
        .forEach(
            (partition, member) ->
                hasher.putInt(partition).putInt(member.length()).putUnencodedChars(member));
    return hasher.hash().asLong();
  }

  /** Returns whether the map names no owner. */
  static boolean isEmpty(OwnerMap map) {
    return map.getOwnersCount() == 0 && map.getMembersCount() == 0;
  }

  /** Returns the owner of each partition that has one; positions of unknown members are ignored. */
  static ImmutableMap<Integer, String> decode(OwnerMap map) {
    ImmutableMap.Builder<Integer, String> owners = ImmutableMap.builder();
    for (PartitionOwner owner : map.getOwnersList()) {
      owners.put(owner.getPartition(), owner.getMember());
    }
    List<String> members = map.getMembersList();
    for (int partition = 0; partition < map.getOwnerPositionsCount(); partition++) {
      int position = map.getOwnerPositions(partition);
      if (position > 0 && position <= members.size()) {
        owners.put(partition, members.get(position - 1));
      }
    }
    return owners.buildKeepingLast();
  }
}
