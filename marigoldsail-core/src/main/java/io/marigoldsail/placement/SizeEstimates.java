package io.marigoldsail.placement;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.job.JobSpec;
import io.marigoldsail.job.Programs;
import io.marigoldsail.job.Sizes;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What a task is booked at: what its program was measured to use, not only what its job declares.
 *
 * <p>Load pattern: declared sizes several times too large leave a fleet half empty; declared sizes
 * too small fill VMs beyond what they hold. Memory and accelerators cannot be taken back from a
 * running task, so memory is booked at the larger of declared and measured; processors are booked
 * at the measured use, below what was declared too, because the guard can throttle what uses more.
 *
 * <p>Estimates rise at once and fall slowly, because a booking that was too small hurts the
 * neighbours and one that was too large only waits. Bounded; programs not seen for long are
 * forgotten. Safe for any thread.
 */
public final class SizeEstimates {
  /** Programs are believed after so many measurements. */
  static final int MIN_MEASUREMENTS = 5;

  private static final int MAX_PROGRAMS = 4_096;
  private static final double FALL_RATE = 0.05;

  /** Booked beyond the measured processors, up to what was declared. */
  private static final double PROCESSOR_PERCENT = 115;

  /** Booked beyond the measured memory, where more was measured than declared. */
  private static final double MEMORY_PERCENT = 110;

  /** However little was measured, a task is booked at this part of what it declared. */
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

  /** Creates estimates that have seen nothing. */
  public SizeEstimates() {}

  /** Takes in what a task of a program was measured to use. */
  public synchronized void recordUsage(String program, Sizes used) {
    requireNonNull(used, "used");
    Estimate estimate = byProgram.computeIfAbsent(program, unused -> new Estimate());
    estimate.milliProcessors = follow(estimate.milliProcessors, (double) used.milliProcessors());
    estimate.memoryBytes = follow(estimate.memoryBytes, (double) used.memoryBytes());
    estimate.measurements = Math.min(MIN_MEASUREMENTS, estimate.measurements + 1);
  }

  /** Returns what to book for a task of the job. */
  public synchronized Sizes booking(JobSpec spec) {
    Sizes declared = spec.sizes();
    Estimate estimate = byProgram.get(Programs.nameOf(spec.team(), spec.command()));
    if (estimate == null || estimate.measurements < MIN_MEASUREMENTS) {
      return declared;
    }
    double mostProcessors = Math.max((double) declared.milliProcessors(), estimate.milliProcessors);
    double wanted = estimate.milliProcessors * PROCESSOR_PERCENT / 100;
    double least = declared.milliProcessors() * MIN_DECLARED_FRACTION;
    double processors = Math.max(least, Math.min(mostProcessors, wanted));
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
