package io.marigoldsail.idempotency;

import java.util.concurrent.TimeUnit;

/** Timeouts that all processes must agree on, in nanoseconds. */
public final class KeyTimeouts {
  /**
   * Time that an owner may run keys after its lease was confirmed through the log. Long enough to
   * bridge a short outage of the log; a longer lease adds little to the takeover delay, which is
   * dominated by {@link #OUTCOME_RETENTION_NANOS}.
   */
  public static final long LEASE_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** Generous bound on the clock drift between two VMs over a lease and an outcome's retention. */
  public static final long CLOCK_DRIFT_MARGIN_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Time that a key's outcome is kept after its request has ended. */
  public static final long OUTCOME_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);

  /** Time after reading a revocation during which no key of the shard runs. */
  public static final long TAKEOVER_DELAY_NANOS =
      LEASE_NANOS + OUTCOME_RETENTION_NANOS + CLOCK_DRIFT_MARGIN_NANOS;

  /** Time that an owner must be unreachable before it is revoked. */
  public static final long REVOKE_AFTER_NANOS = TimeUnit.SECONDS.toNanos(10);

  private KeyTimeouts() {}
}
