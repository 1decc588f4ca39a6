package io.marigoldsail.workflow;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import java.util.Comparator;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * All queues of one version of the configuration.
 *
 * <p>Immutable. Rejects nulls. A configuration may have more than a thousand queues, and each
 * scheduling pass asks for the queue of each workflow; so look-ups do not scan them.
 */
public final class QueueTable {
  private final long version;
  private final ImmutableList<Queue> queues;
  private final ImmutableMap<String, Queue> byName;
  private final ImmutableListMultimap<String, Queue> byHost;

  /**
   * Creates a table.
   *
   * @param version increases with every change
   * @param queues the queues, with unique names
   */
  public QueueTable(long version, ImmutableList<Queue> queues) {
    this.version = version;
    this.queues = requireNonNull(queues, "queues");
    ImmutableMap.Builder<String, Queue> named = ImmutableMap.builder();
    queues.forEach(queue -> named.put(queue.name(), queue));
    this.byName = named.buildKeepingLast();
    this.byHost =
        queues.stream()
            .collect(
                ImmutableListMultimap.toImmutableListMultimap(
                    queue -> normalized(queue.host()), queue -> queue));
  }

  private static String normalized(String host) {
    return host.toLowerCase(Locale.ROOT);
  }

  /** Returns the number of the version. */
  public long version() {
    return version;
  }

  /** Returns the queues. */
  public ImmutableList<Queue> queues() {
    return queues;
  }

  /**
   * Returns the queue with the longest prefix that matches the host and path, or empty if none
   * does.
   */
  public Optional<Queue> find(String host, String path) {
    String calledHost = normalized(host);
    Stream<Queue> ofHost = byHost.get(calledHost).stream();
    Stream<Queue> ofAnyHost = calledHost.isEmpty() ? Stream.of() : byHost.get("").stream();
    return Stream.concat(ofHost, ofAnyHost)
        .filter(queue -> queue.matches(host, path))
        .max(Comparator.comparingInt(queue -> queue.prefix().length()));
  }

  /** Returns the queue with the name, or empty if there is none. */
  public Optional<Queue> queue(String name) {
    return Optional.ofNullable(byName.get(name));
  }
}
