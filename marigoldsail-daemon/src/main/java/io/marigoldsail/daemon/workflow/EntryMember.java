package io.marigoldsail.daemon.workflow;

import static com.google.common.base.Preconditions.checkArgument;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * An incarnation of an entry, as identified by its member name in the store.
 *
 * <p>Immutable. The name contains the address at which other processes reach the entry; they
 * discover entries by it.
 *
 * @param host host of the link server
 * @param port port of the link server
 * @param incarnation distinguishes the incarnations of processes at one address
 */
record EntryMember(String host, int port, long incarnation) {
  EntryMember {
    checkArgument(!host.isEmpty(), "host is empty");
    checkArgument(port > 0, "port is not positive: %s", port);
  }

  /** Returns the member that the name identifies, or empty if it is not a member name. */
  static Optional<EntryMember> parse(String name) {
    int colon = name.indexOf(':');
    int slash = name.indexOf('/');
    if (colon <= 0 || slash < colon) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new EntryMember(
              name.substring(0, colon),
              Integer.parseInt(name.substring(colon + 1, slash)),
              Long.parseLong(name.substring(slash + 1))));
    } catch (IllegalArgumentException e) {
      // A name that another program chose; callers ignore it.
      return Optional.empty();
    }
  }

  boolean isEarlierIncarnationOf(EntryMember other) {
    return host.equals(other.host) && port == other.port && incarnation != other.incarnation;
  }

  InetSocketAddress address() {
    return new InetSocketAddress(host, port);
  }

  @Override
  public String toString() {
    return host + ":" + port + "/" + incarnation;
  }
}
