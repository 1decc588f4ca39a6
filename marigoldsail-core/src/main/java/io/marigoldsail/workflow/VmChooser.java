package io.marigoldsail.workflow;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.function.ToIntFunction;

/**
 * Chooses the VM for a task.
 *
 * <p>Load pattern: small tasks that callers wait for, wide steps of heavy tasks that take only what
 * others leave, and lasting tasks that serve users, all on the same VMs. A task that fills disturbs
 * one that serves beside it, and is then slowed down; two that serve do not disturb each other.
 * Spread evenly, tasks that serve stand on nearly every VM, and what fills is slowed down nearly
 * everywhere. So tasks that serve are packed on few VMs, small tasks go beside them, and tasks that
 * fill go where none serves as long as there is room; among equals the VM with the most processors
 * left wins, since a task that fills works at the share of its processors that is left.
 *
 * <p>Immutable, and safe for any thread.
 */
public final class VmChooser {
  /**
   * What the right company counts, in thousandths of a processor: more than any VM has, so that
   * room decides only among VMs with the same company.
   */
  static final long COLOCATION_WEIGHT = 1_000_000;

  /**
   * How many times what fills counts against a VM for a task that serves: moving in beside it slows
   * it down, and the users feel it until then.
   */
  static final long BEST_EFFORT_PENALTY = 20;

  /** Whether a VM may be given a task, or what forbids it. */
  public enum Verdict {
    /** It may. */
    ADMITTED("admit it"),
    /** It runs tasks of another service. */
    OTHER_SERVICE("of another service"),
    /** It lacks the label that the step requires. */
    MISSING_LABEL("without its label"),
    /** What the task books is not free. */
    INSUFFICIENT_CAPACITY("without room"),
    /** The task would fill, and too much does already. */
    BEST_EFFORT_LIMIT("filled"),
    /** As many tasks of the step are on it as may share a VM. */
    PER_VM_LIMIT("with enough of its step");

    private final String text;

    Verdict(String text) {
      this.text = text;
    }

    /** Returns the words for logs. */
    @Override
    public String toString() {
      return text;
    }
  }

  private final double farRackFactor;

  private VmChooser(double farRackFactor) {
    this.farRackFactor = farRackFactor;
  }

  /**
   * Returns a chooser for a deployment.
   *
   * @param farRackFactor how many times as long a task takes on another rack than its data or the
   *     tasks that it is to stand together with
   */
  public static VmChooser of(double farRackFactor) {
    checkArgument(farRackFactor >= 1, "farRackFactor is under 1: %s", farRackFactor);
    return new VmChooser(farRackFactor);
  }

