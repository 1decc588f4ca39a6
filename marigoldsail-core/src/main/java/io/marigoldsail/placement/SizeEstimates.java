package io.marigoldsail.placement;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.job.JobSpec;
import io.marigoldsail.job.Programs;
import io.marigoldsail.job.Sizes;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates the resources to book for a task from the measured usage of its program and the
 * declared sizes.
 *
 * <p>Declared sizes that are several times too large leave a fleet half empty; those that are too
 * small overload VMs. Memory and accelerators cannot be taken back from a running task, so memory
 * is booked at the larger of declared and measured. Processors are booked at the measured use, even
 * below the declared one, because the guard can throttle tasks that use more.
 *
 * <p>Estimates rise at once and fall slowly, because too small a booking slows neighbours down, and
 * too large a one only delays work. Bounded; the programs least recently used are evicted.
 * Thread-safe.
 */
public final class SizeEstimates {
  /** Measurements of a program before its estimate is used. */
  static final int MIN_MEASUREMENTS = 5;

  private static final int MAX_PROGRAMS = 4_096;
  private static final double FALL_RATE = 0.05;

  /** Booked processors as a percentage of the measured ones, up to the declared ones. */
  private static final double PROCESSOR_PERCENT = 115;

  /** Booked memory as a percentage of the measured memory, if that exceeds the declared memory. */
  private static final double MEMORY_PERCENT = 110;

  /** Minimum fraction of the declared processors that is booked. */
  private static final double MIN_DECLARED_FRACTION = 0.1;

  private static final class Estimate {
    private double milliProcessors;
    private double memoryBytes;
    private int measurements;
  }

  private final Map<String, Estimate> byProgram =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Estimate> eldest) {
          return size() > MAX_PROGRAMS;
        }
      };

  /** Creates estimates without measurements. */
  public SizeEstimates() {}

  /** Records the measured usage of a task of a program. */
  public synchronized void recordUsage(String program, Sizes used) {
    requireNonNull(used, "used");
    Estimate estimate = byProgram.computeIfAbsent(program, unused -> new Estimate());
    estimate.milliProcessors = follow(estimate.milliProcessors, (double) used.milliProcessors());
    estimate.memoryBytes = follow(estimate.memoryBytes, (double) used.memoryBytes());
    estimate.measurements = Math.min(MIN_MEASUREMENTS, estimate.measurements + 1);
  }

  /** Returns the resources to book for a task of the job. */
  public synchronized Sizes booking(JobSpec spec) {
    Sizes declared = spec.sizes();
    Estimate estimate = byProgram.get(Programs.nameOf(spec.team(), spec.command()));
    if (estimate == null || estimate.measurements < MIN_MEASUREMENTS) {
      return declared;
    }
    double maxProcessors = Math.max((double) declared.milliProcessors(), estimate.milliProcessors);
    double wanted = estimate.milliProcessors * PROCESSOR_PERCENT / 100;
    double least = declared.milliProcessors() * MIN_DECLARED_FRACTION;
    double processors = Math.max(least, Math.min(maxProcessors, wanted));
    boolean larger = estimate.memoryBytes > declared.memoryBytes();
    double memory =
        larger ? estimate.memoryBytes * MEMORY_PERCENT / 100 : (double) declared.memoryBytes();
    return new Sizes(
        (long) Math.ceil(processors), (long) Math.ceil(memory), declared.accelerators());
  }

  private static double follow(double estimate, double measured) {
    return measured >= estimate ? measured : estimate + FALL_RATE * (measured - estimate);
  }
}
