package io.marigoldsail.routing;

/**
 * How many requests a new or recovered target gets at once.
 *
 * <p>Load pattern: a target comes up while the service is busy. It looks idle, so without a limit
 * every entry fills it in the same millisecond, while its caches are cold and its code is not yet
 * compiled; if it is broken, all of those requests fail. The limit grows from one request to all
 * slots over {@link #RAMP_NANOS}, which is long against a request and short against the 10 s in
 * which a recovered target is to have its full share. Immutable.
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

  /** Returns a ramp that is over, for targets that were there before this entry. */
  static SlowStart completed(long now) {
    return new SlowStart(now - RAMP_NANOS);
  }

  /** Returns how many requests this entry may have at the target. */
  int limit(int slots, long now) {
    long age = Math.max(0, now - startedAt);
    if (age >= RAMP_NANOS) {
      return Integer.MAX_VALUE;
    }
    return 1 + (int) (slots * age / RAMP_NANOS);
  }
}
