package io.marigoldsail.colocation;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.function.BiConsumer;
import java.util.function.ToIntFunction;

/**
 * Evidence by what it is about, up to a total size: beyond it, what was observed the longest ago is
 * forgotten. Names of images are unlimited in number, and in length nearly so.
 *
 * <p>Confined to one thread. Rejects nulls.
 *
 * @param <K> what the evidence is about
 * @param <V> the evidence
 */
public final class RecentEvidence<K, V> {
  /** What evidence takes beside its names, in a message as well as in a record of it, in bytes. */
  private static final int VALUE_BYTES = 32;

  /** Most bytes that one UTF-16 code unit takes in a message. */
  private static final int MAX_CHARACTER_BYTES = 3;

  private final int maxBytes;
  private final ToIntFunction<K> nameBytes;
  private final LinkedHashMap<K, V> evidence = new LinkedHashMap<>();
  private int bytes;

  /**
   * Creates an instance without evidence.
   *
   * @param maxBytes the maximum of the sizes of all evidence together
   * @param nameBytes returns the length of the names in a key, in bytes
   */
  public RecentEvidence(int maxBytes, ToIntFunction<K> nameBytes) {
    checkArgument(maxBytes > 0, "maxBytes is not positive: %s", maxBytes);
    this.maxBytes = maxBytes;
    this.nameBytes = requireNonNull(nameBytes, "nameBytes");
  }

  /** Returns the most bytes that a name takes in a message. */
  public static int bytesOf(String name) {
    return name.chars().map(each -> each < 0x80 ? 1 : MAX_CHARACTER_BYTES).sum();
  }

  /** Returns the estimated size of evidence whose names have the given length, in bytes. */
  public static int bytesWithNames(int nameBytes) {
    return nameBytes + VALUE_BYTES;
  }

  private int size(K key) {
    return bytesWithNames(nameBytes.applyAsInt(key));
  }

  /** Returns the evidence, or the given one if there is none. */
  public V getOrDefault(K key, V none) {
    return evidence.getOrDefault(requireNonNull(key, "key"), none);
  }

  /** Replaces the evidence, which is the most recent one then. */
  public void put(K key, V value) {
    requireNonNull(value, "value");
    if (evidence.remove(requireNonNull(key, "key")) == null) {
      bytes += size(key);
    }
    evidence.put(key, value);
    Iterator<K> eldest = evidence.keySet().iterator();
    while (bytes > maxBytes) {
      bytes -= size(eldest.next());
      eldest.remove();
    }
  }

  /** Passes all evidence to the consumer, the most recent last. */
  public void forEach(BiConsumer<K, V> consumer) {
    evidence.forEach(consumer);
  }

  /** Returns a copy of all evidence. */
  public ImmutableMap<K, V> copy() {
    return ImmutableMap.copyOf(evidence);
  }
}
