package io.marigoldsail.daemon;

import io.marigoldsail.error.Result;

/** A process of either role, from its start to its planned stop. */
interface DaemonProcess extends AutoCloseable {
  /** Starts everything; after a failure there is nothing to stop gracefully, only to exit. */
  Result<Boolean> start();

  /** Stops gracefully: takes nothing new, ends what is in progress, then frees everything. */
  @Override
  void close();
}
