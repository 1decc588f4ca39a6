package io.marigoldsail.daemon.observe;

import java.io.PrintStream;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;
import java.util.logging.StreamHandler;

/** Sends all logs of the process to one stream, one line an event. */
public final class LogSetup {
  private LogSetup() {}

  /**
   * Replaces the platform's log handlers. Call once, before anything logs.
   *
   * @param process the process's name
   * @param out where the lines go, flushed after each
   */
  public static void install(String process, PrintStream out) {
    LogManager manager = LogManager.getLogManager();
    if (manager instanceof PatientLogManager patient) {
      patient.resetOnce();
    } else {
      manager.reset();
    }
    Handler handler =
        new StreamHandler(out, new KeyValueFormatter(process)) {
          @Override
          public synchronized void publish(java.util.logging.LogRecord logRecord) {
            super.publish(logRecord);
            flush();
          }
        };
    handler.setLevel(Level.ALL);
    Logger root = Logger.getLogger("");
    root.addHandler(handler);
    root.setLevel(Level.INFO);
    libraries().setLevel(Level.WARNING);
  }

  /** Kept in a field, since the log manager holds loggers weakly and would forget the level. */
  private static Logger libraries() {
    return JETTY;
  }

  private static final Logger JETTY = Logger.getLogger("org.eclipse.jetty");
}
