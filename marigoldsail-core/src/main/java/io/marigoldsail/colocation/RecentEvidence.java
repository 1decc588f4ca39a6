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
  /** What evidence takes in a message beside its names, in bytes. */
  private static final int MESSAGE_BYTES = 32;

  /**
   * What it takes in memory beside its names: objects for key, names, value and entry, in bytes.
   */
  private static final int MEMORY_BYTES = 260;

  /** Most bytes that one UTF-16 code unit takes in a message. */
  private static final int MAX_CHARACTER_BYTES = 3;

  private final int maxBytes;
  private final ToIntFunction<K> sizes;
  private final LinkedHashMap<K, V> evidence = new LinkedHashMap<>();
  private int bytes;

  private RecentEvidence(int maxBytes, ToIntFunction<K> sizes) {
    checkArgument(maxBytes > 0, "maxBytes is not positive: %s", maxBytes);
    this.maxBytes = maxBytes;
    this.sizes = requireNonNull(sizes, "sizes");
  }

  /**
   * Returns an instance without evidence, all of which is to fit into a message.
   *
   * @param maxBytes the maximum length in the message
   * @param nameBytes returns the length of the names in a key, in bytes
   */
  public static <K, V> RecentEvidence<K, V> forMessage(int maxBytes, ToIntFunction<K> nameBytes) {
    return new RecentEvidence<>(maxBytes, key -> bytesInMessage(nameBytes.applyAsInt(key)));
  }

  /**
   * Returns an instance without evidence whose memory is bounded.
   *
   * @param maxBytes the maximum of the estimated memory
   * @param nameBytes returns the length of the names in a key, in bytes
   */
  public static <K, V> RecentEvidence<K, V> inMemory(int maxBytes, ToIntFunction<K> nameBytes) {
    return new RecentEvidence<>(maxBytes, key -> bytesInMemory(nameBytes.applyAsInt(key)));
  }

  /** Returns the most bytes that a name takes in a message or in memory. */
  public static int bytesOf(String name) {
    return name.chars().map(each -> each < 0x80 ? 1 : MAX_CHARACTER_BYTES).sum();
  }

  /** Returns the length in a message of evidence whose names have the given length, in bytes. */
  public static int bytesInMessage(int nameBytes) {
    return nameBytes + MESSAGE_BYTES;
  }

  /** Returns the estimated memory of evidence whose names have the given length, in bytes. */
  public static int bytesInMemory(int nameBytes) {
    return nameBytes + MEMORY_BYTES;
  }

  /** Returns the evidence, or the given one if there is none. */
  public V getOrDefault(K key, V none) {
    return evidence.getOrDefault(requireNonNull(key, "key"), none);
  }

  /** Replaces the evidence, which is the most recent one then. */
  public void put(K key, V value) {
    requireNonNull(value, "value");
    if (evidence.remove(requireNonNull(key, "key")) == null) {
      bytes += sizes.applyAsInt(key);
    }
    evidence.put(key, value);
    Iterator<K> eldest = evidence.keySet().iterator();
    while (bytes > maxBytes) {
      bytes -= sizes.applyAsInt(eldest.next());
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
