package io.marigoldsail.daemon.observe;

import java.util.logging.LogManager;

/**
 * A log manager that goes on logging while the process stops.
 *
 * <p>The usual one closes all handlers in a shutdown hook of its own, which runs beside ours: the
 * lines of a planned stop are lost, which shows as a log that ends at the signal. This one ignores
 * that reset; whoever ends the process closes the {@link LogWriter}.
 */
public final class ShutdownSafeLogManager extends LogManager {
  private volatile boolean resetDisabled;

  /** Called by the platform, by name. */
  public ShutdownSafeLogManager() {}

  /** Removes all handlers; from then on nothing removes them again. */
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
