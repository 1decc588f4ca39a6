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
  static final long COMPANY = 1_000_000;

  /**
   * How many times what fills counts against a VM for a task that serves: moving in beside it slows
   * it down, and the users feel it until then.
   */
  static final long FILL_AGAINST_SERVING = 20;

  /** Whether a VM may be given a task, or what forbids it. */
  public enum Verdict {
    /** It may. */
    ADMITTED("admit it"),
    /** It runs tasks of another service. */
    OTHER_SERVICE("of another service"),
    /** It lacks the label that the step requires. */
    NO_LABEL("without its label"),
    /** What the task books is not free. */
    NO_ROOM("without room"),
    /** The task would fill, and too much does already. */
    CROWDED("filled"),
    /** As many tasks of the step are on it as may share a VM. */
    ENOUGH_OF_STEP("with enough of its step");

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
      PlacementWish wish, Collection<VmOffer> offers, ToIntFunction<VmOffer> ofStepOn) {
    requireNonNull(ofStepOn, "ofStepOn");
    boolean onlyFree =
        wish.urgency() == Urgency.HURRIED
            && wish.step().nature().fills()
            && ImageHarm.isSuspect(wish.harm())
            && offers.stream().anyMatch(offer -> offer.serving() == 0);
    VmOffer best = null;
    double bestScore = Double.NEGATIVE_INFINITY;
    for (VmOffer offer : offers) {
      boolean slow = onlyFree && offer.serving() > 0;
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
  public ImmutableList<VmOffer> best(PlacementWish wish, Collection<VmOffer> offers, int most) {
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
   * runs is no choice at all for a while ({@link VmTrust}).
   *
   * @param elsewhere the best VM on which it has not failed
   * @param anywhere the best of all VMs
   */
  public static boolean isWorthLeaving(
      StepSpec step, Optional<VmOffer> elsewhere, Optional<VmOffer> anywhere) {
    if (elsewhere.isEmpty() || anywhere.isEmpty()) {
      return elsewhere.isPresent();
    }
    boolean alone = elsewhere.get().serving() == 0 && anywhere.get().serving() > 0;
    return !(step.nature().serves() && alone);
  }

  private static boolean admits(
      PlacementWish wish, VmOffer offer, ToIntFunction<VmOffer> ofStepOn) {
    return verdict(wish, offer, ofStepOn) == Verdict.ADMITTED;
  }

  /**
   * Returns whether a VM may be given the task, or the first thing that forbids it.
   *
   * @param ofStepOn how many tasks of the same step and occurrence are on a VM
   */
  public static Verdict verdict(
      PlacementWish wish, VmOffer offer, ToIntFunction<VmOffer> ofStepOn) {
    if (!offer.service().equals(wish.spec().terms().service())) {
      return Verdict.OTHER_SERVICE;
    }
    StepSpec step = wish.step();
    StepSpec.Placement placement = step.placement();
    if (!placement.requiredLabel().isEmpty()
        && !offer.labels().contains(placement.requiredLabel())) {
      return Verdict.NO_LABEL;
    }
    if (!step.booked().fitsIn(offer.free())) {
      return Verdict.NO_ROOM;
    }
    boolean crowds = step.nature().fills() && !hasRoomToFill(step, wish.harm(), offer);
    if (crowds && wish.urgency() != Urgency.STARVED) {
      return Verdict.CROWDED;
    }
    boolean spread = placement.maxPerVm() == 0 || ofStepOn.applyAsInt(offer) < placement.maxPerVm();
    return spread ? Verdict.ADMITTED : Verdict.ENOUGH_OF_STEP;
  }

  private static boolean hasRoomToFill(StepSpec step, double harm, VmOffer offer) {
    if (offer.leftToFillMilli() < step.sizes().milliProcessors()) {
      return false;
    }
    if (offer.serving() == 0 || !ImageHarm.isSuspect(harm)) {
      return true;
    }
    return SuspectRoom.admits(
        offer.capacity().milliProcessors(),
        offer.suspectMilliProcessors(),
        step.sizes().milliProcessors());
  }

  private double score(PlacementWish wish, VmOffer offer) {
    double score = companyScore(wish.step(), wish.harm(), offer);
    double slowness = offer.slowness();
    String dataRack = wish.step().placement().preferredRack();
    if (!dataRack.isEmpty() && !offer.labels().contains(dataRack)) {
      slowness *= farRackFactor;
    }
    if (!wish.siblingRack().isEmpty() && !offer.rack().equals(wish.siblingRack())) {
      slowness *= farRackFactor;
    }
    // A slow VM is worth what its speed leaves of it, whichever sign the rest has.
    return score - (slowness - 1) * (COMPANY + offer.capacity().milliProcessors());
  }

  private static double companyScore(StepSpec step, double harm, VmOffer offer) {
    double left = offer.leftMilliProcessors() - step.sizes().milliProcessors();
    boolean besideServing = offer.serving() > 0;
    if (step.nature().serves()) {
      double packed = besideServing ? COMPANY : 0;
      return packed - FILL_AGAINST_SERVING * offer.fillMilliProcessors() - left;
    }
    if (step.nature().fills()) {
      boolean harmless = !ImageHarm.isSuspect(harm);
      return left + (besideServing == harmless ? COMPANY : 0);
    }
    return left + (besideServing && left >= 0 ? COMPANY : 0);
  }
}
