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
  static final long REMEMBERED_MILLIS = 600_000;

  /** Room for a job of two tasks and one more that comes before they end. */
  private static final int LEAST_VMS = 3;

  /**
   * Of a large fleet one VM in fifty: 15 of 770, which at 90 starts a second, a twentieth of them
   * urgent, is what starts in three seconds.
   */
  private static final int VMS_PER_OPEN_ONE = 50;

  private static final int PARTS_OF_A_VM = 4;

  private Sizes recent = Sizes.NONE;
  private Sizes before = Sizes.NONE;
  private long recentSince;
  private long urgentUntil = Long.MIN_VALUE;

  /** Creates a reserve that has seen no urgent task. */
  public UrgentReserve() {}

  /** Takes in what is booked for a waiting task. */
  public void seen(Sizes sizes, boolean urgent, long nowMillis) {
    requireNonNull(sizes, "sizes");
    roll(nowMillis);
    recent = recent.max(sizes);
    if (urgent) {
      urgentUntil = nowMillis + 2 * REMEMBERED_MILLIS;
    }
  }

  /**
   * Returns the room that each open VM keeps; nothing where no urgent task was seen lately.
   *
   * @param mean what a VM of the fleet has on average
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

  /** Returns how many VMs of a fleet are kept open. */
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
