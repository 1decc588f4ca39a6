package io.marigoldsail.colocation;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Sums of a least squares estimate of the effect of one image on another. Sums of several VMs add
 * up to the estimate of all of them. Immutable.
 *
 * @param work sum of the squares of the changes of work, as fractions of the processors of a VM
 * @param effect sum of the products of these changes with the loss of headroom that came with them
 */
public record PairEvidence(double work, double effect) {
  /** No evidence. */
  public static final PairEvidence NONE = new PairEvidence(0, 0);

  /** Checks the components. */
  public PairEvidence {
    checkArgument(work >= 0 && Double.isFinite(work), "work is not a sum of squares: %s", work);
    checkArgument(Double.isFinite(effect), "effect is not finite: %s", effect);
  }

  /** Returns the sum of both. */
  public PairEvidence plus(PairEvidence other) {
    return new PairEvidence(work + other.work, effect + other.effect);
  }

  /** Returns the evidence, scaled down to at most the given work, so that later changes count. */
  PairEvidence atMost(double maxWork) {
    return work <= maxWork ? this : new PairEvidence(maxWork, effect * maxWork / work);
  }
}
