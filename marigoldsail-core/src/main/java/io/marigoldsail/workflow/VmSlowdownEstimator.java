package io.marigoldsail.workflow;

import java.util.HashMap;
import java.util.Map;

/**
 * How fast each VM is against the others, by how far running tasks get.
 *
 * <p>Load pattern: some VMs turn several times slower for seconds. What waits for the ends of their
 * tasks learns of it late; progress shows it within a second. Declared run times are off by any
 * factor, but not by VM, so the mean of the logarithm of a VM's pace is compared with that of the
 * fleet. Samples fade within {@link #DECAY_NANOS}, so that a VM that recovered is believed soon.
 *
 * <p>Confined to one thread. Times are monotonic nanoseconds.
 */
public final class VmSlowdownEstimator {
  /** How long a sample counts, in nanoseconds. */
  static final long DECAY_NANOS = 4_000_000_000L;

  /** Samples that a VM needs before it is judged, in their present weight. */
  static final double MIN_WEIGHT = 2;

  /** A VM this many times slower than the others at least counts as slow; less is chance. */
  static final double MIN_SLOWDOWN = 2;

  private static final class Samples {
    private double logRatioSum;
    private double weight;
    private long updatedAt;

    void decay(long now) {
      double factor = Math.exp(-(double) (now - updatedAt) / DECAY_NANOS);
      logRatioSum *= factor;
      weight *= factor;
      updatedAt = now;
    }
  }

  private final Map<String, Samples> samplesByVm = new HashMap<>();

  /**
   * Takes a sample.
   *
   * @param vm where
   * @param workedMillis what was done, in milliseconds of declared run time
   * @param tookMillis how long it took
   */
  public void addSample(String vm, double workedMillis, double tookMillis, long now) {
    if (workedMillis <= 0 || tookMillis <= 0) {
      return;
    }
    Samples pace = samplesByVm.computeIfAbsent(vm, unused -> new Samples());
    pace.decay(now);
    pace.logRatioSum += Math.log(tookMillis / workedMillis);
    pace.weight += 1;
  }

  /**
   * Returns how many times as long as elsewhere tasks take on the VM; 1 if nothing speaks for it.
   */
  public double slowdown(String vm, long now) {
    Samples own = samplesByVm.get(vm);
    if (own == null) {
      return 1;
    }
    own.decay(now);
    double sum = 0;
    double weight = 0;
    for (Map.Entry<String, Samples> other : samplesByVm.entrySet()) {
      if (!other.getKey().equals(vm)) {
        other.getValue().decay(now);
        sum += other.getValue().logRatioSum;
        weight += other.getValue().weight;
      }
    }
    if (own.weight < MIN_WEIGHT || weight < MIN_WEIGHT) {
      return 1;
    }
    double ratio = Math.exp(own.logRatioSum / own.weight - sum / weight);
    return ratio < MIN_SLOWDOWN ? 1 : ratio;
  }

  /** Forgets a VM that has a new worker. */
  public void reset(String vm) {
    samplesByVm.remove(vm);
  }
}
