package io.marigoldsail.workflow;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.ToIntFunction;

/**
 * Chooses the VM for a task.
 *
 * <p>The VMs are shared by small tasks that callers wait for, wide steps of heavy best-effort
 * tasks, and long-running service tasks. A best-effort task disturbs a co-located service task and
 * is throttled for it; service tasks do not disturb each other. Spread evenly, service tasks occupy
 * nearly every VM, and best-effort tasks are throttled nearly everywhere. So service tasks are
 * packed on few VMs, small tasks are co-located with them, and best-effort tasks go to VMs without
 * services while those have capacity. Among equal VMs the one with the most remaining processors
 * wins, because a best-effort task runs at the share of its processors that is left.
 *
 * <p>Many owners choose at the same time, each by reports that the choices of the others have
 * overtaken. If all preferred the same VM, most of them would be refused there while others have
 * capacity. So each owner prefers VMs of its own among those that are nearly equal; where there are
 * many VMs, all with enough remaining processors are equal for a task other than a service.
 *
 * <p>Immutable, and safe for any thread.
 */
public final class VmChooser {
  /**
   * Weight of the preferred co-location, in thousandths of a processor: more than any VM has, so
   * that remaining processors decide only among VMs with equal co-location.
   */
  static final long COLOCATION_WEIGHT = 1_000_000;

  /**
   * Factor by which best-effort processors count against a VM for a service task: a service task
   * that is placed on their VM causes them to be throttled, and its users notice their interference
   * until then.
   */
  static final long BEST_EFFORT_PENALTY = 20;

  /**
   * Weight of services of the same image, in thousandths of a processor: a best-effort image harms
   * services of some images only, so a VM with few service images is free for more of them.
   */
  static final long SAME_IMAGE_WEIGHT = 100_000;

  private static final double HASH_RANGE = 1L << Integer.SIZE;

  /**
   * Largest advantage of a VM that an owner prefers, in thousandths of its processors: VMs whose
   * remaining processors differ by less are nearly equal.
   */
  static final double MAX_PREFERENCE_MILLI = 125;

  /**
   * Remaining processors that are enough for a task where several owners choose among many VMs, as
   * a multiple of the task's: it works at full speed, and so does the next one. More do not make a
   * VM better.
   */
  private static final double ENOUGH_REMAINING_FACTOR = 1;

  /**
   * Number of VMs from which those with enough processors are equal. On fewer VMs the preferences
   * of a few owners would fill some and leave others idle.
   */
  static final int MANY_VMS = 24;

  /** Whether a VM may be given a task, or the reason against it. */
  public enum Verdict {
    /** The VM may be given the task. */
    ADMITTED("admitting it"),
    /** The VM runs tasks of another service. */
    OTHER_SERVICE("of another service"),
    /** The VM lacks the label that the step requires. */
    MISSING_LABEL("without the required label"),
    /** The resources that the task books are not free. */
    INSUFFICIENT_CAPACITY("without room"),
    /** The best-effort task would exceed the limits on such tasks. */
    BEST_EFFORT_LIMIT("at the best-effort limit"),
    /** The VM has as many tasks of the step as may share a VM. */
    PER_VM_LIMIT("at the limit of the step");

    private final String text;

    Verdict(String text) {
      this.text = text;
    }

    /** Returns the text for logs. */
    @Override
    public String toString() {
      return text;
    }
  }

  private final double farRackFactor;
  private final Optional<HashFunction> preference;

  /** Preferences for VMs, from 0 to 1, by the VM's name. */
  private final Map<String, Double> preferences = new ConcurrentHashMap<>();

  private VmChooser(double farRackFactor, Optional<HashFunction> preference) {
    checkArgument(farRackFactor >= 1, "farRackFactor is less than 1: %s", farRackFactor);
    this.farRackFactor = farRackFactor;
    this.preference = preference;
  }

  /**
   * Returns a chooser for a single owner, without preferences.
   *
   * @param farRackFactor how many times longer a task takes on another rack than that of its data
   *     or its sibling tasks; at least 1
   */
  public static VmChooser of(double farRackFactor) {
    return new VmChooser(farRackFactor, Optional.empty());
  }

