package io.marigoldsail.workflow;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableSet;
import io.marigoldsail.colocation.ServiceRooms;
import io.marigoldsail.job.Sizes;
import java.util.Collection;
import java.util.Optional;

/**
 * Resources of a VM as seen by a scheduler: the last report of its side process, less the runs
 * started since.
 *
 * <p>Immutable. Rejects nulls. The side process makes the final decision on capacity.
 *
 * @param place the VM and the incarnation of its worker
 * @param service the service whose tasks it runs
 * @param labels the labels of the VM, its rack among them
 * @param rack the rack of the VM; empty if unknown
 * @param capacity the total resources
 * @param free the resources that are not booked
 * @param bestEffortMilliProcessors processors declared by running best-effort tasks, in thousandths
 * @param interferingMilliProcessors the part of those declared by interfering tasks, see {@link
 *     InterferenceBudget}
 * @param overcommitMilliProcessors processors that best-effort tasks may declare beyond the
 *     unbooked ones, see {@link Overcommit}
 * @param serviceTasks number of running service tasks
 * @param slowdown how many times longer tasks take here than on other VMs; 1 for no difference
 * @param rooms the room for best-effort tasks beside the services; empty where the side process
 *     does not report it, so that the limits by image hold
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
    double slowdown,
    Optional<ServiceRooms> rooms) {
  /**
   * Unbooked processors of a fleet with spare capacity, in percent: callers expect progress where
   * half is free, and the knowledge of entries is up to a second old.
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
    requireNonNull(rooms, "rooms");
  }

  /**
   * Returns whether the fleet has spare capacity, so that a workflow without running tasks is a
   * fault rather than the result of a burst.
   *
   * <p>Guards against two faults. With the limits on best-effort tasks always in force, workflows
   * waited forever although capacity was free. Without the limits in a burst, every workflow was
   * squeezed in somewhere, and only half as many were in time.
   */
  public static boolean hasSpareCapacity(Collection<VmOffer> offers) {
    long capacity = offers.stream().mapToLong(each -> each.capacity.milliProcessors()).sum();
    long free = offers.stream().mapToLong(each -> each.free.milliProcessors()).sum();
    return free * 100 >= capacity * SPARE_CAPACITY_PERCENT;
  }

  /** Returns the processors that a task of the step declares, as a fraction of the VM's. */
  double shareOf(StepSpec step) {
    return (double) step.sizes().milliProcessors() / Math.max(1, capacity.milliProcessors());
  }

  /** Returns whether best-effort tasks of the step would slow service tasks here down. */
  boolean isInterfering(StepSpec step, double interference) {
    return rooms.isPresent()
        ? rooms.get().isInterfering(step.traits().image(), shareOf(step))
        : ImageInterference.isInterfering(interference);
  }

  /** Returns the processors that remain after booked and best-effort tasks; may be negative. */
  long remainingMilliProcessors() {
    return free.milliProcessors() - bestEffortMilliProcessors;
  }

  /** Returns the processors that best-effort tasks may still declare here, in thousandths. */
  long bestEffortHeadroomMilli() {
    return remainingMilliProcessors() + overcommitMilliProcessors;
  }

  /**
   * Returns this offer less a task of the step that was placed here.
   *
   * @param step the step
   * @param interference the believed interference of the step's image, from 0 to 1
   */
  public VmOffer afterPlacing(StepSpec step, double interference) {
    long bestEffortMilli = step.traits().bestEffort() ? step.sizes().milliProcessors() : 0;
    long interferingMilli = ImageInterference.isInterfering(interference) ? bestEffortMilli : 0;
    int newServiceTasks = step.traits().isService() ? serviceTasks + 1 : serviceTasks;
    return new VmOffer(
        place,
        service,
        labels,
        rack,
        capacity,
        free.minus(step.booked()),
        bestEffortMilliProcessors + bestEffortMilli,
        interferingMilliProcessors + interferingMilli,
        overcommitMilliProcessors,
        newServiceTasks,
        slowdown,
        step.traits().bestEffort()
            ? rooms.map(each -> each.after(step.traits().image(), shareOf(step)))
            : rooms);
  }
}
