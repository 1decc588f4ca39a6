package io.marigoldsail.workflow;

/**
 * Estimates how many processors best-effort tasks may declare on a VM beyond those that are not
 * booked.
 *
 * <p>Services book processors for their peak load, and in a burst of heavy workflows most of the
 * available capacity is what they have booked and leave idle. Best-effort tasks get idle
 * processors, whoever booked them. While the best-effort tasks of the VM get the processors that
 * they request, a growing part of the booked processors counts as idle. While they do not, less
 * counts as idle, because more tasks would only make all of them late. The same holds while a
 * service misses its target, because many tasks that hardly interfere one by one do so together.
 *
 * <p>Confined to one thread.
 */
public final class Overcommit {
  /**
   * Processors that may be declared beyond the unbooked ones even if nothing is idle, because few
   * tasks work all the time; in thousandths.
   */
  static final long BASE_MILLI_PROCESSORS = 6_000;

  /** Largest part of the booked processors that counts as idle, in percent. */
  static final int MAX_PERCENT = 50;

  /** Part of the booked processors that counts as idle before the first reading, in percent. */
  private static final int INITIAL_PERCENT = 25;

  /** A tail over this percentage of its target halves the part that counts as idle. */
  private static final double OVER_PERCENT = 100;

  /** The part that counts as idle grows only with tails under this percentage of their target. */
  private static final double LOW_PERCENT = 80;

  /** Tasks that get less than this percentage of the requested processors lack some. */
  private static final int LOW_ATTAINMENT_PERCENT = 55;

  /** Tasks that get at least this percentage lack none; sizes are declared roughly. */
  private static final int HIGH_ATTAINMENT_PERCENT = 70;

  /** Growth per reading of the part that counts as idle, in percent of the booked processors. */
  private static final int RISE_PERCENT = 5;

  /** Readings with fewer requested processors are ignored, in thousandths of a processor. */
  private static final double MIN_REQUESTED_MILLI = 2_000;

  private int idlePercent = INITIAL_PERCENT;

  /**
   * Records a reading of the best-effort tasks and of the services co-located with them.
   *
   * @param requestedMilli requested processors: those declared, times the throttle percentage in
   *     force, in thousandths
   * @param usedMilli processors in use, in thousandths
   * @param worstTailPercent the worst tail as a percentage of its target; 0 without services
   */
  public void observe(double requestedMilli, double usedMilli, double worstTailPercent) {
    if (requestedMilli < MIN_REQUESTED_MILLI) {
      return;
    }
    double attainedPercent = 100 * usedMilli / requestedMilli;
    if (attainedPercent < LOW_ATTAINMENT_PERCENT || worstTailPercent > OVER_PERCENT) {
      idlePercent /= 2;
    } else if (attainedPercent >= HIGH_ATTAINMENT_PERCENT && worstTailPercent < LOW_PERCENT) {
      idlePercent = Math.min(MAX_PERCENT, idlePercent + RISE_PERCENT);
    }
  }

  /**
   * Returns the processors that best-effort tasks may declare beyond the unbooked ones, in
   * thousandths.
   *
   * @param bookedMilli booked processors, in thousandths
   */
  public long milliProcessors(long bookedMilli) {
    return BASE_MILLI_PROCESSORS + bookedMilli * idlePercent / 100;
  }
}
