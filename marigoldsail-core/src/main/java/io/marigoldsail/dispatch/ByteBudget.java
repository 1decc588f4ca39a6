package io.marigoldsail.dispatch;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A limit on the bytes that one process holds for all of its requests.
 *
 * <p>Without it, a burst of large bodies, each within its own limit, exhausts the heap and fails
 * the requests of all other callers.
 *
 * <p>Non-blocking and thread-safe.
 */
public final class ByteBudget {
  private final long total;
  private final AtomicLong used = new AtomicLong();

  /**
   * Creates a budget with no bytes reserved.
   *
   * @param total maximum number of bytes reserved at any time
   * @throws IllegalArgumentException if {@code total} is negative
   */
  public ByteBudget(long total) {
    checkArgument(total >= 0, "total is negative: %s", total);
    this.total = total;
  }

  /** Reserves the bytes and returns true, or returns false if fewer bytes are available. */
  public boolean tryReserve(long bytes) {
    checkArgument(bytes >= 0, "bytes is negative: %s", bytes);
    while (true) {
      long before = used.get();
      if (bytes > total - before) {
        return false;
      }
      if (used.compareAndSet(before, before + bytes)) {
        return true;
      }
    }
  }

  /**
   * Releases reserved bytes.
   *
   * @throws IllegalStateException if more bytes are released than were reserved
   */
  public void release(long bytes) {
    checkArgument(bytes >= 0, "bytes is negative: %s", bytes);
    long after = used.addAndGet(-bytes);
    checkState(after >= 0, "released %s bytes more than were reserved", -after);
  }

  /** Returns the number of reserved bytes. */
  public long used() {
    return used.get();
  }
}
