package io.marigoldsail.testlib.platform;

/**
 * What a stand-in log service does wrong just now. Immutable; zero and false switch a fault off.
 *
 * @param down whether it refuses everything
 * @param slowMillis how much longer each answer takes, in milliseconds
 * @param loseAnswers how many of the next appends take effect without an answer; -1 for all
 * @param doubleAppends how many of the next appends are stored twice; -1 for all
 * @param staleRecords how many of the newest records readers do not see yet
 * @param retainedRecords how many records a stream keeps; 0 for all
 * @param appendsPerSecond how many appends a second it takes; 0 for any number
 */
public record LogFaults(
    boolean down,
    long slowMillis,
    int loseAnswers,
    int doubleAppends,
    int staleRecords,
    int retainedRecords,
    int appendsPerSecond) {

  /** Returns a log service in good health. */
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

  /** Returns these faults with the given number of answers to lose. */
  public LogFaults withLoseAnswers(int count) {
    return new LogFaults(
        down, slowMillis, count, doubleAppends, staleRecords, retainedRecords, appendsPerSecond);
  }

  /** Returns these faults with the given number of appends to store twice. */
  public LogFaults withDoubleAppends(int count) {
    return new LogFaults(
        down, slowMillis, loseAnswers, count, staleRecords, retainedRecords, appendsPerSecond);
  }

  /** Returns these faults with the given number of newest records hidden from readers. */
  public LogFaults withStaleRecords(int count) {
    return new LogFaults(
        down, slowMillis, loseAnswers, doubleAppends, count, retainedRecords, appendsPerSecond);
  }

  /** Returns these faults with the given number of records kept. */
  public LogFaults withRetainedRecords(int count) {
    return new LogFaults(
        down, slowMillis, loseAnswers, doubleAppends, staleRecords, count, appendsPerSecond);
  }
}
