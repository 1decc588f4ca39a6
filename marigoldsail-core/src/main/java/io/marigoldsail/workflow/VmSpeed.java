package io.marigoldsail.workflow;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how many times slower than the rest of the fleet each VM runs its tasks.
 *
 * <p>Guards against VMs that run several times slower for some seconds. The progress of running tasks shows this within a second, ends of tasks only later. Declared run times may be wrong by any factor, but the error does not depend on the VM, so the mean logarithm of measured over declared run time is compared with that of the other VMs. Samples decay within {@link #FADE_NANOS}, so that a VM that has recovered is used again soon.
 *
 * <p>Confined to one thread. Times are monotonic nanoseconds.
 */
public final class VmSpeed {
  /** Time constant of the exponential decay of samples, in nanoseconds. */
  static final long FADE_NANOS = 4_000_000_000L;

  /** Decayed weight of samples that both sides of a comparison need. */
  static final double LEAST_WEIGHT = 2;

  /** Smallest slowdown that is reported; smaller ratios are random variation. */
  static final double SLOW = 2;

  private static final class Pace {
    private double sum;
    private double weight;
    private long at;

    void fade(long now) {
      double factor = Math.exp(-(double) (now - at) / FADE_NANOS);
      sum *= factor;
      weight *= factor;
      at = now;
    }
  }

  private final Map<String, Pace> paces = new HashMap<>();

  /**
   * Adds a progress sample; ignored unless both durations are positive.
   *
   * @param vm the VM
   * @param workedMillis the progress, in milliseconds of declared run time
   * @param tookMillis the time that it took, in milliseconds
   * @param now monotonic nanoseconds
   */
  public void sample(String vm, double workedMillis, double tookMillis, long now) {
    if (workedMillis <= 0 || tookMillis <= 0) {
      return;
    }
    Pace pace = paces.computeIfAbsent(vm, unused -> new Pace());
    pace.fade(now);
    pace.sum += Math.log(tookMillis / workedMillis);
    pace.weight += 1;
  }

  /** Returns how many times longer tasks take on the VM than on the others; 1 if unknown or less than {@link #SLOW}. */
  public double slowness(String vm, long now) {
    Pace own = paces.get(vm);
    if (own == null) {
      return 1;
    }
    own.fade(now);
    double sum = 0;
    double weight = 0;
    for (Map.Entry<String, Pace> other : paces.entrySet()) {
      if (!other.getKey().equals(vm)) {
        other.getValue().fade(now);
        sum += other.getValue().sum;
        weight += other.getValue().weight;
      }
    }
    if (own.weight < LEAST_WEIGHT || weight < LEAST_WEIGHT) {
      return 1;
    }
    double ratio = Math.exp(own.sum / own.weight - sum / weight);
    return ratio < SLOW ? 1 : ratio;
  }

  /** Drops the samples of a VM that has a new worker. */
  public void renewed(String vm) {
    paces.remove(vm);
  }
}
