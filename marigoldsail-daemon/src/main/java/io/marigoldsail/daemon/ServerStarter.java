package io.marigoldsail.daemon;

import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Result;
import io.marigoldsail.settings.HostPort;
import java.io.IOException;

/** Starts servers and reports an address that cannot be bound as a one-line failure. */
final class ServerStarter {
  /** Starts listening on an address. */
  @FunctionalInterface
  interface ListenAction {
    /** Starts listening, or throws if the address cannot be bound. */
    void listen() throws IOException;
  }

  private ServerStarter() {}

  /**
   * Returns true if the server listens, or a failure that names the settings key and the address.
   */
  static Result<Boolean> start(String key, HostPort address, ListenAction action) {
    try {
      action.listen();
      return Result.ok(true);
    } catch (IOException e) {
      Throwable cause = e.getCause() == null ? e : e.getCause();
      return Result.failed(
          ErrorKind.INVALID_CONTENT,
          key + ": cannot listen on " + address + ": " + cause.getMessage());
    }
  }
}
