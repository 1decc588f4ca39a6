package io.marigoldsail.idempotency;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.log.Position;

/**
 * The owner of a shard. Immutable; rejects nulls.
 *
 * @param vm VM of the side process
 * @param incarnation incarnation of the side process
 * @param claim position of the claim in the log; a later claim has a higher position
 * @param servesFrom time from which the owner may run keys of the shard, in nanoseconds of this
 *     process's monotonic clock; in the past if no takeover delay applies
 */
public record ShardOwner(String vm, long incarnation, Position claim, long servesFrom) {
  /** Checks the components. */
  public ShardOwner {
    requireNonNull(vm, "vm");
    requireNonNull(claim, "claim");
  }
}
