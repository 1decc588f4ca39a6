package io.marigoldsail.job;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.math.LongMath;

/**
 * An amount of processors, memory and accelerators: what a VM has, or what a task needs.
 *
 * <p>Immutable; no component is negative.
 *
 * @param milliProcessors thousandths of a processor
 * @param memoryBytes memory in bytes
 * @param accelerators whole accelerators
 */
public record Sizes(long milliProcessors, long memoryBytes, long accelerators) {
  /** Bytes in the unit in which memory is declared. */
  public static final long BYTES_PER_MEBIBYTE = 1 << 20;

  /** Nothing at all. */
  public static final Sizes NONE = new Sizes(0, 0, 0);

  /** Checks the components. */
  public Sizes {
    checkArgument(milliProcessors >= 0, "milliProcessors is negative: %s", milliProcessors);
    checkArgument(memoryBytes >= 0, "memoryBytes is negative: %s", memoryBytes);
    checkArgument(accelerators >= 0, "accelerators is negative: %s", accelerators);
  }

  /** Returns the sum of this and the other; a component too large for a long is the largest one. */
  public Sizes plus(Sizes other) {
    requireNonNull(other, "other");
    return new Sizes(
        LongMath.saturatedAdd(milliProcessors, other.milliProcessors),
        LongMath.saturatedAdd(memoryBytes, other.memoryBytes),
        LongMath.saturatedAdd(accelerators, other.accelerators));
  }

  /** Returns this less the other, each component at least zero. */
  public Sizes minus(Sizes other) {
    requireNonNull(other, "other");
    return new Sizes(
        Math.max(0, milliProcessors - other.milliProcessors),
        Math.max(0, memoryBytes - other.memoryBytes),
        Math.max(0, accelerators - other.accelerators));
  }

  /** Returns this with no processors. */
  public Sizes withoutProcessors() {
    return new Sizes(0, memoryBytes, accelerators);
  }

  /** Returns the larger of this and the other in each component. */
  public Sizes max(Sizes other) {
    requireNonNull(other, "other");
    return new Sizes(
        Math.max(milliProcessors, other.milliProcessors),
        Math.max(memoryBytes, other.memoryBytes),
        Math.max(accelerators, other.accelerators));
  }

  /** Returns whether every component is at most that of the room. */
  public boolean fitsIn(Sizes room) {
    requireNonNull(room, "room");
    return milliProcessors <= room.milliProcessors
        && memoryBytes <= room.memoryBytes
        && accelerators <= room.accelerators;
  }
}
