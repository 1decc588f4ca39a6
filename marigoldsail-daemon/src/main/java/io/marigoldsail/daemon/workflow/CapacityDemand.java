package io.marigoldsail.daemon.workflow;

import java.util.concurrent.TimeUnit;

/**
 * Decides whether an entry needs frequent reports of the free capacity of VMs.
 *
 * <p>While tasks wait for capacity, as in a burst, each report may place one of them, and an old
 * report leaves free capacity unused. In a fleet with free capacity, reports of every change from
 * every VM to every entry place nothing, and would be most of what the processes do.
 *
 * <p>Confined to one thread. Times are monotonic nanoseconds.
 */
final class CapacityDemand {
  /** How long the demand lasts after the last task that found no capacity, in nanoseconds. */
  static final long HOLD_NANOS = TimeUnit.SECONDS.toNanos(1);

  private boolean everUnplaced;
  private long endsAt;

  /**
   * Records that a task waits for capacity.
   *
   * @return whether the demand begins with it, so that VMs should be notified now
   */
  boolean recordUnplaced(long now) {
    boolean begins = !isPresent(now);
    everUnplaced = true;
    endsAt = now + HOLD_NANOS;
    return begins;
  }

  /** Returns whether a task found no capacity recently. */
  boolean isPresent(long now) {
    return everUnplaced && now - endsAt < 0;
  }
}
