package io.marigoldsail.workflow;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.Optional;

/**
 * All queues of one version of the configuration.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param version rises with every change
 * @param queues each with a name of its own
 */
public record QueueTable(long version, ImmutableList<Queue> queues) {
  /** Checks the components. */
  public QueueTable {
    requireNonNull(queues, "queues");
  }

  /** Returns the queue with the longest prefix that the path begins with, or empty. */
  public Optional<Queue> find(String host, String path) {
    return queues.stream()
        .filter(queue -> queue.matches(host, path))
        .max(Comparator.comparingInt(queue -> queue.prefix().length()));
  }

  /** Returns the queue of that name, or empty if this version has none. */
  public Optional<Queue> findByName(String name) {
    return queues.stream().filter(queue -> queue.name().equals(name)).findFirst();
  }

  /** Returns whether any queue sends tasks to the service. */
  public boolean usesService(String service) {
    return queues.stream().anyMatch(queue -> queue.policy().service().equals(service));
  }
}
