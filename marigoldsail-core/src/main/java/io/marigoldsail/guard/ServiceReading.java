package io.marigoldsail.guard;

/**
 * How the VM's service did over the last moments.
 *
 * <p>Immutable.
 *
 * @param tailMillis the 99th percentile of the time that it took to answer, in milliseconds
 * @param goalMillis what that should be at most, in milliseconds
 * @param measuredNanos when the newest request of the reading was answered
 */
public record ServiceReading(double tailMillis, double goalMillis, long measuredNanos) {
  /** Returns the tail latency as a multiple of its goal. */
  public double pressure() {
    return goalMillis <= 0 ? 0 : tailMillis / goalMillis;
  }
}
