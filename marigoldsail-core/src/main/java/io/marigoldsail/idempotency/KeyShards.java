package io.marigoldsail.idempotency;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** Maps the keys of a service to shards. */
public final class KeyShards {
  /**
   * Number of shards per service: several for each of eleven targets, so that they spread evenly,
   * and few enough that a claim of all of them is one small record.
   */
  public static final int COUNT = 64;

  private KeyShards() {}

  /**
   * Returns the shard of the key, from 0 to {@link #COUNT} - 1. It is the same in every process.
   */
  public static int of(String key) {
    return Hashing.murmur3_32_fixed().hashString(key, StandardCharsets.UTF_8).asInt() & (COUNT - 1);
  }

  /**
   * Returns the rendezvous weight of the VM for the shard; the VM with the highest weight is
   * proposed as owner.
   */
  static long weight(String vm, String service, int shard) {
    String text = vm + '\n' + service + '\n' + shard;
    return Hashing.murmur3_128().hashString(text, StandardCharsets.UTF_8).asLong();
  }
}
