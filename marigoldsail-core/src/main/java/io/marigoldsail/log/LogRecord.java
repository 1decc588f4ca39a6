package io.marigoldsail.log;

import static java.util.Objects.requireNonNull;

/**
 * One record of a stream.
 *
 * @param offset the offset in its stream
 * @param bytes the record as appended; not copied, callers must not change it
 */
@SuppressWarnings("ArrayRecordComponent") // bytes are passed on unread; equals is not used
public record LogRecord(long offset, byte[] bytes) {
  /** Checks the components. */
  public LogRecord {
    requireNonNull(bytes, "bytes");
  }
}
