package io.marigoldsail.dispatch;

/**
 * How much longer than usual a frame was on its way, judged by one connection's own frames.
 *
 * <p>The sender stamps each frame with its own monotonic clock. The smallest difference between
 * arrival and stamp seen lately stands for the usual way; what a frame's difference exceeds it by
 * is the time that the frame lay in buffers, such as while this process was frozen. The clocks of
 * two VMs are thereby never compared, only differences on each. The smallest difference is kept
 * over two periods and then forgotten, so that drifting clocks do not add up. Confined to one
 * thread.
 */
public final class TransitDelay {
  private static final long PERIOD_NANOS = 60_000_000_000L;

  private long periodEnd;
  private boolean initialized;
  private long currentMinimum;
  private long previousMinimum;

  /** Creates a judge that has seen no frame. */
  public TransitDelay() {}

  /**
   * Returns by how many nanoseconds the frame was delayed beyond the usual way, at least 0.
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
