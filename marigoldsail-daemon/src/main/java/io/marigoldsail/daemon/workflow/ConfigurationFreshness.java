package io.marigoldsail.daemon.workflow;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import io.marigoldsail.time.ClockReading;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Whether the operator's records, as known to an entry, may be applied to new requests and orders.
 *
 * <p>Guards against an entry whose reads of these records are slow or fail while the rest of the
 * store responds, or whose machine was suspended: it would accept requests and order runs under a
 * configuration that was replaced, or in a zone that was evacuated, seconds ago. So the records
 * hold for a limited time after they were last known to be the newest, by the clock that counted
 * more. An entry that is never told so is not limited.
 *
 * <p>Safe for any thread.
 */
final class ConfigurationFreshness {
  private final long maxForRequestsNanos;
  private final OptionalLong maxForOrdersNanos;
  private volatile Optional<ClockReading> confirmedAsOf = Optional.empty();

  /**
   * Creates an instance without a confirmation.
   *
   * @param maxForRequestsMillis for how long the records hold for new requests, in milliseconds;
   *     positive
   * @param maxForOrdersMillis for how long they hold for orders of runs, in milliseconds; positive;
   *     empty where nothing limits orders
   */
  ConfigurationFreshness(long maxForRequestsMillis, OptionalLong maxForOrdersMillis) {
    this.maxForRequestsNanos = positiveNanos(maxForRequestsMillis);
    this.maxForOrdersNanos =
        maxForOrdersMillis.isPresent()
            ? OptionalLong.of(positiveNanos(maxForOrdersMillis.getAsLong()))
            : OptionalLong.empty();
  }

  private static long positiveNanos(long millis) {
    checkArgument(millis > 0, "age is not positive: %s", millis);
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /** Records that the known records were the newest ones at the time. */
  void confirm(ClockReading asOf) {
    confirmedAsOf = Optional.of(requireNonNull(asOf, "asOf"));
  }

  /** Returns how long ago the known records were the newest ones, in nanoseconds, or empty. */
  private OptionalLong ageNanos(ClockReading now) {
    Optional<ClockReading> asOf = confirmedAsOf;
    return asOf.isPresent() ? OptionalLong.of(asOf.get().ageNanos(now)) : OptionalLong.empty();
  }

  /** Returns how long ago the known records were the newest ones, in milliseconds; 0 if unknown. */
  long ageMillis(ClockReading now) {
    return TimeUnit.NANOSECONDS.toMillis(ageNanos(now).orElse(0));
  }

  /** Returns whether the known records may be applied to a new request. */
  boolean mayDecideRequest(ClockReading now) {
    return ageNanos(now).orElse(0) <= maxForRequestsNanos;
  }

  /** Returns whether a run may be ordered by the known records. */
  boolean mayOrder(ClockReading now) {
    return maxForOrdersNanos.isEmpty() || ageNanos(now).orElse(0) <= maxForOrdersNanos.getAsLong();
  }
}
