package io.marigoldsail.daemon.workflow;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.CharMatcher;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * An incarnation of an entry, as identified by its member name in the store.
 *
 * <p>Immutable. The name contains the address at which other processes reach the entry; they
 * discover entries by it. Where the entry tells its processors, they are the last digits of the
 * incarnation in the name, so that versions which know no processors read the name as well.
 *
 * @param host host name or IPv4 address of the link server
 * @param port port of the link server, 1 to 65535
 * @param incarnation distinguishes the incarnations of processes at one address; a wall clock in
 *     milliseconds; not negative
 * @param processorsMilli the processors of the entry, in thousandths; empty if not told
 */
record EntryMember(String host, int port, long incarnation, OptionalInt processorsMilli) {
  /** The number of processors in a name is below this, in thousandths. */
  static final int PROCESSORS_RANGE = 100_000;

  private static final Comparator<EntryMember> ORDER =
      Comparator.comparingLong(EntryMember::incarnation).thenComparing(EntryMember::toString);

  private static final int MAX_PORT = 65_535;
  private static final int MAX_HOST_LENGTH = 253;
  private static final CharMatcher HOST_CHARACTERS =
      CharMatcher.inRange('a', 'z')
          .or(CharMatcher.inRange('A', 'Z'))
          .or(CharMatcher.inRange('0', '9'))
          .or(CharMatcher.anyOf(".-_"));

  /** Numbers in names from here on contain processors: greater than any wall clock. */
  private static final long MIN_WITH_PROCESSORS = 1_000_000_000_000_000L;

  EntryMember {
    checkArgument(!host.isEmpty(), "host is empty");
    checkArgument(host.length() <= MAX_HOST_LENGTH, "host is too long: %s", host.length());
    checkArgument(HOST_CHARACTERS.matchesAllOf(host), "host is no host name: %s", host);
    checkArgument(1 <= port && port <= MAX_PORT, "port is not in 1 to 65535: %s", port);
    checkArgument(incarnation >= 0, "incarnation is negative: %s", incarnation);
    if (processorsMilli.isPresent()) {
      int milli = processorsMilli.getAsInt();
      checkArgument(0 < milli && milli < PROCESSORS_RANGE, "processorsMilli: %s", milli);
      checkArgument(
          incarnation >= MIN_WITH_PROCESSORS / PROCESSORS_RANGE,
          "incarnation is not a wall clock: %s",
          incarnation);
    }
  }

  /** Creates a member that does not tell its processors. */
  EntryMember(String host, int port, long incarnation) {
    this(host, port, incarnation, OptionalInt.empty());
  }

  /**
   * Returns the member that the name identifies, or empty if {@link #toString} of no member returns
   * the name; any program that knows the group may have chosen it.
   */
  static Optional<EntryMember> parse(String name) {
    int colon = name.indexOf(':');
    int slash = name.indexOf('/');
    if (colon <= 0 || slash < colon) {
      return Optional.empty();
    }
    try {
      String host = name.substring(0, colon);
      int port = Integer.parseInt(name.substring(colon + 1, slash));
      long number = Long.parseLong(name.substring(slash + 1));
      EntryMember member =
          number < MIN_WITH_PROCESSORS
              ? new EntryMember(host, port, number)
              : new EntryMember(
                  host,
                  port,
                  number / PROCESSORS_RANGE,
                  OptionalInt.of((int) (number % PROCESSORS_RANGE)));
      return Optional.of(member).filter(each -> each.toString().equals(name));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  boolean isEarlierIncarnationOf(EntryMember other) {
    return isAtAddressOf(other) && incarnation != other.incarnation;
  }

  boolean isAtAddressOf(EntryMember other) {
    return host.equals(other.host) && port == other.port;
  }

  /** Returns the later incarnation; of two of the same time always the same one. */
  static EntryMember newest(EntryMember one, EntryMember other) {
    return ORDER.compare(one, other) < 0 ? other : one;
  }

  /** Returns the address of the link server; unresolved if the host is a name. */
  InetSocketAddress address() {
    return InetAddresses.isInetAddress(host)
        ? new InetSocketAddress(InetAddresses.forString(host), port)
        : InetSocketAddress.createUnresolved(host, port);
  }

  @Override
  public String toString() {
    long number =
        processorsMilli.isPresent()
            ? incarnation * PROCESSORS_RANGE + processorsMilli.getAsInt()
            : incarnation;
    return host + ":" + port + "/" + number;
  }
}
