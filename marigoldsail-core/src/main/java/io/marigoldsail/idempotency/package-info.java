/**
 * Idempotency keys: each key takes effect once, whichever entries receive its requests.
 *
 * <p>The keys of a service are split into a fixed number of shards. A shard's owner is a side
 * process that holds it by a claim in the log. {@link io.marigoldsail.idempotency.KeyShardTable}
 * finds the owner of a key, {@link io.marigoldsail.idempotency.ShardLeases} tracks whether this
 * process is the owner, and {@link io.marigoldsail.idempotency.IdempotencyKeyStore} runs each key
 * once.
 */
package io.marigoldsail.idempotency;
