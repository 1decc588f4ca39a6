package io.marigoldsail.log;

import io.marigoldsail.error.Result;

/**
 * The platform's append-only log: streams of records with offsets, kept for a limited time.
 *
 * <p>Implementations are safe for any thread and block the calling one. Rejects nulls. A failed
 * append of kind {@code LOG_UNAVAILABLE} did not take effect; one of kind {@code
 * LOG_OUTCOME_UNKNOWN} may have. An append is one platform record, whatever the number of entries
 * that its bytes carry.
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
   * Reads records from an offset on, in order. Returns what is there within the wait, or an empty
   * page.
   *
   * @param stream the stream's name
   * @param fromOffset the first offset wanted
   * @param maxRecords how many records at the most
   * @param waitMillis how long to wait for a first record, in milliseconds; 0 to return at once
   */
  Result<LogPage> read(String stream, long fromOffset, int maxRecords, long waitMillis);
}
