package io.marigoldsail.idempotency;

import java.util.concurrent.TimeUnit;

/** Spans of time that all processes must agree on, in nanoseconds. */
public final class KeyTimeouts {
  /**
   * How long evidence from the log lets a home go on. Long enough that a short outage of the log
   * goes unnoticed; a longer one delays a death's end little, for the window below dominates.
   */
  public static final long LEASE_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** What the clocks of two VMs may drift apart over a lease and a window, with room to spare. */
  public static final long CLOCK_DRIFT_MARGIN_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** How long a key's outcome is kept after its request ended. */
  public static final long OUTCOME_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);

  /** How long nothing of a shard runs after its home was revoked, from when that was read. */
  public static final long TAKEOVER_DELAY_NANOS =
      LEASE_NANOS + OUTCOME_RETENTION_NANOS + CLOCK_DRIFT_MARGIN_NANOS;

  /** How long a home is not heard of before it is revoked. */
  public static final long REVOKE_AFTER_NANOS = TimeUnit.SECONDS.toNanos(10);

  private KeyTimeouts() {}
}
