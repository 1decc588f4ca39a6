package io.marigoldsail.daemon;

import io.marigoldsail.error.Result;

/** A process of either role, from its start to its planned stop. */
interface DaemonProcess extends AutoCloseable {
  /** Starts everything; what was started before a failure is left to {@link #close}. */
  Result<Boolean> start();

  /** Stops gracefully: takes nothing new, ends what is in progress, then frees everything. */
  @Override
  void close();
}
