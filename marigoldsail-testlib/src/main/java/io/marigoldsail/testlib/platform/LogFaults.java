package io.marigoldsail.testlib.platform;

/**
 * The injected faults of a stand-in log service. Immutable; zero and false disable a fault.
 *
 * @param down whether all requests are refused
 * @param slowMillis the delay added to each response, in milliseconds
 * @param loseAnswers how many of the next appends take effect without a response; -1 for all
 * @param doubleAppends how many of the next appends are stored twice; -1 for all
 * @param staleRecords how many of the newest records are not yet visible to readers
 * @param retainedRecords the number of records retained per stream; 0 for all
 * @param appendsPerSecond the maximum rate of appends per second; 0 for no limit
 */
public record LogFaults(
    boolean down,
    long slowMillis,
    int loseAnswers,
    int doubleAppends,
    int staleRecords,
    int retainedRecords,
    int appendsPerSecond) {

  /** Returns no faults. */
  public static LogFaults none() {
    return new LogFaults(false, 0, 0, 0, 0, 0, 0);
  }

  /** Returns these faults with the service down or up. */
  public LogFaults withDown(boolean newDown) {
    return new LogFaults(
        newDown,
        slowMillis,
        loseAnswers,
        doubleAppends,
        staleRecords,
        retainedRecords,
        appendsPerSecond);
  }

  /** Returns these faults with the given number of lost responses. */
  public LogFaults withLoseAnswers(int count) {
    return new LogFaults(
        down, slowMillis, count, doubleAppends, staleRecords, retainedRecords, appendsPerSecond);
  }

  /** Returns these faults with the given number of duplicated appends. */
  public LogFaults withDoubleAppends(int count) {
    return new LogFaults(
        down, slowMillis, loseAnswers, count, staleRecords, retainedRecords, appendsPerSecond);
  }

  /** Returns these faults with the given number of newest records hidden from readers. */
  public LogFaults withStaleRecords(int count) {
    return new LogFaults(
        down, slowMillis, loseAnswers, doubleAppends, count, retainedRecords, appendsPerSecond);
  }

  /** Returns these faults with the given number of retained records. */
  public LogFaults withRetainedRecords(int count) {
    return new LogFaults(
        down, slowMillis, loseAnswers, doubleAppends, staleRecords, count, appendsPerSecond);
  }
}
