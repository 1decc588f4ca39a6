package io.marigoldsail.workflow;

import java.util.HashMap;
import java.util.Map;

/**
 * How fast each VM is against the others, by how far running tasks get.
 *
 * <p>Load pattern: some VMs turn several times slower for seconds. What waits for the ends of their
 * tasks learns of it late; progress shows it within a second. Declared run times are off by any
 * factor, but not by VM, so the mean of the logarithm of a VM's pace is compared with that of the
 * fleet. Samples fade within {@link #FADE_NANOS}, so that a VM that recovered is believed soon.
 *
 * <p>Confined to one thread. Times are monotonic nanoseconds.
 */
public final class VmSpeed {
  /** How long a sample counts, in nanoseconds. */
  static final long FADE_NANOS = 4_000_000_000L;

  /** Samples that a VM needs before it is judged, in their present weight. */
  static final double LEAST_WEIGHT = 2;

  /** A VM this many times slower than the others at least counts as slow; less is chance. */
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
   * Takes a sample.
   *
   * @param vm where
   * @param workedMillis what was done, in milliseconds of declared run time
   * @param tookMillis how long it took
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

  /**
   * Returns how many times as long as elsewhere tasks take on the VM; 1 if nothing speaks for it.
   */
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

  /** Forgets a VM that has a new worker. */
  public void renewed(String vm) {
    paces.remove(vm);
  }
}
