package io.marigoldsail.placement;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.job.Sizes;

/**
 * Capacity that is kept free for urgent work.
 *
 * <p>Guards against a fleet that batch work fills completely: an urgent task that is first in the queue still waits until a task ends; at eleven full VMs it waited 26 s at the 99th percentile. So a few VMs keep capacity for the largest urgent task seen recently, and work that is not urgent is not placed where fewer VMs would be left with it. A fleet without urgent work reserves nothing.
 *
 * <p>Not thread-safe.
 */
public final class UrgentReserve {
  /** How long an urgent task counts at least after it was seen, in milliseconds, because urgent tasks come in series. */
  static final long REMEMBERED_MILLIS = 600_000;

  /** Enough for a job of two tasks and one more task that arrives before they end. */
  private static final int LEAST_VMS = 3;

  /** Fleet size per reserved VM: one in fifty is 15 of 770 VMs, the urgent starts of three seconds at 90 starts per second of which a twentieth are urgent. */
  private static final int VMS_PER_OPEN_ONE = 50;

  private static final int PARTS_OF_A_VM = 4;

  private Sizes recent = Sizes.NONE;
  private Sizes before = Sizes.NONE;
  private long recentSince;
  private long urgentUntil = Long.MIN_VALUE;

  /** Creates a reserve that has seen no urgent task. */
  public UrgentReserve() {}

  /**
   * Records the booking of a waiting task.
   *
   * @param sizes the resources that are booked for it
   * @param urgent whether the task is urgent
   * @param nowMillis the time, in milliseconds
   */
  public void seen(Sizes sizes, boolean urgent, long nowMillis) {
    requireNonNull(sizes, "sizes");
    roll(nowMillis);
    recent = recent.max(sizes);
    if (urgent) {
      urgentUntil = nowMillis + 2 * REMEMBERED_MILLIS;
    }
  }

  /**
   * Returns the resources that each reserved VM keeps free; none if no urgent task was seen recently.
   *
   * @param mean the mean capacity of a VM of the fleet
   * @param nowMillis the time, in milliseconds
   */
  public Sizes each(Sizes mean, long nowMillis) {
    roll(nowMillis);
    if (nowMillis >= urgentUntil) {
      return Sizes.NONE;
    }
    Sizes largest = recent.max(before);
    return new Sizes(
        Math.min(largest.milliProcessors(), mean.milliProcessors() / PARTS_OF_A_VM),
        Math.min(largest.memoryBytes(), mean.memoryBytes() / PARTS_OF_A_VM),
        0);
  }

  /** Returns how many VMs of a fleet of the given size are reserved. */
  public int count(int vms) {
    return Math.max(LEAST_VMS, vms / VMS_PER_OPEN_ONE);
  }

  private void roll(long nowMillis) {
    if (nowMillis - recentSince >= REMEMBERED_MILLIS) {
      before = nowMillis - recentSince >= 2 * REMEMBERED_MILLIS ? Sizes.NONE : recent;
      recent = Sizes.NONE;
      recentSince = nowMillis;
    }
  }
}
