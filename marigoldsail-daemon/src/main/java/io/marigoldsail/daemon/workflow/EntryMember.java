package io.marigoldsail.daemon.workflow;

import static com.google.common.base.Preconditions.checkArgument;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * One life of an entry, as it is named in the store.
 *
 * <p>Immutable. The name holds the address at which other processes of the system reach it, which
 * is how they find it.
 *
 * @param host address of its links
 * @param port port of its links
 * @param incarnation tells apart the lives of processes at one address
 */
record EntryMember(String host, int port, long incarnation) {
  EntryMember {
    checkArgument(!host.isEmpty(), "host is empty");
    checkArgument(port > 0, "port is not positive: %s", port);
  }

  /** Returns the member of a name, or empty if it is not one of ours. */
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
      // A name that another program chose; callers pass it over.
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
