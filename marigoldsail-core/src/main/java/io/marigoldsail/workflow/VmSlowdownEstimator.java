package io.marigoldsail.workflow;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how many times slower than the rest of the fleet each VM runs its tasks.
 *
 * <p>Guards against VMs that run several times slower for some seconds. The progress of running
 * tasks shows this within a second, ends of tasks only later. Declared run times may be wrong by
 * any factor, but the error does not depend on the VM, so the mean logarithm of measured over
 * declared run time is compared with that of the other VMs. Samples decay within {@link
 * #DECAY_NANOS}, so that a VM that has recovered is used again soon.
 *
 * <p>Confined to one thread. Times are monotonic nanoseconds.
 */
public final class VmSlowdownEstimator {
  /** Time constant of the exponential decay of samples, in nanoseconds. */
  static final long DECAY_NANOS = 4_000_000_000L;

  /** Decayed weight of samples that both sides of a comparison need. */
  static final double MIN_WEIGHT = 2;

  /** Smallest slowdown that is reported; smaller ratios are random variation. */
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
   * Adds a progress sample; ignored unless both durations are positive.
   *
   * @param vm the VM
   * @param workedMillis the progress, in milliseconds of declared run time
   * @param tookMillis the time that it took, in milliseconds
   * @param now monotonic nanoseconds
   */
  public void addSample(String vm, double workedMillis, double tookMillis, long now) {
    if (workedMillis <= 0 || tookMillis <= 0) {
      return;
    }
    Samples samples = samplesByVm.computeIfAbsent(vm, unused -> new Samples());
    samples.decay(now);
    samples.logRatioSum += Math.log(tookMillis / workedMillis);
    samples.weight += 1;
  }

  /**
   * Returns how many times longer tasks take on the VM than on the others; 1 if unknown or less
   * than {@link #MIN_SLOWDOWN}.
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

  /** Drops the samples of a VM that has a new worker. */
  public void reset(String vm) {
    samplesByVm.remove(vm);
  }
}
