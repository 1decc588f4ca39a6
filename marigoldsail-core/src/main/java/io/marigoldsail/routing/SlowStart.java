package io.marigoldsail.routing;

/**
 * Limits the requests in flight to a new or recovered target.
 *
 * <p>Load pattern: a target starts while the service is busy. It looks idle, so without a limit all
 * entries fill it within a millisecond, while its caches are cold and its code is not compiled yet;
 * if it is broken, all of these requests fail. The limit grows linearly from one request to all
 * slots over {@link #RAMP_NANOS}. This is long compared with a request, and short compared with the
 * 10 s within which a recovered target must have its full share.
 *
 * <p>Immutable.
 */
final class SlowStart {
  static final long RAMP_NANOS = 2_000_000_000L;

  private final long startedAt;

  private SlowStart(long startedAt) {
    this.startedAt = startedAt;
  }

  static SlowStart startingAt(long now) {
    return new SlowStart(now);
  }

  /** Returns a completed slow start, for targets that were running before this entry. */
  static SlowStart completed(long now) {
    return new SlowStart(now - RAMP_NANOS);
  }

  /** Returns the maximum number of this entry's requests in flight to the target. */
  int limit(int slots, long now) {
    long age = Math.max(0, now - startedAt);
    if (age >= RAMP_NANOS) {
      return Integer.MAX_VALUE;
    }
    return 1 + (int) (slots * age / RAMP_NANOS);
  }
}
