package io.marigoldsail.daemon.observe;

import static java.util.Objects.requireNonNull;

/**
 * Logs events to a {@link System.Logger}, one {@link LogLine} per event.
 *
 * <p>Thread-safe. Levels: error if an operator must act, warning for faults that the system
 * recovered from, info for rare events, debug for everything else.
 */
public final class EventLog {
  private final System.Logger logger;

  private EventLog(System.Logger logger) {
    this.logger = logger;
  }

  /** Returns the event log of a class. */
  public static EventLog of(Class<?> owner) {
    return new EventLog(System.getLogger(owner.getName()));
  }

  /** Returns an event log that writes to the given logger. */
  public static EventLog of(System.Logger logger) {
    return new EventLog(requireNonNull(logger, "logger"));
  }

  /** Logs an event on which an operator must act. */
  public void error(LogLine line) {
    logger.log(System.Logger.Level.ERROR, line::toString);
  }

  /** Logs a fault that the system recovered from. */
  public void warning(LogLine line) {
    logger.log(System.Logger.Level.WARNING, line::toString);
  }

  /** Logs a rare event. */
  public void info(LogLine line) {
    logger.log(System.Logger.Level.INFO, line::toString);
  }

  /** Logs any other event. */
  public void debug(LogLine line) {
    logger.log(System.Logger.Level.DEBUG, line::toString);
  }
}
