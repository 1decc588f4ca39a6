package io.marigoldsail.daemon.observe;

import java.io.PrintStream;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;

/** Sends all logs of the process to one stream, one line an event. */
public final class LogSetup {
  private LogSetup() {}

  /**
   * Replaces the platform's log handlers. Call once, before anything logs.
   *
   * @param process the process's name
   * @param out where the lines go; a stream that blocks delays nobody
   * @return what writes the lines, to be closed before the process halts
   */
  public static LogWriter install(String process, PrintStream out) {
    LogManager manager = LogManager.getLogManager();
    if (manager instanceof ShutdownSafeLogManager patient) {
      patient.resetOnce();
    } else {
      manager.reset();
    }
    LogWriter writer = LogWriter.start(process, out);
    Logger root = Logger.getLogger("");
    root.addHandler(writer);
    root.setLevel(Level.INFO);
    jettyLogger().setLevel(Level.WARNING);
    return writer;
  }

  /** Kept in a field, since the log manager holds loggers weakly and would forget the level. */
  private static Logger jettyLogger() {
    return JETTY_LOGGER;
  }

  private static final Logger JETTY_LOGGER = Logger.getLogger("org.eclipse.jetty");
}
