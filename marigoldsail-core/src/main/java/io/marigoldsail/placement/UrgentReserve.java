package io.marigoldsail.placement;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.job.Sizes;

/**
 * How much room is kept open for urgent work.
 *
 * <p>Load pattern: a fleet filled to the brim by batch work, and an urgent task. First in the queue
 * is not enough then: it waits until something ends (a trial at eleven full VMs: 26 s at the 99th
 * percentile). So a few VMs are kept with room for the largest urgent task seen lately; work that
 * is not urgent is not placed where that would leave fewer. Fleets without urgent work keep nothing
 * open.
 *
 * <p>Not safe for use by several threads.
 */
public final class UrgentReserve {
  /** Urgent tasks seen this long ago, in milliseconds, still count: they come in series. */
  static final long RETENTION_MILLIS = 600_000;

  /** Room for a job of two tasks and one more that comes before they end. */
  private static final int MIN_VMS = 3;

  /**
   * Of a large fleet one VM in fifty: 15 of 770, which at 90 starts a second, a twentieth of them
   * urgent, is what starts in three seconds.
   */
  private static final int FLEET_VMS_PER_RESERVED_VM = 50;

  private static final int MAX_SHARE_DIVISOR = 4;

  private Sizes currentMax = Sizes.NONE;
  private Sizes previousMax = Sizes.NONE;
  private long currentSinceMillis;
  private long activeUntilMillis = Long.MIN_VALUE;

  /** Creates a reserve that has seen no urgent task. */
  public UrgentReserve() {}

  /** Takes in what is booked for a waiting task. */
  public void observe(Sizes sizes, boolean urgent, long nowMillis) {
    requireNonNull(sizes, "sizes");
    rotate(nowMillis);
    currentMax = currentMax.max(sizes);
    if (urgent) {
      activeUntilMillis = nowMillis + 2 * RETENTION_MILLIS;
    }
  }

  /**
   * Returns the room that each open VM keeps; nothing where no urgent task was seen lately.
   *
   * @param mean what a VM of the fleet has on average
   */
  public Sizes perVm(Sizes mean, long nowMillis) {
    rotate(nowMillis);
    if (nowMillis >= activeUntilMillis) {
      return Sizes.NONE;
    }
    Sizes largest = currentMax.max(previousMax);
    return new Sizes(
        Math.min(largest.milliProcessors(), mean.milliProcessors() / MAX_SHARE_DIVISOR),
        Math.min(largest.memoryBytes(), mean.memoryBytes() / MAX_SHARE_DIVISOR),
        0);
  }

  /** Returns how many VMs of a fleet are kept open. */
  public int vmCount(int vms) {
    return Math.max(MIN_VMS, vms / FLEET_VMS_PER_RESERVED_VM);
  }

  private void rotate(long nowMillis) {
    if (nowMillis - currentSinceMillis >= RETENTION_MILLIS) {
      previousMax =
          nowMillis - currentSinceMillis >= 2 * RETENTION_MILLIS ? Sizes.NONE : currentMax;
      currentMax = Sizes.NONE;
      currentSinceMillis = nowMillis;
    }
  }
}
