package io.marigoldsail.testlib.interference;

import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;

/** Random numbers of the shapes that days are made of. Confined to one thread. */
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
   * @param most larger draws are cut to this
   */
  double logNormal(double mean, double spread, double most) {
    double drawn = mean * Math.exp(spread * random.nextGaussian() - spread * spread / 2);
    return Math.min(most, drawn);
  }
}
