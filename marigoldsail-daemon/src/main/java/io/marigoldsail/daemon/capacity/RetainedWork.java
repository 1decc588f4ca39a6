package io.marigoldsail.daemon.capacity;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.math.LongMath;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The memory that accepted workflows take at all their owners, and whether they can take more.
 *
 * <p>An owner keeps each workflow from its submission until some time after its end. When owners
 * fail, the others take over what they owned, and any number of them may fail at once; so all
 * owners together are given no more than fits into one process. Sizes are estimates, and those of
 * other owners some seconds old; what this process has accepted since is added. Confined to one
 * thread.
 */
public final class RetainedWork {
  /** The part of the heap that may hold workflows. */
  private static final double HEAP_SHARE = 0.4;

  /**
   * What an owner keeps.
   *
   * @param toldBytes the size that it told last
   * @param addedBytes the size of what was accepted for it since
   */
  private record Kept(long toldBytes, long addedBytes) {
    static final Kept NOTHING = new Kept(0, 0);

    long bytes() {
      return LongMath.saturatedAdd(toldBytes, addedBytes);
    }
  }

  private final long maxBytes;
  private final Map<String, Kept> byOwner = new HashMap<>();

  private RetainedWork(long maxBytes) {
    checkArgument(maxBytes > 0, "maxBytes is not positive: %s", maxBytes);
    this.maxBytes = maxBytes;
  }

  /** Returns a record of nothing, with owners that may be given the number of bytes together. */
  public static RetainedWork ofMaximum(long bytes) {
    return new RetainedWork(bytes);
  }

  /** Returns a record of nothing, with owners whose processes have the given heap, in bytes. */
  public static RetainedWork ofHeap(long heapBytes) {
    return new RetainedWork((long) (heapBytes * HEAP_SHARE));
  }

  /** Returns how many bytes all owners may be given together. */
  public long maxBytes() {
    return maxBytes;
  }

  /** Returns how many bytes the owner keeps, as far as this process knows. */
  public long bytes(String owner) {
    return kept(owner).bytes();
  }

  /** Returns how many bytes all owners keep, as far as this process knows. */
  public long totalBytes() {
    return byOwner.values().stream().mapToLong(Kept::bytes).reduce(0, LongMath::saturatedAdd);
  }

  private Kept kept(String owner) {
    return byOwner.getOrDefault(requireNonNull(owner, "owner"), Kept.NOTHING);
  }

  /** Replaces what is known of the owner by what it keeps now. */
  public void update(String owner, long bytes) {
    checkArgument(bytes >= 0, "bytes is negative: %s", bytes);
    byOwner.put(requireNonNull(owner, "owner"), new Kept(bytes, 0));
  }

  /** Forgets all owners but those given. */
  public void retainOwners(Set<String> owners) {
    byOwner.keySet().retainAll(owners);
  }

  /** Adds work to the owner if all owners together have room for it; returns whether they had. */
  public boolean tryAdd(String owner, long bytes) {
    Kept kept = kept(owner);
    if (LongMath.saturatedAdd(totalBytes(), bytes) > maxBytes) {
      return false;
    }
    byOwner.put(owner, new Kept(kept.toldBytes(), kept.addedBytes() + bytes));
    return true;
  }

  /** Takes back what was added to the owner, as it was not accepted after all. */
  public void remove(String owner, long bytes) {
    Kept kept = kept(owner);
    byOwner.put(owner, new Kept(kept.toldBytes(), Math.max(0, kept.addedBytes() - bytes)));
  }
}
