package io.marigoldsail.daemon.workflow;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.job.Sizes;

/**
 * What a worker tells the side process of its VM about itself.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param worker names this life of the worker
 * @param service whose tasks it runs
 * @param zone the availability zone of the VM
 * @param labels its kind and its rack
 * @param rack the rack that its VM stands in; empty if not told
 * @param capacity all that it has
 * @param draining whether it is about to leave
 * @param sequence rises with each heartbeat, by which a late one is told
 */
public record WorkerHeartbeat(
    String worker,
    String service,
    String zone,
    ImmutableList<String> labels,
    String rack,
    Sizes capacity,
    boolean draining,
    long sequence) {
  /** Checks the components. */
  public WorkerHeartbeat {
    checkArgument(!worker.isEmpty(), "a heartbeat names no worker");
    requireNonNull(service, "service");
    requireNonNull(zone, "zone");
    requireNonNull(labels, "labels");
    requireNonNull(rack, "rack");
    requireNonNull(capacity, "capacity");
  }

  /** Returns whether both tell the same, whenever they were sent. */
  boolean equalsIgnoringSequence(WorkerHeartbeat other) {
    return equals(
        new WorkerHeartbeat(
            other.worker,
            other.service,
            other.zone,
            other.labels,
            other.rack,
            other.capacity,
            other.draining,
            sequence));
  }
}
