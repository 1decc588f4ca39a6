package io.marigoldsail.workflow;

/**
 * How much more than what is left of a VM's processors tasks that fill may declare there.
 *
 * <p>Load pattern: services book processors for their peaks, and in a burst of heavy workflows what
 * they book and leave idle is most of the room there is. Tasks that fill get what is idle, whoever
 * booked it. While those on the VM get the processors they ask for, a part of what is booked counts
 * as idle; while they do not, less of it does, and more would only make all of them late. The same
 * while a service misses its target: many tasks that hardly disturb do so together.
 *
 * <p>Confined to one thread.
 */
public final class Overcommit {
  /** What may be declared beyond what is left even where nothing is idle: few work all the time. */
  static final long BASE_MILLI_PROCESSORS = 6_000;

  /** The most of what is booked that counts as idle, in percent. */
  static final int MAX_PERCENT = 50;

  /** The part of what is booked that counts as idle where nothing is known yet, in percent. */
  private static final int INITIAL_PERCENT = 25;

  /** A tail over this share of its target, in percent, forbids more of what fills. */
  private static final double OVER_PERCENT = 100;

  /** A tail under this share of its target, in percent, allows more of what fills. */
  private static final double LOW_PERCENT = 80;

  /** Tasks that get less than this of the processors they ask for, in percent, lack some. */
  private static final int LOW_ATTAINMENT_PERCENT = 55;

  /** Tasks that get more than this, in percent, lack none; sizes are declared roughly. */
  private static final int HIGH_ATTAINMENT_PERCENT = 70;

  /** By how much the part that counts as idle grows with a reading, in percent. */
  private static final int RISE_PERCENT = 5;

  /** Tasks that ask for less together, in thousandths of a processor, tell nothing. */
  private static final double MIN_REQUESTED_MILLI = 2_000;

  private int idlePercent = INITIAL_PERCENT;

  /**
   * Takes a reading of the tasks that fill and of the services beside them.
   *
   * @param askedMilli what the tasks declared, at the speeds that they were given
   * @param usedMilli what they worked on
   * @param worstTailPercent the worst tail as a share of its target, in percent; 0 without services
   */
  public void observe(double askedMilli, double usedMilli, double worstTailPercent) {
    if (askedMilli < MIN_REQUESTED_MILLI) {
      return;
    }
    double attained = 100 * usedMilli / askedMilli;
    if (attained < LOW_ATTAINMENT_PERCENT || worstTailPercent > OVER_PERCENT) {
      idlePercent /= 2;
    } else if (attained >= HIGH_ATTAINMENT_PERCENT && worstTailPercent < LOW_PERCENT) {
      idlePercent = Math.min(MAX_PERCENT, idlePercent + RISE_PERCENT);
    }
  }

  /**
   * Returns what tasks that fill may declare beyond what is left, in thousandths of a processor.
   *
   * @param bookedMilli what others have booked
   */
  public long milliProcessors(long bookedMilli) {
    return BASE_MILLI_PROCESSORS + bookedMilli * idlePercent / 100;
  }
}
