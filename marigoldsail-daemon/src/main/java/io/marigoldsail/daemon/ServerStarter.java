package io.marigoldsail.daemon;

import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Result;
import io.marigoldsail.settings.HostPort;
import java.io.IOException;

/** Starts servers such that an address that cannot be had becomes one clear line. */
final class ServerStarter {
  /** Something that begins to listen. */
  @FunctionalInterface
  interface ListenAction {
    /** Begins to listen, or says why it cannot. */
    void listen() throws IOException;
  }

  private ServerStarter() {}

  /** Returns true, or a failure that names the settings key and the address. */
  static Result<Boolean> start(String key, HostPort address, ListenAction start) {
    try {
      start.listen();
      return Result.ok(true);
    } catch (IOException e) {
      Throwable cause = e.getCause() == null ? e : e.getCause();
      return Result.failed(
          ErrorKind.INVALID_CONTENT,
          key + ": cannot listen on " + address + ": " + cause.getMessage());
    }
  }
}
