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
public final class ImageHarm {
  /** What is believed of an image that was never seen: a little over half are harmful. */
  public static final double UNKNOWN = 0.5;

  /** Images believed to be more harmful than this are suspects, see {@link #isSuspect}. */
  static final double HARMLESS = 0.25;

  /** Images believed to be this harmful certainly disturb. */
  static final double HARMFUL = 0.65;

  /** Observations that the first belief is worth. */
  private static final double PRIOR_WEIGHT = 1.5;

  /** The most that earlier observations count, so that later ones can overturn them. */
  private static final double MOST_WEIGHT = 12;

  /** Work that makes an observation count in full, in thousandths of a processor. */
  private static final double FULL_WORK = 1_500;

  /** How much more the more suspicious of two images is blamed, as an exponent. */
  private static final double SHARPNESS = 4;

  /** A tail over this share of its target, in percent, blames. */
  static final double BLAMES_PERCENT = 100;

  /** A tail under this share of its target, in percent, clears. */
  static final double CLEARS_PERCENT = 65;

  /**
   * What was seen of an image.
   *
   * @param blame how much of the weight spoke against it
   * @param weight how much was seen
   */
  public record Seen(double blame, double weight) {
    /** Nothing. */
    public static final Seen NOTHING = new Seen(0, 0);

    /** Checks the components. */
    public Seen {
      checkArgument(blame >= 0 && weight >= blame, "not a share: %s of %s", blame, weight);
    }

    /** Returns both together. */
    public Seen plus(Seen other) {
      return new Seen(blame + other.blame, weight + other.weight);
    }

    /** Returns this less a part of it, cut at zero: sums of doubles may fall just below. */
    Seen minus(Seen part) {
      double lessWeight = Math.max(0, weight - part.weight);
      return new Seen(Math.min(Math.max(0, blame - part.blame), lessWeight), lessWeight);
    }

    private Seen with(double moreBlame, double moreWeight) {
      double keep = Math.min(1, MOST_WEIGHT / (weight + moreWeight));
      double newWeight = (weight + moreWeight) * keep;
      return new Seen(Math.min((blame + moreBlame) * keep, newWeight), newWeight);
    }

    double belief() {
      return (blame + UNKNOWN * PRIOR_WEIGHT) / (weight + PRIOR_WEIGHT);
    }
  }

  /**
   * What filled a VM.
   *
   * @param image of the tasks
   * @param milliProcessors what they worked on together, in thousandths of a processor
   */
  public record Filling(String image, double milliProcessors) {
    /** Checks the components. */
    public Filling {
      requireNonNull(image, "image");
    }
  }

  private final Map<String, Seen> own = new HashMap<>();
  private Map<String, Seen> others = Map.of();

  /**
   * Returns whether tasks of an image may disturb tasks that serve beside them.
   *
   * @param harm how harmful it is believed to be, from 0 to 1
   */
  public static boolean isSuspect(double harm) {
    return harm > HARMLESS;
  }

  /** Replaces what other VMs saw. */
  public void others(Map<String, Seen> seen) {
    others = Map.copyOf(seen);
  }

  /** Returns what was seen here. */
  public Map<String, Seen> own() {
    return Map.copyOf(own);
  }

  /** Returns how harmful the image is believed to be, from 0 to 1. */
  public double belief(String image) {
    Seen here = own.getOrDefault(image, Seen.NOTHING);
    return here.plus(others.getOrDefault(image, Seen.NOTHING)).belief();
  }

  /**
   * Takes one reading of a VM.
   *
   * @param fillings what worked there, one of each image
   * @param worstPercent the worst tail as a share of its target, in percent
   */
  public void observe(Collection<Filling> fillings, double worstPercent) {
    double work = fillings.stream().mapToDouble(Filling::milliProcessors).sum();
    boolean blames = worstPercent > BLAMES_PERCENT;
    if (work <= 0 || (!blames && worstPercent >= CLEARS_PERCENT)) {
      return;
    }
    double counts = Math.min(1, work / FULL_WORK);
    Map<String, Double> suspicion = new HashMap<>();
    fillings.forEach(each -> suspicion.put(each.image(), suspicion(each)));
    double all = suspicion.values().stream().mapToDouble(Double::doubleValue).sum();
    for (Filling each : fillings) {
      double weight =
          blames
              ? counts * suspicion.get(each.image()) / all
              : counts * Math.min(1, each.milliProcessors() / FULL_WORK);
      Seen before = own.getOrDefault(each.image(), Seen.NOTHING);
      own.put(each.image(), before.with(blames ? weight : 0, weight));
    }
  }

  /** Blame goes mostly to the worst of what stands together, or the harmless would share it. */
  private double suspicion(Filling filling) {
    return filling.milliProcessors() * Math.pow(belief(filling.image()), SHARPNESS);
  }
}
