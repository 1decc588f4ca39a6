package io.marigoldsail.daemon.workflow;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.job.Sizes;

/**
 * A worker's description of itself, sent periodically to the side process of its VM.
 *
 * <p>The side process repeats it in its reports to the entries, so each component is limited to
 * what a report can hold. Immutable. Rejects nulls.
 *
 * @param worker the name of this incarnation of the worker, see {@link
 *     io.marigoldsail.workflow.WorkerIncarnation#name}; not empty, and at most {@value
 *     #MAX_NAME_LENGTH} characters, as are all texts
 * @param service the service whose tasks the worker runs
 * @param zone the availability zone of the VM
 * @param labels the kind and the rack of the VM; at most {@value #MAX_LABELS}
 * @param rack the rack of the VM; empty if unknown
 * @param capacity the total resources of the worker; at most {@link Integer#MAX_VALUE} thousandths
 *     of a processor, mebibytes and accelerators
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
  /** The length of the longest name of a worker, service, zone, label or rack. */
  public static final int MAX_NAME_LENGTH = 256;

  /** The maximum number of labels. */
  public static final int MAX_LABELS = 32;

  /** Checks the components. */
  public WorkerHeartbeat {
    checkArgument(!worker.isEmpty(), "heartbeat has an empty worker id");
    checkLength("worker", worker);
    checkLength("service", service);
    checkLength("zone", zone);
    checkArgument(labels.size() <= MAX_LABELS, "more than %s labels", MAX_LABELS);
    labels.forEach(label -> checkLength("label", label));
    checkLength("rack", rack);
    checkReportable("milliProcessors", capacity.milliProcessors());
    checkReportable("mebibytes", capacity.memoryBytes() / Sizes.BYTES_PER_MEBIBYTE);
    checkReportable("accelerators", capacity.accelerators());
  }

  private static void checkLength(String component, String text) {
    checkArgument(
        text.length() <= MAX_NAME_LENGTH,
        "%s is longer than %s characters",
        component,
        MAX_NAME_LENGTH);
  }

  private static void checkReportable(String component, long value) {
    checkArgument(
        value <= Integer.MAX_VALUE, "%s is over %s: %s", component, Integer.MAX_VALUE, value);
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
