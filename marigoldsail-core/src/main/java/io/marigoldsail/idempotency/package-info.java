/**
 * One effect for each idempotency key, whichever entries a caller asks through.
 *
 * <p>The keys of a service are cut into a fixed number of shards. A shard's home is a side process
 * that holds it by a claim in the log. Reach for {@link io.marigoldsail.idempotency.KeyShardTable}
 * to find a key's home, for {@link io.marigoldsail.idempotency.ShardLeases} to know whether this
 * process is it, and for {@link io.marigoldsail.idempotency.IdempotencyKeyStore} to run each key
 * once.
 */
package io.marigoldsail.idempotency;
