package io.marigoldsail.idempotency;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** Cuts the keys of a service into shards. */
public final class KeyShards {
  /**
   * How many shards a service's keys are cut into: several for each of eleven targets, so that they
   * spread evenly, and few enough that a claim of them all is one small record.
   */
  public static final int COUNT = 64;

  private KeyShards() {}

  /** Returns the shard of the key, from 0 to {@link #COUNT} - 1; the same in every process. */
  public static int of(String key) {
    return Hashing.murmur3_32_fixed().hashString(key, StandardCharsets.UTF_8).asInt() & (COUNT - 1);
  }

  /** Returns how strongly the VM is drawn to the shard; the strongest is proposed as its home. */
  static long weight(String vm, String service, int shard) {
    String text = vm + '\n' + service + '\n' + shard;
    return Hashing.murmur3_128().hashString(text, StandardCharsets.UTF_8).asLong();
  }
}
