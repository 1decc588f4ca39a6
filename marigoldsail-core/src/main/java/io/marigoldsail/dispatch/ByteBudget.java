package io.marigoldsail.dispatch;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A bound on the bytes that one process holds for all requests together.
 *
 * <p>Without it a burst of large bodies, each within its own limit, takes the process's whole heap
 * and with it the requests of everybody else. Never blocks; safe for any thread.
 */
public final class ByteBudget {
  private final long total;
  private final AtomicLong used = new AtomicLong();

  /**
   * Creates an unused budget.
   *
   * @param total the bytes that may be reserved at once
   */
  public ByteBudget(long total) {
    checkArgument(total >= 0, "total is negative: %s", total);
    this.total = total;
  }

  /** Reserves the bytes and returns true, or returns false where they are not free now. */
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
   * Gives reserved bytes back.
   *
   * @throws IllegalStateException if more is given back than was reserved
   */
  public void release(long bytes) {
    checkArgument(bytes >= 0, "bytes is negative: %s", bytes);
    long after = used.addAndGet(-bytes);
    checkState(after >= 0, "released %s bytes more than were reserved", -after);
  }

  /** Returns the bytes reserved now. */
  public long used() {
    return used.get();
  }
}
