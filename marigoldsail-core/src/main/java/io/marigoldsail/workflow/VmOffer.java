package io.marigoldsail.workflow;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableSet;
import io.marigoldsail.job.Sizes;
import java.util.Collection;

/**
 * A VM as one that looks for room sees it: what its side process reported, less what was ordered
 * since.
 *
 * <p>Immutable. Rejects nulls. Soft: the side process has the last word on room.
 *
 * @param place the VM and its worker's life
 * @param service whose tasks it runs
 * @param labels what is said of the VM, its rack among them
 * @param rack the rack that it stands in; empty if not told
 * @param capacity all that it has
 * @param free what is not booked
 * @param bestEffortMilliProcessors what running tasks that fill declared, in thousandths of a
 *     processor
 * @param interferingMilliProcessors the part of that which suspects declared, see {@link
 *     InterferenceBudget}
 * @param overcommitMilliProcessors what tasks that fill may declare beyond what is left, see {@link
 *     Overcommit}
 * @param serviceTasks how many tasks with a latency target of their own run here
 * @param slowdown how many times as long as elsewhere tasks take here; 1 for as long
 */
public record VmOffer(
    Place place,
    String service,
    ImmutableSet<String> labels,
    String rack,
    Sizes capacity,
    Sizes free,
    long bestEffortMilliProcessors,
    long interferingMilliProcessors,
    long overcommitMilliProcessors,
    int serviceTasks,
    double slowdown) {
  /**
   * Unbooked processors of a roomy fleet, in percent: callers expect work to get on where half is
   * free, and what entries know of room is up to a second old.
   */
  private static final long SPARE_CAPACITY_PERCENT = 40;

  /** Checks the components. */
  public VmOffer {
    requireNonNull(place, "place");
    requireNonNull(service, "service");
    requireNonNull(labels, "labels");
    requireNonNull(rack, "rack");
    requireNonNull(capacity, "capacity");
    requireNonNull(free, "free");
  }

  /**
   * Returns whether a good part of all processors is not booked, so that a workflow with nothing at
   * work is a fault rather than the price of a burst.
   *
   * <p>Guards against both: held to the bounds on what fills, workflows waited for good beside free
   * room; freed of them in a burst, each pressed in somewhere, and half as many were in time.
   */
  public static boolean hasSpareCapacity(Collection<VmOffer> offers) {
    long capacity = offers.stream().mapToLong(each -> each.capacity.milliProcessors()).sum();
    long free = offers.stream().mapToLong(each -> each.free.milliProcessors()).sum();
    return free * 100 >= capacity * SPARE_CAPACITY_PERCENT;
  }

  /** Returns what is left of the processors once tasks that fill have what they declared. */
  long remainingMilliProcessors() {
    return free.milliProcessors() - bestEffortMilliProcessors;
  }

  /** Returns what tasks that fill may still declare here, in thousandths of a processor. */
  long bestEffortHeadroomMilli() {
    return remainingMilliProcessors() + overcommitMilliProcessors;
  }

  /**
   * Returns this offer after a task of the step was placed here.
   *
   * @param harm how harmful the step's image is believed to be
   */
  public VmOffer afterPlacing(StepSpec step, double harm) {
    long fills = step.traits().bestEffort() ? step.sizes().milliProcessors() : 0;
    long suspect = ImageInterference.isInterfering(harm) ? fills : 0;
    int nowServing = step.traits().isService() ? serviceTasks + 1 : serviceTasks;
    return new VmOffer(
        place,
        service,
        labels,
        rack,
        capacity,
        free.minus(step.booked()),
        bestEffortMilliProcessors + fills,
        interferingMilliProcessors + suspect,
        overcommitMilliProcessors,
        nowServing,
        slowdown);
  }
}
