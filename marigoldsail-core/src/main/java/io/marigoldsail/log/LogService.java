package io.marigoldsail.log;

import io.marigoldsail.error.Result;

/**
 * The platform's append-only log: streams of records with offsets and limited retention.
 *
 * <p>Implementations are safe for any thread and block the calling thread. Rejects nulls. A failed
 * append of kind {@code LOG_UNAVAILABLE} did not take effect; one of kind {@code
 * LOG_OUTCOME_UNKNOWN} may have. An append writes one platform record, regardless of the number of
 * entries in it.
 */
public interface LogService {
  /**
   * Appends one record and returns its offset.
   *
   * @param stream the stream's name
   * @param record the record's bytes
   */
  Result<Long> append(String stream, byte[] record);

  /**
   * Reads records in order, starting at an offset. Returns an empty page if none is available
   * within the wait.
   *
   * @param stream the stream's name
   * @param fromOffset the first offset to read
   * @param maxRecords the maximum number of records
   * @param waitMillis how long to wait for a first record, in milliseconds; 0 to return at once
   */
  Result<LogPage> read(String stream, long fromOffset, int maxRecords, long waitMillis);
}
