package io.marigoldsail.job;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.math.LongMath;

/**
 * An amount of processors, memory and accelerators, such as the capacity of a VM or the demand of a
 * task.
 *
 * <p>Immutable; no component is negative.
 *
 * @param milliProcessors processors, in thousandths of one
 * @param memoryBytes memory in bytes
 * @param accelerators number of accelerators
 */
public record Sizes(long milliProcessors, long memoryBytes, long accelerators) {
  /** Bytes in a mebibyte, the unit in which job files declare memory. */
  public static final long BYTES_PER_MEBIBYTE = 1 << 20;

  /** Zero in every component. */
  public static final Sizes NONE = new Sizes(0, 0, 0);

  /** Checks the components. */
  public Sizes {
    checkArgument(milliProcessors >= 0, "milliProcessors is negative: %s", milliProcessors);
    checkArgument(memoryBytes >= 0, "memoryBytes is negative: %s", memoryBytes);
    checkArgument(accelerators >= 0, "accelerators is negative: %s", accelerators);
  }

  // Written out because the generated methods are linked at run time, which costs each starting
  // process much of its first second.
  @Override
  public boolean equals(Object other) {
    return other instanceof Sizes that
        && milliProcessors == that.milliProcessors
        && memoryBytes == that.memoryBytes
        && accelerators == that.accelerators;
  }

  @Override
  public int hashCode() {
    return 31 * (31 * Long.hashCode(milliProcessors) + Long.hashCode(memoryBytes))
        + Long.hashCode(accelerators);
  }

  /** Returns the sum; a component that would overflow is {@link Long#MAX_VALUE}. */
  public Sizes plus(Sizes other) {
    requireNonNull(other, "other");
    return new Sizes(
        LongMath.saturatedAdd(milliProcessors, other.milliProcessors),
        LongMath.saturatedAdd(memoryBytes, other.memoryBytes),
        LongMath.saturatedAdd(accelerators, other.accelerators));
  }

  /** Returns the difference; a component that would be negative is 0. */
  public Sizes minus(Sizes other) {
    requireNonNull(other, "other");
    return new Sizes(
        Math.max(0, milliProcessors - other.milliProcessors),
        Math.max(0, memoryBytes - other.memoryBytes),
        Math.max(0, accelerators - other.accelerators));
  }

  /** Returns a copy with 0 processors. */
  public Sizes withoutProcessors() {
    return new Sizes(0, memoryBytes, accelerators);
  }

  /** Returns the maximum of both in each component. */
  public Sizes max(Sizes other) {
    requireNonNull(other, "other");
    return new Sizes(
        Math.max(milliProcessors, other.milliProcessors),
        Math.max(memoryBytes, other.memoryBytes),
        Math.max(accelerators, other.accelerators));
  }

  /** Returns whether every component is at most that of the capacity. */
  public boolean fitsIn(Sizes capacity) {
    requireNonNull(capacity, "capacity");
    return milliProcessors <= capacity.milliProcessors
        && memoryBytes <= capacity.memoryBytes
        && accelerators <= capacity.accelerators;
  }
}
