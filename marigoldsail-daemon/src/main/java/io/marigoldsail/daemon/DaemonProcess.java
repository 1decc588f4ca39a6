package io.marigoldsail.daemon;

import io.marigoldsail.error.Result;

/** A daemon process of either role: entry or side process. */
interface DaemonProcess extends AutoCloseable {
  /**
   * Starts the process. After a failure the caller must exit; a graceful shutdown is not needed.
   */
  Result<Boolean> start();

  /**
   * Shuts down gracefully: accepts no new work, completes the work in progress, then releases all
   * resources.
   */
  @Override
  void close();
}
