package io.marigoldsail.admission;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Estimates how many requests a second this entry's part of a service serves while it is full.
 *
 * <p>Load pattern: a mix whose service times shift. A configured rate would be wrong within the
 * hour; a count of answers sees only what was asked for. By Little's law the rate of a full service
 * is what is in flight divided by the mean time of one, and both are known at any load.
 *
 * <p>The mean follows one request in {@value #SAMPLES}: at 500 requests a second and entry, half of
 * a change is seen within 0.3 s. A faster mean is noisier, and noise does harm: requests are let in
 * while it happens to be low and stay in the queue when it is not (with 50 samples, a tenth more
 * than fitted their deadline). Not safe for use by several threads.
 */
public final class DrainRate {
  private static final int SAMPLES = 200;
  private static final double INITIAL_MEAN_SERVICE_NANOS = 20e6;
  private static final double NANOS_PER_SECOND = 1e9;

  private double meanServiceNanos = INITIAL_MEAN_SERVICE_NANOS;

  /** Creates an estimate that assumes 20 ms a request until it learns better. */
  public DrainRate() {}

  /** Takes in how long one request took from sending to its answer, in nanoseconds. */
  public void recordServiceTime(long nanos) {
    checkArgument(nanos >= 0, "nanos is negative: %s", nanos);
    meanServiceNanos += (nanos - meanServiceNanos) / SAMPLES;
  }

  /** Returns the mean time of one request, in nanoseconds. */
  public double meanServiceNanos() {
    return meanServiceNanos;
  }

  /** Returns requests a second with the given number in flight; one in flight at least. */
  public double requestsPerSecond(int inFlight) {
    return Math.max(1, inFlight) * NANOS_PER_SECOND / meanServiceNanos;
  }

  /** Returns how long the given number of waiting requests takes to be sent, in nanoseconds. */
  public double waitNanos(int waiting, int inFlight) {
    return waiting * meanServiceNanos / Math.max(1, inFlight);
  }
}
