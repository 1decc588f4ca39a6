package io.marigoldsail.daemon;

import io.marigoldsail.time.WallClock;
import java.util.random.RandomGenerator;

/**
 * Generates process incarnations: the start time in milliseconds followed by random bits.
 *
 * <p>A later incarnation of a process has a higher number because the time is in the high bits. The
 * random bits distinguish processes that start in the same millisecond. Request ids consist of the
 * entry's incarnation and a counter, so two entries with the same incarnation would create the same
 * ids; a side process would confuse their requests and callers would receive unknown outcomes.
 */
final class ProcessIncarnations {
  /** The number of random bits; time and random bits fit into the 53 bits of a JSON number. */
  private static final int RANDOM_BITS = 11;

  private ProcessIncarnations() {}

  static long next(WallClock clock, RandomGenerator random) {
    return (clock.millis() << RANDOM_BITS) | random.nextInt(1 << RANDOM_BITS);
  }
}
