package io.marigoldsail.daemon.link;

import com.google.common.net.HostAndPort;
import java.net.InetSocketAddress;
import java.util.Optional;

/** Reads addresses of the form {@code host:port}. */
public final class HostPort {
  private HostPort() {}

  /** Returns the address, or empty where the text is none. The host is an IP number. */
  public static Optional<InetSocketAddress> parse(String text) {
    try {
      HostAndPort parsed = HostAndPort.fromString(text);
      if (!parsed.hasPort() || parsed.getHost().isEmpty()) {
        return Optional.empty();
      }
      return Optional.of(new InetSocketAddress(parsed.getHost(), parsed.getPort()));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
