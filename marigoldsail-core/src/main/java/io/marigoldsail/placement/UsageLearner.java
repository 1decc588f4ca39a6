package io.marigoldsail.placement;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.job.Sizes;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Updates the estimates of sizes and interference from usage reports of VMs, which arrive late.
 *
 * <p>Thread-safe.
 */
public final class UsageLearner {
  private static final int MAX_VMS = 4_096;

  /**
   * Rates at which the base pressure, that of an undisturbed service, follows a lower reading and a
   * higher one.
   */
  private static final double FALL_RATE = 0.2;

  private static final double RISE_RATE = 0.01;

  /**
   * One task of a report.
   *
   * @param program the program that it runs
   * @param used the resources that it used, or {@link Sizes#NONE} if unknown
   * @param slowdown its run time as a multiple of that without co-located tasks, or 0 if unknown
   * @param activeShare the fraction of its processors that the guard let it use, 0 to 1
   */
  public record TaskMeasurement(String program, Sizes used, double slowdown, double activeShare) {
    /** Checks the components. */
    public TaskMeasurement {
      requireNonNull(program, "program");
      requireNonNull(used, "used");
    }
  }

  private final SizeEstimates estimates;
  private final Interference interference;
  private final Map<String, Double> basePressure =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
          return size() > MAX_VMS;
        }
      };

  /** Creates a learner that updates the given estimates. */
  public UsageLearner(SizeEstimates estimates, Interference interference) {
    this.estimates = requireNonNull(estimates, "estimates");
    this.interference = requireNonNull(interference, "interference");
  }

  /**
   * Records a report.
   *
   * @param vm the VM's name
   * @param tasks all tasks on it
   * @param pressure tail latency of its service as a multiple of the goal; 0 if unknown
   */
  public synchronized void report(String vm, List<TaskMeasurement> tasks, double pressure) {
    Map<String, Double> present = new HashMap<>();
    tasks.forEach(task -> present.merge(task.program(), task.activeShare(), Double::sum));
    for (TaskMeasurement task : tasks) {
      learn(task, present);
    }
    if (pressure > 0) {
      interference.recordMeasurement(Interference.SERVICE, present, slowdown(vm, pressure));
    }
  }

  private void learn(TaskMeasurement task, Map<String, Double> present) {
    boolean known = !task.used().equals(Sizes.NONE) && task.activeShare() > 0;
    if (known) {
      long unthrottled = (long) (task.used().milliProcessors() / task.activeShare());
      estimates.recordUsage(task.program(), new Sizes(unthrottled, task.used().memoryBytes(), 0));
    }
    if (task.slowdown() > 0) {
      Map<String, Double> others = new HashMap<>(present);
      others.merge(task.program(), -task.activeShare(), Double::sum);
      others.values().removeIf(share -> share <= 0);
      interference.recordMeasurement(task.program(), others, task.slowdown());
    }
  }

  /** Returns the service's pressure as a multiple of its base pressure on this VM. */
  private double slowdown(String vm, double pressure) {
    double base = basePressure.getOrDefault(vm, pressure);
    base += (pressure < base ? FALL_RATE : RISE_RATE) * (pressure - base);
    basePressure.put(vm, base);
    return base <= 0 ? 1 : pressure / base;
  }
}
