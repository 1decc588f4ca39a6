package io.marigoldsail.workflow;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

/**
 * Decides whether an entry owns partitions or stands by, in a fleet whose entries differ in
 * processors.
 *
 * <p>Answers load that one entry in a group of faster ones cannot keep up with: partitions are
 * assigned evenly, so the workflows of a slow entry's partitions wait for it, and each owner costs
 * every VM a connection, periodic reports and leases. An entry that would add little to the
 * processors of the owners therefore stands by. It serves callers, and owns partitions again once
 * the other owners are too few.
 *
 * <p>An owner whose processors are not known may be of a version that does not serve entries
 * standing by; beside it every entry owns partitions.
 *
 * <p>Confined to one thread. Times are monotonic nanoseconds.
 */
public final class OwnerSelection {
  /** An entry with at least this percentage of the fastest owner's processors owns partitions. */
  static final int COMPARABLE_PERCENT = 50;

  /** An entry that adds at least this percentage to the owners' processors owns partitions. */
  static final int SIGNIFICANT_PERCENT = 15;

  /**
   * How long an owner must be dispensable before it stands by, in nanoseconds: the list of owners
   * may name entries that have just ended.
   */
  static final long STAND_BY_DELAY_NANOS = TimeUnit.SECONDS.toNanos(2);

  private static final int HUNDRED_PERCENT = 100;

  private final int processorsMilli;
  private boolean owning;
  private boolean dispensable;
  private long dispensableSince;

  private OwnerSelection(int processorsMilli) {
    this.processorsMilli = processorsMilli;
  }

  /**
   * Returns the selection of an entry that owns nothing yet.
   *
   * @param processorsMilli the entry's processors, in thousandths; positive
   * @throws IllegalArgumentException if {@code processorsMilli} is not positive
   */
  public static OwnerSelection of(int processorsMilli) {
    checkArgument(processorsMilli > 0, "processorsMilli is not positive: %s", processorsMilli);
    return new OwnerSelection(processorsMilli);
  }

  /**
   * Returns whether the entry owns partitions from now on.
   *
   * @param otherOwners the processors of each other owner, in thousandths; empty if not known
   */
  public boolean update(ImmutableList<OptionalInt> otherOwners, long now) {
    if (isNeeded(requireNonNull(otherOwners, "otherOwners"))) {
      owning = true;
      dispensable = false;
      return true;
    }
    if (!dispensable) {
      dispensable = true;
      dispensableSince = now;
    }
    owning = owning && now - dispensableSince < STAND_BY_DELAY_NANOS;
    return owning;
  }

  private boolean isNeeded(ImmutableList<OptionalInt> otherOwners) {
    long sum = 0;
    long largest = 0;
    for (OptionalInt each : otherOwners) {
      if (each.isEmpty()) {
        return true;
      }
      sum += each.getAsInt();
      largest = Math.max(largest, each.getAsInt());
    }
    long scaled = (long) processorsMilli * HUNDRED_PERCENT;
    return scaled >= largest * COMPARABLE_PERCENT || scaled >= sum * SIGNIFICANT_PERCENT;
  }
}
