package io.marigoldsail.daemon.workflow;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.job.Sizes;

/**
 * A worker's description of itself, sent periodically to the side process of its VM.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param worker the name of this incarnation of the worker, see {@link
 *     io.marigoldsail.workflow.WorkerIncarnation#name}; not empty
 * @param service the service whose tasks the worker runs
 * @param zone the availability zone of the VM
 * @param labels the kind and the rack of the VM
 * @param rack the rack of the VM; empty if unknown
 * @param capacity the total resources of the worker
 * @param draining whether the worker is about to shut down and accepts no new runs
 * @param sequence increases with each heartbeat, so that stale ones are recognized
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
    checkArgument(!worker.isEmpty(), "heartbeat has an empty worker id");
    requireNonNull(service, "service");
    requireNonNull(zone, "zone");
    requireNonNull(labels, "labels");
    requireNonNull(rack, "rack");
    requireNonNull(capacity, "capacity");
  }

  /** Returns the heartbeat of the same worker while it is draining. */
  WorkerHeartbeat asDraining() {
    return new WorkerHeartbeat(worker, service, zone, labels, rack, capacity, true, sequence);
  }

  /** Returns whether both are equal except for the sequence number. */
  boolean equalsIgnoringSequence(WorkerHeartbeat other) {
    return worker.equals(other.worker)
        && service.equals(other.service)
        && zone.equals(other.zone)
        && labels.equals(other.labels)
        && rack.equals(other.rack)
        && capacity.equals(other.capacity)
        && draining == other.draining;
  }
}
