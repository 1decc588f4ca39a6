package io.marigoldsail.placement;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.job.Sizes;

/**
 * Capacity that is kept free for urgent work.
 *
 * <p>Guards against a fleet that batch work fills completely: an urgent task that is first in the
 * queue still waits until a task ends; at eleven full VMs it waited 26 s at the 99th percentile. So
 * a few VMs keep capacity for the largest processors and memory booked for any waiting task seen
 * recently, urgent or not, up to a fraction of a mean VM. Work that is not urgent is not placed
 * where fewer VMs would be left with that capacity. A fleet without urgent work reserves nothing.
 *
 * <p>Not thread-safe.
 */
public final class UrgentReserve {
  /**
   * Minimum time for which a waiting task counts after it was seen, in milliseconds. The reserve
   * ends two such times after the last urgent task, because urgent tasks come in series.
   */
  static final long RETENTION_MILLIS = 600_000;

  /** Enough for a job of two tasks and one more task that arrives before they end. */
  private static final int MIN_VMS = 3;

  /**
   * Fleet size per reserved VM: one in fifty is 15 of 770 VMs, the urgent starts of three seconds
   * at 90 starts per second of which a twentieth are urgent.
   */
  private static final int FLEET_VMS_PER_RESERVED_VM = 50;

  /** The mean capacity of a VM divided by this is the most that a reserved VM keeps free. */
  private static final int MAX_SHARE_DIVISOR = 4;

  private Sizes currentMax = Sizes.NONE;
  private Sizes previousMax = Sizes.NONE;
  private long currentSinceMillis;
  private long activeUntilMillis = Long.MIN_VALUE;

  /** Creates a reserve that has seen no urgent task. */
  public UrgentReserve() {}

  /**
   * Records the booking of a waiting task.
   *
   * @param sizes the resources that are booked for it
   * @param urgent whether the task is urgent
   * @param nowMillis the time, in milliseconds
   */
  public void observe(Sizes sizes, boolean urgent, long nowMillis) {
    requireNonNull(sizes, "sizes");
    rotate(nowMillis);
    currentMax = currentMax.max(sizes);
    if (urgent) {
      activeUntilMillis = nowMillis + 2 * RETENTION_MILLIS;
    }
  }

  /**
   * Returns the resources that each reserved VM keeps free; none if no urgent task was seen
   * recently.
   *
   * @param mean the mean capacity of a VM of the fleet
   * @param nowMillis the time, in milliseconds
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

  /** Returns how many VMs of a fleet of the given size are reserved. */
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
