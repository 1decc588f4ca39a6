package io.marigoldsail.dispatch;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

/**
 * A request as far as decisions need it.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param request the request's number, unique in this entry
 * @param service the service asked for
 * @param caller who asks
 * @param key what the request is about, such as a lot's name; empty where the caller names none
 * @param idempotent whether running it twice does no harm
 * @param arrivedAt when it arrived, in nanoseconds of the process's monotonic clock
 * @param deadline when its answer is of no more use, on the same clock
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
    checkArgument(deadline >= arrivedAt, "deadline %s before arrival %s", deadline, arrivedAt);
  }
}