  /**
   * Returns the best VM that has room for the task, or empty if none has.
   *
   * <p>A suspect in a hurry waits for a VM without services if there is one at all: beside services
   * it would be late, and all tasks that it came with did their work for nothing.
   *
   * @param wish what the task needs
   * @param offers the VMs to choose from
   * @param ofStepOn how many tasks of the same step and occurrence are on a VM
   */
  public Optional<VmOffer> choose(
      TaskPlacementRequest wish, Collection<VmOffer> offers, ToIntFunction<VmOffer> ofStepOn) {
    requireNonNull(ofStepOn, "ofStepOn");
    boolean onlyFree =
        wish.urgency() == Urgency.HURRIED
            && wish.step().traits().bestEffort()
            && ImageInterference.isInterfering(wish.interference())
            && offers.stream().anyMatch(offer -> offer.serviceTasks() == 0);
    VmOffer best = null;
    double bestScore = Double.NEGATIVE_INFINITY;
    for (VmOffer offer : offers) {
      boolean slow = onlyFree && offer.serviceTasks() > 0;
      if (slow || !admits(wish, offer, ofStepOn)) {
        continue;
      }
      double score = score(wish, offer);
      if (score > bestScore) {
        best = offer;
        bestScore = score;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Returns the VMs that have room for the task, the best first.
   *
   * @param most how many at most
   */
  public ImmutableList<VmOffer> rankedOffers(
      TaskPlacementRequest wish, Collection<VmOffer> offers, int most) {
    return offers.stream()
        .filter(offer -> admits(wish, offer, unused -> 0))
        .sorted(Comparator.comparingDouble((VmOffer offer) -> score(wish, offer)).reversed())
        .limit(most)
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns whether a task that failed on a VM is to go elsewhere rather than back to it.
   *
   * <p>Not if it serves and would be the first to do so on its VM: services fail by themselves now
   * and then, and one alone on a VM takes that from all tasks that fill. A VM that fails what it
   * runs is no choice at all for a while ({@link VmQuarantine}).
   *
   * @param elsewhere the best VM on which it has not failed
   * @param anywhere the best of all VMs
   */
  public static boolean prefersOtherVm(
      StepSpec step, Optional<VmOffer> elsewhere, Optional<VmOffer> anywhere) {
    if (elsewhere.isEmpty() || anywhere.isEmpty()) {
      return elsewhere.isPresent();
    }
    boolean alone = elsewhere.get().serviceTasks() == 0 && anywhere.get().serviceTasks() > 0;
    return !(step.traits().isService() && alone);
  }

  private static boolean admits(
      TaskPlacementRequest wish, VmOffer offer, ToIntFunction<VmOffer> ofStepOn) {
    return verdict(wish, offer, ofStepOn) == Verdict.ADMITTED;
  }

  /**
   * Returns whether a VM may be given the task, or the first thing that forbids it.
   *
   * @param ofStepOn how many tasks of the same step and occurrence are on a VM
   */
  public static Verdict verdict(
      TaskPlacementRequest wish, VmOffer offer, ToIntFunction<VmOffer> ofStepOn) {
    if (!offer.service().equals(wish.spec().policy().service())) {
      return Verdict.OTHER_SERVICE;
    }
    StepSpec step = wish.step();
    StepSpec.Placement placement = step.placement();
    if (!placement.requiredLabel().isEmpty()
        && !offer.labels().contains(placement.requiredLabel())) {
      return Verdict.MISSING_LABEL;
    }
    if (!step.booked().fitsIn(offer.free())) {
      return Verdict.INSUFFICIENT_CAPACITY;
    }
    boolean crowds =
        step.traits().bestEffort() && !hasBestEffortCapacity(step, wish.interference(), offer);
    if (crowds && wish.urgency() != Urgency.STARVED) {
      return Verdict.BEST_EFFORT_LIMIT;
    }
    boolean spread = placement.maxPerVm() == 0 || ofStepOn.applyAsInt(offer) < placement.maxPerVm();
    return spread ? Verdict.ADMITTED : Verdict.PER_VM_LIMIT;
  }

  private static boolean hasBestEffortCapacity(StepSpec step, double harm, VmOffer offer) {
    if (offer.bestEffortHeadroomMilli() < step.sizes().milliProcessors()) {
      return false;
    }
    if (offer.serviceTasks() == 0 || !ImageInterference.isInterfering(harm)) {
      return true;
    }
    return InterferenceBudget.admits(
        offer.capacity().milliProcessors(),
        offer.interferingMilliProcessors(),
        step.sizes().milliProcessors());
  }

  private double score(TaskPlacementRequest wish, VmOffer offer) {
    double score = colocationScore(wish.step(), wish.interference(), offer);
    double slowness = offer.slowdown();
    String dataRack = wish.step().placement().preferredRack();
    if (!dataRack.isEmpty() && !offer.labels().contains(dataRack)) {
      slowness *= farRackFactor;
    }
    if (!wish.siblingRack().isEmpty() && !offer.rack().equals(wish.siblingRack())) {
      slowness *= farRackFactor;
    }
    // A slow VM is worth what its speed leaves of it, whichever sign the rest has.
    return score - (slowness - 1) * (COLOCATION_WEIGHT + offer.capacity().milliProcessors());
  }

  private static double colocationScore(StepSpec step, double harm, VmOffer offer) {
    double left = offer.remainingMilliProcessors() - step.sizes().milliProcessors();
    boolean besideServing = offer.serviceTasks() > 0;
    if (step.traits().isService()) {
      double packed = besideServing ? COLOCATION_WEIGHT : 0;
      return packed - BEST_EFFORT_PENALTY * offer.bestEffortMilliProcessors() - left;
    }
    if (step.traits().bestEffort()) {
      boolean harmless = !ImageInterference.isInterfering(harm);
      return left + (besideServing == harmless ? COLOCATION_WEIGHT : 0);
    }
    return left + (besideServing && left >= 0 ? COLOCATION_WEIGHT : 0);
  }
}
