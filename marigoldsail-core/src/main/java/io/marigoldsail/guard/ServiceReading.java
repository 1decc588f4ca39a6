package io.marigoldsail.guard;

/**
 * Recent tail latency of a VM's service.
 *
 * <p>Immutable.
 *
 * @param tailMillis 99th percentile of the response time, in milliseconds
 * @param goalMillis upper limit that it should meet, in milliseconds
 * @param measuredNanos when the last request of the reading was answered, in nanoseconds
 */
public record ServiceReading(double tailMillis, double goalMillis, long measuredNanos) {
  /** Returns the tail latency as a multiple of its goal. */
  public double pressure() {
    return goalMillis <= 0 ? 0 : tailMillis / goalMillis;
  }
}
