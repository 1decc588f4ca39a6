package io.marigoldsail.colocation;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns how much best-effort work of each image costs service tasks of each image.
 *
 * <p>Answers a fleet in which services share nearly every VM with best-effort tasks: an image may
 * be harmless to the services of one VM and make those of another miss their targets, so one belief
 * for each image leaves most idle processors unused and still harms services.
 *
 * <p>Quantities: the <em>headroom</em> of a service is its target divided by its tail latency, 1 at
 * the target. A tail grows as the inverse of the capacity that is left to the service, so headroom
 * falls in proportion to the work beside it. The <em>effect</em> of a pair is the headroom that is
 * lost for work of all processors of a VM. It is estimated from changes: when the work on a VM
 * changes, the headroom of a service changes at the same time, while its own load changes slowly.
 *
 * <p>Confined to one thread. Rejects nulls. An observation takes time linear in the images.
 */
public final class InterferenceModel implements ImageEffects {
  /** Effect of a pair without evidence: between that of harmless and of harmful pairs. */
  static final double PRIOR_EFFECT = 3;

  /** Largest effect: a twentieth of a VM takes all headroom of an idle service. */
  static final double MAX_EFFECT = 50;

  /** Headroom above this is not told apart: the tail is a few milliseconds then. */
  private static final double MAX_HEADROOM = 10;

  /** Weight of the prior: about that of two starts of a task on a tenth of a VM. */
  private static final double PRIOR_WORK = 0.02;

  /** Maximum work of the evidence of one VM. */
  private static final double MAX_WORK = 0.5;

  /** Changes of work below this fraction of a VM show nothing. */
  private static final double MIN_CHANGE = 0.01;

  /**
   * Headroom below which a tail no longer tells how much capacity is lacking. A change from or to
   * there shows a minimum of the effect only.
   */
  static final double SATURATED_HEADROOM = 0.35;

  /** Maximum size of the evidence of one VM, in bytes; its first report holds all of it. */
  public static final int MAX_LOCAL_BYTES = 48 * 1024;

  /** Best-effort images whose effects are remembered; they are estimated anew beyond it. */
  private static final int MAX_EFFECTS = 4_096;

  private final RecentEvidence<ImagePair, PairEvidence> local =
      RecentEvidence.forMessage(MAX_LOCAL_BYTES, ImagePair::nameBytes);
  private Map<ImagePair, PairEvidence> remote = Map.of();

  /** Estimates by best-effort image and service image, as far as they were asked for. */
  private final Map<String, Map<String, Double>> effects = new HashMap<>();

  /** Replaces the evidence of the fleet. */
  public void setRemoteEvidence(Map<ImagePair, PairEvidence> evidence) {
    remote = Map.copyOf(evidence);
    effects.clear();
  }

  /** Returns the evidence of this VM, as a copy. */
  public Map<ImagePair, PairEvidence> localEvidence() {
    return local.copy();
  }

  /** Returns the estimated effect of the image, from 0 to {@link #MAX_EFFECT}. */
  @Override
  public double effect(String bestEffort, String service) {
    if (effects.size() > MAX_EFFECTS) {
      effects.clear();
    }
    // Owners look effects up for each VM and waiting task.
    return effects
        .computeIfAbsent(bestEffort, unused -> new HashMap<>())
        .computeIfAbsent(service, unused -> estimate(new ImagePair(bestEffort, service)));
  }

  private double estimate(ImagePair pair) {
    PairEvidence sum =
        local
            .getOrDefault(pair, PairEvidence.NONE)
            .plus(remote.getOrDefault(pair, PairEvidence.NONE));
    double effect = (sum.effect() + PRIOR_EFFECT * PRIOR_WORK) / (sum.work() + PRIOR_WORK);
    return Math.min(MAX_EFFECT, Math.max(0, effect));
  }

  /**
   * Records two successive readings of one service task.
   *
   * @param service the image of the service
   * @param before its headroom at the first reading
   * @param after its headroom at the second reading
   * @param changes change of the work of each best-effort image between the readings, as a fraction
   *     of the VM's processors
   */
  public void observe(String service, double before, double after, Map<String, Double> changes) {
    double loss = Math.min(MAX_HEADROOM, before) - Math.min(MAX_HEADROOM, after);
    double predicted = 0;
    Map<String, Double> estimates = new HashMap<>();
    for (Map.Entry<String, Double> change : changes.entrySet()) {
      double effect = effect(change.getKey(), service);
      estimates.put(change.getKey(), effect);
      predicted += effect * limited(change.getValue());
    }
    boolean saturated = Math.min(before, after) < SATURATED_HEADROOM;
    if (saturated && Math.abs(predicted) >= Math.abs(loss)) {
      return;
    }
    for (Map.Entry<String, Double> change : changes.entrySet()) {
      double work = limited(change.getValue());
      if (Math.abs(work) < MIN_CHANGE) {
        continue;
      }
      double unexplained = loss - predicted + estimates.get(change.getKey()) * work;
      PairEvidence seen = new PairEvidence(work * work, work * unexplained);
      ImagePair pair = new ImagePair(change.getKey(), service);
      local.put(pair, local.getOrDefault(pair, PairEvidence.NONE).plus(seen).atMost(MAX_WORK));
      effects.remove(change.getKey());
    }
  }

  /** Returns the change of work within what a VM can do; measurements are rough. */
  private static double limited(double change) {
    return Math.min(1, Math.max(-1, change));
  }
}
