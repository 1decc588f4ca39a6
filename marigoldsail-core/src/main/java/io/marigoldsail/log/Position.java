package io.marigoldsail.log;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Comparator;

/**
 * The position of an entry in its stream. Immutable; ordered as the stream is.
 *
 * @param offset the offset of the platform record that contains the entry
 * @param index the index of the entry in that record, from 0
 */
public record Position(long offset, int index) implements Comparable<Position> {
  private static final Comparator<Position> ORDER =
      Comparator.comparingLong(Position::offset).thenComparingInt(Position::index);

  /** Checks the components. */
  public Position {
    checkArgument(offset >= 0, "offset is negative: %s", offset);
    checkArgument(index >= 0, "index is negative: %s", index);
  }

  @Override
  public int compareTo(Position other) {
    return ORDER.compare(this, other);
  }
}
