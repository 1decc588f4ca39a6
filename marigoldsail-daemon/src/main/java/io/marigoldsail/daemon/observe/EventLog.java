package io.marigoldsail.daemon.observe;

import static java.util.Objects.requireNonNull;

/**
 * Logs events, one {@link LogLine} each, over {@link System.Logger}.
 *
 * <p>Safe for any thread. Levels: error for what an operator must look at, warning for what the
 * system got over, info for what happens seldom, debug for the rest.
 */
public final class EventLog {
  private final System.Logger logger;

  private EventLog(System.Logger logger) {
    this.logger = logger;
  }

  /** Returns the log of a class. */
  public static EventLog of(Class<?> owner) {
    return new EventLog(System.getLogger(owner.getName()));
  }

  /** Returns a log over the given logger. */
  public static EventLog of(System.Logger logger) {
    return new EventLog(requireNonNull(logger, "logger"));
  }

  /** Logs what an operator must look at. */
  public void error(LogLine line) {
    logger.log(System.Logger.Level.ERROR, line::toString);
  }

  /** Logs what the system got over. */
  public void warning(LogLine line) {
    logger.log(System.Logger.Level.WARNING, line::toString);
  }

  /** Logs what happens seldom. */
  public void info(LogLine line) {
    logger.log(System.Logger.Level.INFO, line::toString);
  }

  /** Logs the rest. */
  public void debug(LogLine line) {
    logger.log(System.Logger.Level.DEBUG, line::toString);
  }
}
