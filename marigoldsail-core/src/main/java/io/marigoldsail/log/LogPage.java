package io.marigoldsail.log;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * Consecutive records of a stream, and where the stream begins and ends by now.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param records the records, by ascending offset
 * @param firstOffset the oldest offset that retention has left; greater than the one asked for
 *     where records have expired unread
 * @param nextOffset the offset that the next append would get, as far as the answering replica of
 *     the platform knows; may be stale
 */
public record LogPage(List<LogRecord> records, long firstOffset, long nextOffset) {
  /** Checks and copies the components. */
  public LogPage {
    requireNonNull(records, "records");
    records = List.copyOf(records);
  }
}
