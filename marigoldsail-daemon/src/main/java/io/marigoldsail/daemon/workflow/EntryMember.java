package io.marigoldsail.daemon.workflow;

import static com.google.common.base.Preconditions.checkArgument;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * An incarnation of an entry, as identified by its member name in the store.
 *
 * <p>Immutable. The name contains the address at which other processes reach the entry; they
 * discover entries by it. Where the entry tells its processors, they are the last digits of the
 * incarnation in the name, so that versions which know no processors read the name as well.
 *
 * @param host host of the link server
 * @param port port of the link server
 * @param incarnation distinguishes the incarnations of processes at one address; a wall clock in
 *     milliseconds
 * @param processorsMilli the processors of the entry, in thousandths; empty if not told
 */
record EntryMember(String host, int port, long incarnation, OptionalInt processorsMilli) {
  /** The number of processors in a name is below this, in thousandths. */
  static final int PROCESSORS_RANGE = 100_000;

  /** Numbers in names from here on contain processors: greater than any wall clock. */
  private static final long MIN_WITH_PROCESSORS = 1_000_000_000_000_000L;

  EntryMember {
    checkArgument(!host.isEmpty(), "host is empty");
    checkArgument(port > 0, "port is not positive: %s", port);
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

  /** Returns the member that the name identifies, or empty if it is not a member name. */
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
      return Optional.of(
          number < MIN_WITH_PROCESSORS
              ? new EntryMember(host, port, number)
              : new EntryMember(
                  host,
                  port,
                  number / PROCESSORS_RANGE,
                  OptionalInt.of((int) (number % PROCESSORS_RANGE))));
    } catch (IllegalArgumentException e) {
      // A name that another program chose; callers ignore it.
      return Optional.empty();
    }
  }

  boolean isEarlierIncarnationOf(EntryMember other) {
    return isAtAddressOf(other) && incarnation != other.incarnation;
  }

  boolean isAtAddressOf(EntryMember other) {
    return host.equals(other.host) && port == other.port;
  }

  InetSocketAddress address() {
    return new InetSocketAddress(host, port);
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
