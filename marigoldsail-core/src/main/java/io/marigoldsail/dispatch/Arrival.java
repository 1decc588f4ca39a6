package io.marigoldsail.dispatch;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

/**
 * A request's properties that scheduling decisions depend on.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param request number of the request, unique within this entry
 * @param service name of the requested service
 * @param caller name of the caller
 * @param key the resource that the request is for, such as a lot's name; empty if the caller names
 *     none
 * @param idempotent whether the request may safely run twice
 * @param arrivedAt arrival time, in nanoseconds of the process's monotonic clock
 * @param deadline time after which the response is useless, on the same clock
 */
public record Arrival(
    long request,
    String service,
    String caller,
    String key,
    boolean idempotent,
    long arrivedAt,
    long deadline) {
  /** Checks the components. */
  public Arrival {
    requireNonNull(service, "service");
    requireNonNull(caller, "caller");
    requireNonNull(key, "key");
    checkArgument(deadline >= arrivedAt, "deadline %s is before arrival %s", deadline, arrivedAt);
  }
}
