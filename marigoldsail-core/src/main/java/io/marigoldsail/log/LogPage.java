package io.marigoldsail.log;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * Consecutive records of a stream, with the current bounds of the stream.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param records the records, by ascending offset
 * @param firstOffset the oldest retained offset; greater than the requested one if records expired
 *     before they were read
 * @param nextOffset the offset of the next append, as known to the platform replica that responded;
 *     may be stale
 */
public record LogPage(List<LogRecord> records, long firstOffset, long nextOffset) {
  /** Checks and copies the components. */
  public LogPage {
    requireNonNull(records, "records");
    records = List.copyOf(records);
  }
}
