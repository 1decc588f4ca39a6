package io.marigoldsail.settings;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * A TCP address as settings write it, {@code host:port}. IPv6 numbers stand in brackets.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param host an IP number or name, without brackets
 * @param port 0 (any free port) to 65535
 */
public record HostPort(String host, int port) {
  private static final int MAX_PORT = 65535;

  /** Checks the components. */
  public HostPort {
    requireNonNull(host, "host");
    checkArgument(!host.isEmpty(), "host is empty");
    checkArgument(port >= 0 && port <= MAX_PORT, "port is out of range: %s", port);
  }

  /** Returns the address that the text writes, or empty if it writes none. */
  public static Optional<HostPort> parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      return Optional.empty();
    }
    String host = text.substring(0, colon);
    boolean bracketed = host.startsWith("[") && host.endsWith("]");
    if (bracketed) {
      host = host.substring(1, host.length() - 1);
    }
    if (host.isBlank() || (!bracketed && host.indexOf(':') >= 0) || host.indexOf('/') >= 0) {
      return Optional.empty();
    }
    return parsePort(text.substring(colon + 1)).map(withHost(host));
  }

  private static java.util.function.Function<Integer, HostPort> withHost(String host) {
    return port -> new HostPort(host, port);
  }

  private static Optional<Integer> parsePort(String text) {
    if (text.isEmpty() || text.length() > 5 || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
      return Optional.empty();
    }
    int port = Integer.parseInt(text);
    return port <= MAX_PORT ? Optional.of(port) : Optional.empty();
  }

  /** Returns the address for a socket; looks a name up. */
  public InetSocketAddress socketAddress() {
    return new InetSocketAddress(host, port);
  }

  /** Returns the address as settings write it. */
  @Override
  public String toString() {
    return (host.indexOf(':') >= 0 ? "[" + host + "]" : host) + ":" + port;
  }
}
