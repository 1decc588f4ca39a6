package io.marigoldsail.idempotency;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.log.Position;

/**
 * Who holds a shard.
 *
 * @param vm the VM of the side process
 * @param incarnation the side process's incarnation
 * @param claim where the claim stands in the log; a later claim has a later position
 * @param servesFrom until when a predecessor's keys may matter, in nanoseconds of this process's
 *     monotonic clock; long past where there was none
 */
public record ShardOwner(String vm, long incarnation, Position claim, long servesFrom) {
  /** Checks the components. */
  public ShardOwner {
    requireNonNull(vm, "vm");
    requireNonNull(claim, "claim");
  }
}
