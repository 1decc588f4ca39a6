package io.marigoldsail.daemon.observe;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers during shutdown.
 *
 * <p>The default log manager closes all handlers in its own shutdown hook, which runs concurrently
 * with the graceful shutdown, so that the log would end at the signal. This one ignores that reset;
 * the code that ends the process must close the {@link LogWriter}.
 */
public final class ShutdownSafeLogManager extends LogManager {
  private volatile boolean resetDisabled;

  /** Called by the JDK, which loads this class by name. */
  public ShutdownSafeLogManager() {}

  /** Removes all handlers and makes later calls of {@link #reset} do nothing. */
  void resetOnce() {
    super.reset();
    resetDisabled = true;
  }

  @Override
  public void reset() {
    if (!resetDisabled) {
      super.reset();
    }
  }
}
