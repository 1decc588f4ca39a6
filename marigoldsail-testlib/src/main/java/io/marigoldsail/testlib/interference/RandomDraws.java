package io.marigoldsail.testlib.interference;

import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;

/** A source of random numbers with the distributions used by {@link FleetDay}. Not thread-safe. */
final class RandomDraws {
  private final RandomGenerator random;

  /** Creates a source; equal seeds draw equal numbers. */
  RandomDraws(long seed) {
    this.random = new Well19937c(seed);
  }

  double uniform(double from, double to) {
    return from + (to - from) * random.nextDouble();
  }

  int below(int bound) {
    return random.nextInt(bound);
  }

  boolean chance(double probability) {
    return random.nextDouble() < probability;
  }

  double exponential(double mean) {
    return -mean * Math.log(1 - random.nextDouble());
  }

  /**
   * Draws from a log-normal distribution.
   *
   * @param spread the standard deviation of the logarithm
   * @param max the upper bound; larger values are clamped
   */
  double logNormal(double mean, double spread, double max) {
    double drawn = mean * Math.exp(spread * random.nextGaussian() - spread * spread / 2);
    return Math.min(max, drawn);
  }
}