  /**
   * Returns a chooser for one of several owners that choose at the same time.
   *
   * @param farRackFactor as in {@link #of(double)}
   * @param owner identifies the owner
   */
  public static VmChooser forOwner(double farRackFactor, String owner) {
    return new VmChooser(farRackFactor, Optional.of(Hashing.murmur3_32_fixed(owner.hashCode())));
  }

  private double preferenceFor(VmOffer offer) {
    if (preference.isEmpty()) {
      return 0;
    }
    double share =
        preferences.computeIfAbsent(
            offer.place().vm(),
            vm ->
                Integer.toUnsignedLong(preference.get().hashUnencodedChars(vm).asInt())
                    / HASH_RANGE);
    return share * offer.capacity().milliProcessors() * MAX_PREFERENCE_MILLI / 1_000;
  }

  /**
   * Returns the best VM with capacity for the task, or empty if there is none.
   *
   * <p>Where VMs do not report the room beside their services, a hurried interfering task waits for
   * a VM without services as long as there is one: throttled beside services it would be late, and
   * the work of all tasks of its workflow would be wasted.
   *
   * @param request the request of the task
   * @param offers the VMs to choose from
   * @param ofStepOn the number of tasks of the same step and occurrence on a VM
   */
  public Optional<VmOffer> choose(
      TaskPlacementRequest request, Collection<VmOffer> offers, ToIntFunction<VmOffer> ofStepOn) {
    requireNonNull(ofStepOn, "ofStepOn");
    boolean onlyWithoutServices =
        request.urgency() == Urgency.HURRIED
            && request.step().traits().bestEffort()
            && ImageInterference.isInterfering(request.interference())
            && offers.stream().anyMatch(offer -> offer.serviceTasks() == 0);
    VmOffer best = null;
    double bestScore = Double.NEGATIVE_INFINITY;
    for (VmOffer offer : offers) {
      boolean excluded = onlyWithoutServices && offer.serviceTasks() > 0 && offer.rooms().isEmpty();
      if (excluded || !admits(request, offer, ofStepOn)) {
        continue;
      }
      double score = score(request, offer, isShared(offers));
      if (score > bestScore) {
        best = offer;
        bestScore = score;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Returns the VMs with capacity for the task, the best first.
   *
   * @param request the request of the task
   * @param offers the VMs to choose from
   * @param limit maximum number of VMs
   */
  public ImmutableList<VmOffer> rankedOffers(
      TaskPlacementRequest request, Collection<VmOffer> offers, int limit) {
    boolean shared = isShared(offers);
    return offers.stream()
        .filter(offer -> admits(request, offer, unused -> 0))
        .sorted(
            Comparator.comparingDouble((VmOffer offer) -> score(request, offer, shared)).reversed())
        .limit(limit)
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns whether a task that failed on a VM should move to another VM rather than go back.
   *
   * <p>Not if it is a service task and would be the first on its new VM: services fail through
   * their own fault now and then, and a VM with a single service is lost to best-effort tasks. A VM
   * that fails everything it runs is excluded for a while anyway ({@link VmQuarantine}).
   *
   * @param step the task's step
   * @param bestOther the best VM on which it has not failed
   * @param bestOverall the best of all VMs
   */
  public static boolean prefersOtherVm(
      StepSpec step, Optional<VmOffer> bestOther, Optional<VmOffer> bestOverall) {
    if (bestOther.isEmpty() || bestOverall.isEmpty()) {
      return bestOther.isPresent();
    }
    boolean leavesServices =
        bestOther.get().serviceTasks() == 0 && bestOverall.get().serviceTasks() > 0;
    return !(step.traits().isService() && leavesServices);
  }

  private static boolean admits(
      TaskPlacementRequest request, VmOffer offer, ToIntFunction<VmOffer> ofStepOn) {
    return verdict(request, offer, ofStepOn) == Verdict.ADMITTED;
  }

  /**
   * Returns whether a VM may be given the task, or the first reason against it.
   *
   * @param request the request of the task
   * @param offer the VM
   * @param ofStepOn the number of tasks of the same step and occurrence on a VM
   */
  public static Verdict verdict(
      TaskPlacementRequest request, VmOffer offer, ToIntFunction<VmOffer> ofStepOn) {
    if (!offer.service().equals(request.service())) {
      return Verdict.OTHER_SERVICE;
    }
    StepSpec step = request.step();
    StepSpec.Placement placement = step.placement();
    if (!placement.requiredLabel().isEmpty()
        && !offer.labels().contains(placement.requiredLabel())) {
      return Verdict.MISSING_LABEL;
    }
    if (!step.booked().fitsIn(offer.free())) {
      return Verdict.INSUFFICIENT_CAPACITY;
    }
    boolean overLimit =
        step.traits().bestEffort() && !hasBestEffortCapacity(step, request.interference(), offer);
    if (overLimit && request.urgency() != Urgency.STARVED) {
      return Verdict.BEST_EFFORT_LIMIT;
    }
    boolean belowPerVmLimit =
        placement.maxPerVm() == 0 || ofStepOn.applyAsInt(offer) < placement.maxPerVm();
    return belowPerVmLimit ? Verdict.ADMITTED : Verdict.PER_VM_LIMIT;
  }

  private static boolean hasBestEffortCapacity(StepSpec step, double interference, VmOffer offer) {
    if (offer.bestEffortHeadroomMilli() < step.sizes().milliProcessors()) {
      return false;
    }
    if (offer.rooms().isPresent()) {
      return offer.rooms().get().fits(step.traits().image(), offer.shareOf(step));
    }
    if (offer.serviceTasks() == 0 || !ImageInterference.isInterfering(interference)) {
      return true;
    }
    return InterferenceBudget.admits(
        offer.capacity().milliProcessors(),
        offer.interferingMilliProcessors(),
        step.sizes().milliProcessors());
  }

  /** Returns whether several owners choose among many VMs at the same time. */
  private boolean isShared(Collection<VmOffer> offers) {
    return preference.isPresent() && offers.size() >= MANY_VMS;
  }

  private double score(TaskPlacementRequest request, VmOffer offer, boolean shared) {
    double score = colocationScore(request.step(), request.interference(), offer, shared);
    double slowness = offer.slowdown();
    String dataRack = request.step().placement().preferredRack();
    if (!dataRack.isEmpty() && !offer.labels().contains(dataRack)) {
      slowness *= farRackFactor;
    }
    if (!request.siblingRack().isEmpty() && !offer.rack().equals(request.siblingRack())) {
      slowness *= farRackFactor;
    }
    // The penalty for slowness does not depend on the sign of the rest of the score.
    return score
        + preferenceFor(offer)
        - (slowness - 1) * (COLOCATION_WEIGHT + offer.capacity().milliProcessors());
  }

  /**
   * Returns the score of a VM without what slows the task down there.
   *
   * @param shared whether other owners choose among many VMs at the same time
   */
  private static double colocationScore(
      StepSpec step, double interference, VmOffer offer, boolean shared) {
    double remaining = offer.remainingMilliProcessors() - step.sizes().milliProcessors();
    if (shared && !step.traits().isService()) {
      remaining = Math.min(remaining, step.sizes().milliProcessors() * ENOUGH_REMAINING_FACTOR);
    }
    boolean hasServices = offer.serviceTasks() > 0;
    if (step.traits().isService()) {
      double colocation = hasServices ? COLOCATION_WEIGHT : 0;
      boolean alike = offer.rooms().filter(rooms -> rooms.hosts(step.traits().image())).isPresent();
      colocation += alike ? SAME_IMAGE_WEIGHT : 0;
      return colocation - BEST_EFFORT_PENALTY * offer.bestEffortMilliProcessors() - remaining;
    }
    if (step.traits().bestEffort()) {
      boolean benign = !offer.isInterfering(step, interference);
      long colocation = hasServices == benign ? COLOCATION_WEIGHT : 0;
      // VMs without services are left to the tasks that have no other place.
      boolean leavesOthersFree = hasServices && benign && offer.rooms().isPresent();
      boolean idle = remaining + offer.overcommitMilliProcessors() / 2.0 >= 0;
      return remaining + colocation + (leavesOthersFree && idle ? COLOCATION_WEIGHT / 2 : 0);
    }
    return remaining + (hasServices && remaining >= 0 ? COLOCATION_WEIGHT : 0);
  }
}
