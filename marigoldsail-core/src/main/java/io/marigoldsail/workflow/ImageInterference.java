package io.marigoldsail.workflow;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import io.marigoldsail.colocation.RecentEvidence;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Learns from tail latencies which images of best-effort tasks interfere with co-located service
 * tasks.
 *
 * <p>About half of the images interfere, the others hardly do, and nobody declares which. If all
 * are treated as interfering, the processors that services leave idle stay idle; if none is,
 * services miss their latency targets. A reading over a target blames the images that ran on the VM
 * then, weighted by their work and by the current belief; a reading well below the target clears
 * them. The evidence of all VMs is added up, because the tasks of an image run on few VMs. Evidence
 * decays, because the effects change.
 *
 * <p>Confined to one thread.
 */
public final class ImageInterference {
  /** Belief about an image without evidence: a little over half of the images interfere. */
  public static final double PRIOR_BELIEF = 0.5;

  /** Images with a belief above this are treated as interfering, see {@link #isInterfering}. */
  static final double BENIGN_BELIEF = 0.25;

  /** Images with at least this belief certainly interfere. */
  static final double INTERFERING_BELIEF = 0.65;

  /** Weight of the prior belief, in observations. */
  private static final double PRIOR_WEIGHT = 1.5;

  /** Maximum weight of earlier observations, so that later ones can change the belief. */
  private static final double MAX_WEIGHT = 12;

  /** Work at which an observation counts in full, in thousandths of a processor. */
  private static final double FULL_WEIGHT_MILLI_PROCESSORS = 1_500;

  /** Exponent of the belief in the blame weight of an image. */
  private static final double BLAME_EXPONENT = 4;

  /** A tail over this percentage of its target blames images. */
  static final double BLAME_PERCENT = 100;

  /** A tail under this percentage of its target clears images. */
  static final double CLEAR_PERCENT = 65;

  /** Maximum size of the evidence of one VM, in bytes; it is a part of each of its reports. */
  public static final int MAX_LOCAL_BYTES = 32 * 1024;

  /**
   * Evidence on an image.
   *
   * @param blame the part of the weight that indicates interference
   * @param weight the weight of all observations
   */
  public record Evidence(double blame, double weight) {
    /** No evidence. */
    public static final Evidence NONE = new Evidence(0, 0);

    /** Checks the components. */
    public Evidence {
      checkArgument(
          blame >= 0 && weight >= blame, "blame %s is not between 0 and weight %s", blame, weight);
    }

    /** Returns the sum. */
    public Evidence plus(Evidence other) {
      return new Evidence(blame + other.blame, weight + other.weight);
    }

    /** Returns the difference, at least zero, because sums of doubles may fall just below. */
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
   * CPU use of the tasks of one image on a VM.
   *
   * @param image the image of the tasks
   * @param milliProcessors their total use, in thousandths of a processor
   */
  public record ImageLoad(String image, double milliProcessors) {
    /** Checks the components. */
    public ImageLoad {
      requireNonNull(image, "image");
    }
  }

  private final RecentEvidence<String, Evidence> localEvidence =
      RecentEvidence.forMessage(MAX_LOCAL_BYTES, RecentEvidence::bytesOf);
  private Map<String, Evidence> remoteEvidence = Map.of();

  /**
   * Returns whether tasks of an image may interfere with co-located service tasks.
   *
   * @param interference the believed interference, from 0 to 1
   */
  public static boolean isInterfering(double interference) {
    return interference > BENIGN_BELIEF;
  }

  /** Replaces the evidence of other VMs. */
  public void setRemoteEvidence(Map<String, Evidence> evidence) {
    remoteEvidence = Map.copyOf(evidence);
  }

  /** Returns the evidence of this VM, as a copy. */
  public Map<String, Evidence> localEvidence() {
    return localEvidence.copy();
  }

  /** Returns the believed interference of the image, from 0 to 1. */
  public double belief(String image) {
    Evidence local = localEvidence.getOrDefault(image, Evidence.NONE);
    return local.plus(remoteEvidence.getOrDefault(image, Evidence.NONE)).belief();
  }

  /**
   * Records one reading of a VM; ignored if nothing ran, or if the tail neither blames nor clears.
   *
   * @param loads the best-effort load of the VM, one for each image
   * @param worstPercent the worst tail latency as a percentage of its target
   */
  public void observe(Collection<ImageLoad> loads, double worstPercent) {
    double totalMilli = loads.stream().mapToDouble(ImageLoad::milliProcessors).sum();
    boolean blames = worstPercent > BLAME_PERCENT;
    if (totalMilli <= 0 || (!blames && worstPercent >= CLEAR_PERCENT)) {
      return;
    }
    double observationWeight = Math.min(1, totalMilli / FULL_WEIGHT_MILLI_PROCESSORS);
    Map<String, Double> blameWeights = new HashMap<>();
    loads.forEach(each -> blameWeights.put(each.image(), blameWeight(each)));
    double totalBlameWeight = blameWeights.values().stream().mapToDouble(Double::doubleValue).sum();
    for (ImageLoad each : loads) {
      double weight =
          blames
              ? observationWeight * blameWeights.get(each.image()) / totalBlameWeight
              : observationWeight
                  * Math.min(1, each.milliProcessors() / FULL_WEIGHT_MILLI_PROCESSORS);
      Evidence before = localEvidence.getOrDefault(each.image(), Evidence.NONE);
      localEvidence.put(each.image(), before.with(blames ? weight : 0, weight));
    }
  }

  /**
   * Returns the weight of an image in the distribution of blame, which goes mostly to the most
   * interfering one; otherwise benign images would share it.
   */
  private double blameWeight(ImageLoad load) {
    return load.milliProcessors() * Math.pow(belief(load.image()), BLAME_EXPONENT);
  }
}
