package io.marigoldsail.daemon.observe;

import java.io.PrintStream;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;

/** Configures logging: all logs of the process go to one stream, one line per event. */
public final class LogSetup {
  private LogSetup() {}

  /**
   * Replaces the default log handlers of the JDK. Must be called once, before anything logs.
   *
   * @param process the process's name
   * @param out the stream to write to; a stream that blocks does not delay logging threads
   * @return the writer, to be closed before the process halts
   */
  public static LogWriter install(String process, PrintStream out) {
    LogManager manager = LogManager.getLogManager();
    if (manager instanceof ShutdownSafeLogManager shutdownSafe) {
      shutdownSafe.resetOnce();
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

  /**
   * Returns Jetty's logger, which is held in a field because the log manager references loggers
   * weakly and would lose the level.
   */
  private static Logger jettyLogger() {
    return JETTY_LOGGER;
  }

  private static final Logger JETTY_LOGGER = Logger.getLogger("org.eclipse.jetty");
}
