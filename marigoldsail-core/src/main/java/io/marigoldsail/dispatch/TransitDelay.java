package io.marigoldsail.dispatch;

/**
 * Measures, per connection, how much longer than usual a frame took from being stamped by the
 * sender to being read.
 *
 * <p>The sender stamps each frame with its own monotonic clock. The minimum difference between
 * receive time and stamp over the recent past is the usual transit time; a frame's excess over it
 * is time spent in buffers, for instance while this process was frozen. Clocks of two VMs are never
 * compared directly, only differences on each. The minimum is taken over the current and the
 * previous period, so that clock drift does not accumulate.
 *
 * <p>Confined to one thread.
 */
public final class TransitDelay {
  private static final long PERIOD_NANOS = 60_000_000_000L;

  private long periodEnd;
  private boolean initialized;
  private long currentMinimum;
  private long previousMinimum;

  /** Creates a measurement without frames. */
  public TransitDelay() {}

  /**
   * Returns the frame's delay beyond the usual transit time, in nanoseconds; at least 0.
   *
   * @param sentAt the sender's clock when the frame was sent, in nanoseconds
   * @param receivedAt this process's clock when the frame was read, in nanoseconds
   */
  public long excessNanos(long sentAt, long receivedAt) {
    long difference = receivedAt - sentAt;
    if (!initialized) {
      initialized = true;
      currentMinimum = difference;
      previousMinimum = difference;
      periodEnd = receivedAt + PERIOD_NANOS;
    }
    if (periodEnd - receivedAt <= 0) {
      previousMinimum = currentMinimum;
      currentMinimum = difference;
      periodEnd = receivedAt + PERIOD_NANOS;
    }
    currentMinimum = earlier(currentMinimum, difference);
    return difference - earlier(currentMinimum, previousMinimum);
  }

  private static long earlier(long left, long right) {
    return left - right <= 0 ? left : right;
  }
}
