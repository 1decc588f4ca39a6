package io.marigoldsail.admission;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Estimates the rate at which this entry's share of a fully loaded service serves requests, in
 * requests per second.
 *
 * <p>Load pattern: a mix of requests whose service times shift. A configured rate would soon be
 * wrong, and a count of responses measures only the offered load. By Little's law the rate of a
 * fully loaded service is the number in flight divided by the mean service time; both are known at
 * any load.
 *
 * <p>The mean is exponentially weighted over about {@value #SAMPLES} requests: at 500 requests per
 * second and entry it follows half of a change within 0.3 s. A faster mean is noisier: requests
 * admitted while it is too low wait too long once it rises. With 50 samples, a tenth more requests
 * were admitted than fitted their deadlines.
 *
 * <p>Not thread-safe.
 */
public final class DrainRate {
  private static final int SAMPLES = 200;
  private static final double INITIAL_MEAN_SERVICE_NANOS = 20e6;
  private static final double NANOS_PER_SECOND = 1e9;

  private double meanServiceNanos = INITIAL_MEAN_SERVICE_NANOS;

  /** Creates an estimate that starts from a service time of 20 ms. */
  public DrainRate() {}

  /**
   * Records the time from sending a request to its response, in nanoseconds.
   *
   * @throws IllegalArgumentException if {@code nanos} is negative
   */
  public void recordServiceTime(long nanos) {
    checkArgument(nanos >= 0, "nanos is negative: %s", nanos);
    meanServiceNanos += (nanos - meanServiceNanos) / SAMPLES;
  }

  /** Returns the mean service time, in nanoseconds. */
  public double meanServiceNanos() {
    return meanServiceNanos;
  }

  /**
   * Returns the requests served per second with the given number in flight, which counts as at
   * least 1.
   */
  public double requestsPerSecond(int inFlight) {
    return Math.max(1, inFlight) * NANOS_PER_SECOND / meanServiceNanos;
  }

  /** Returns the time until the given number of queued requests is sent, in nanoseconds. */
  public double waitNanos(int waiting, int inFlight) {
    return waiting * meanServiceNanos / Math.max(1, inFlight);
  }
}
