package io.marigoldsail.workflow;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

/**
 * A queue to which callers submit workflows.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param name unique in a configuration
 * @param host the host name of its calls; empty for any
 * @param prefix the prefix of the paths of its calls
 * @param policy the policy for its workflows
 * @param timeoutMillis timeout of a call, in milliseconds
 */
public record Queue(
    String name, String host, String prefix, WorkflowSpec.QueuePolicy policy, long timeoutMillis) {
  /** Checks the components. */
  public Queue {
    checkArgument(!name.isEmpty(), "name is empty");
    requireNonNull(host, "host");
    checkArgument(prefix.startsWith("/"), "prefix does not begin with a slash: %s", prefix);
    requireNonNull(policy, "policy");
  }

  /** Returns whether a call to this host and path is for this queue. */
  boolean matches(String calledHost, String path) {
    return path.startsWith(prefix) && (host.isEmpty() || host.equalsIgnoreCase(calledHost));
  }
}
