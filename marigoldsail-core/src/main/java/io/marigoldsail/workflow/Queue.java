package io.marigoldsail.workflow;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

/**
 * A queue that callers hand workflows in to.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param name unique in a configuration
 * @param host the host name by which callers address it; empty for any
 * @param prefix the start of the paths by which callers address it
 * @param policy for the workflows handed in
 * @param timeoutMillis how long a call may take
 */
public record Queue(
    String name, String host, String prefix, WorkflowSpec.QueuePolicy policy, long timeoutMillis) {
  /** Checks the components. */
  public Queue {
    checkArgument(!name.isEmpty(), "a queue has no name");
    requireNonNull(host, "host");
    checkArgument(prefix.startsWith("/"), "prefix does not begin with a slash: %s", prefix);
    requireNonNull(policy, "terms");
  }

  /** Returns whether a call to this host and path is for this queue. */
  boolean matches(String calledHost, String path) {
    return path.startsWith(prefix) && (host.isEmpty() || host.equalsIgnoreCase(calledHost));
  }
}
