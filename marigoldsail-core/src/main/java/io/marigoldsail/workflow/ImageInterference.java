package io.marigoldsail.workflow;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Which images of tasks that fill disturb tasks that serve beside them, learned from tails.
 *
 * <p>Load pattern: about half of the images disturb, the others hardly do, and nobody declares
 * which. If all are taken for harmful, what services leave on their VMs stays empty; if none is,
 * services miss their targets. Each reading over a target blames what filled the VM then, by what
 * each worked and by what is believed of it already; each reading well below clears it. What VMs
 * learn is added up, since an image's tasks are on few VMs. Observations fade, because the effects
 * change.
 *
 * <p>Confined to one thread.
 */
public final class ImageInterference {
  /** What is believed of an image that was never seen: a little over half are harmful. */
  public static final double PRIOR_BELIEF = 0.5;

  /** Images believed to be more harmful than this are suspects, see {@link #isInterfering}. */
  static final double BENIGN_BELIEF = 0.25;

  /** Images believed to be this harmful certainly disturb. */
  static final double INTERFERING_BELIEF = 0.65;

  /** Observations that the first belief is worth. */
  private static final double PRIOR_WEIGHT = 1.5;

  /** The most that earlier observations count, so that later ones can overturn them. */
  private static final double MAX_WEIGHT = 12;

  /** Work that makes an observation count in full, in thousandths of a processor. */
  private static final double FULL_WEIGHT_MILLI_PROCESSORS = 1_500;

  /** How much more the more suspicious of two images is blamed, as an exponent. */
  private static final double BLAME_EXPONENT = 4;

  /** A tail over this share of its target, in percent, blames. */
  static final double BLAME_PERCENT = 100;

  /** A tail under this share of its target, in percent, clears. */
  static final double CLEAR_PERCENT = 65;

  /**
   * What was seen of an image.
   *
   * @param blame how much of the weight spoke against it
   * @param weight how much was seen
   */
  public record Evidence(double blame, double weight) {
    /** Nothing. */
    public static final Evidence NONE = new Evidence(0, 0);

    /** Checks the components. */
    public Evidence {
      checkArgument(blame >= 0 && weight >= blame, "not a share: %s of %s", blame, weight);
    }

    /** Returns both together. */
    public Evidence plus(Evidence other) {
      return new Evidence(blame + other.blame, weight + other.weight);
    }

    /** Returns this less a part of it, cut at zero: sums of doubles may fall just below. */
    Evidence minus(Evidence part) {
      double lessWeight = Math.max(0, weight - part.weight);
      return new Evidence(Math.min(Math.max(0, blame - part.blame), lessWeight), lessWeight);
    }

    private Evidence with(double moreBlame, double moreWeight) {
      double keep = Math.min(1, MAX_WEIGHT / (weight + moreWeight));
      double newWeight = (weight + moreWeight) * keep;
      return new Evidence(Math.min((blame + moreBlame) * keep, newWeight), newWeight);
    }

    double belief() {
      return (blame + PRIOR_BELIEF * PRIOR_WEIGHT) / (weight + PRIOR_WEIGHT);
    }
  }

  /**
   * What filled a VM.
   *
   * @param image of the tasks
   * @param milliProcessors what they worked on together, in thousandths of a processor
   */
  public record ImageLoad(String image, double milliProcessors) {
    /** Checks the components. */
    public ImageLoad {
      requireNonNull(image, "image");
    }
  }

  private final Map<String, Evidence> localEvidence = new HashMap<>();
  private Map<String, Evidence> setRemoteEvidence = Map.of();

  /**
   * Returns whether tasks of an image may disturb tasks that serve beside them.
   *
   * @param harm how harmful it is believed to be, from 0 to 1
   */
  public static boolean isInterfering(double harm) {
    return harm > BENIGN_BELIEF;
  }

  /** Replaces what other VMs saw. */
  public void setRemoteEvidence(Map<String, Evidence> seen) {
    setRemoteEvidence = Map.copyOf(seen);
  }

  /** Returns what was seen here. */
  public Map<String, Evidence> localEvidence() {
    return Map.copyOf(localEvidence);
  }

  /** Returns how harmful the image is believed to be, from 0 to 1. */
  public double belief(String image) {
    Evidence here = localEvidence.getOrDefault(image, Evidence.NONE);
    return here.plus(setRemoteEvidence.getOrDefault(image, Evidence.NONE)).belief();
  }

  /**
   * Takes one reading of a VM.
   *
   * @param fillings what worked there, one of each image
   * @param worstPercent the worst tail as a share of its target, in percent
   */
  public void observe(Collection<ImageLoad> fillings, double worstPercent) {
    double work = fillings.stream().mapToDouble(ImageLoad::milliProcessors).sum();
    boolean blames = worstPercent > BLAME_PERCENT;
    if (work <= 0 || (!blames && worstPercent >= CLEAR_PERCENT)) {
      return;
    }
    double counts = Math.min(1, work / FULL_WEIGHT_MILLI_PROCESSORS);
    Map<String, Double> suspicion = new HashMap<>();
    fillings.forEach(each -> suspicion.put(each.image(), suspicion(each)));
    double all = suspicion.values().stream().mapToDouble(Double::doubleValue).sum();
    for (ImageLoad each : fillings) {
      double weight =
          blames
              ? counts * suspicion.get(each.image()) / all
              : counts * Math.min(1, each.milliProcessors() / FULL_WEIGHT_MILLI_PROCESSORS);
      Evidence before = localEvidence.getOrDefault(each.image(), Evidence.NONE);
      localEvidence.put(each.image(), before.with(blames ? weight : 0, weight));
    }
  }

  /** Blame goes mostly to the worst of what stands together, or the harmless would share it. */
  private double suspicion(ImageLoad filling) {
    return filling.milliProcessors() * Math.pow(belief(filling.image()), BLAME_EXPONENT);
  }
}
