package io.marigoldsail.daemon;

import io.marigoldsail.time.WallClock;
import java.util.random.RandomGenerator;

/**
 * Names the lives of processes.
 *
 * <p>Guards against two processes that start in the same millisecond: ids of requests are made of
 * the life of their entry and a number, and two entries of one life made the same ids, so that a
 * side process took one's requests for the other's and callers were told of unknown outcomes. The
 * time comes first, so that a later life of a process has a higher number.
 */
final class ProcessIncarnations {
  /** Random bits beside the time; together they stay within 53 bits, which JSON numbers carry. */
  private static final int RANDOM_BITS = 11;

  private ProcessIncarnations() {}

  static long next(WallClock clock, RandomGenerator random) {
    return (clock.millis() << RANDOM_BITS) | random.nextInt(1 << RANDOM_BITS);
  }
}
