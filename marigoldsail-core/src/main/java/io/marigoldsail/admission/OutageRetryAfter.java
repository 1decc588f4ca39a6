package io.marigoldsail.admission;

import static java.util.Objects.requireNonNull;

import java.util.random.RandomGenerator;

/**
 * Chooses the retry-after time of callers that are refused because the store takes nothing.
 *
 * <p>Load pattern: the store is down for seconds, all callers are refused, and return. Callers
 * repeat a request a few times only: told to come back after a second each time, those that arrive
 * early in the outage have given up before it ends, and the others return together. An outage that
 * has lasted for some time is expected to last about as long again, so the time is the age of the
 * outage, in whole seconds, at least {@link #MIN_SECONDS} and at most {@link #MAX_SECONDS}, and for
 * half of the callers a second more once the age is over the minimum.
 *
 * <p>Safe for any thread. Rejects nulls. Times are monotonic nanoseconds.
 */
public final class OutageRetryAfter {
  /** Shortest time, in seconds: the Retry-After header counts whole seconds. */
  static final int MIN_SECONDS = 1;

  /** Longest time before the spread, in seconds; an estimate justifies no longer absence. */
  static final int MAX_SECONDS = 3;

  /**
   * Time without a refusal after which another one begins a new outage, in nanoseconds: all callers
   * that were refused have returned by then.
   */
  static final long QUIET_NANOS = 5_000_000_000L;

  private static final long NANOS_PER_SECOND = 1_000_000_000;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final RandomGenerator random;
  private boolean down;
  private long downSince;
  private long refusedAt;

  /** Creates the state of a store that is up. */
  public OutageRetryAfter(RandomGenerator random) {
    this.random = requireNonNull(random, "random");
  }

  /** Records that the store has taken a record. */
  public synchronized void recordSuccess() {
    down = false;
  }

  /**
   * Records that the store has refused a record or could not be reached, and returns the
   * retry-after time of its caller, in seconds.
   */
  public synchronized int recordFailure(long now) {
    if (!down || now - refusedAt > QUIET_NANOS) {
      down = true;
      downSince = now;
    }
    refusedAt = now;
    long age = (now - downSince) / NANOS_PER_SECOND;
    if (age <= MIN_SECONDS) {
      return MIN_SECONDS;
    }
    return (int) Math.min(MAX_SECONDS, age) + random.nextInt(2);
  }

  /** Returns how long the store has taken nothing, in milliseconds; 0 if it is up. */
  public synchronized long ageMillis(long now) {
    return down ? (now - downSince) / NANOS_PER_MILLI : 0;
  }
}
