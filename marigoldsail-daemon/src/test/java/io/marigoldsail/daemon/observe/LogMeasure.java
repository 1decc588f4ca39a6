package io.marigoldsail.daemon.observe;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Measures what a log line costs the thread that logs and the whole process. Lines go to standard
 * output, the figures to standard error, as CSV.
 *
 * <p>Arguments: lines a second (0 for as many as can be), lines a burst, seconds. The first fifth
 * of the time is not counted.
 */
public final class LogMeasure {
  private static final EventLog LOG = EventLog.of(LogMeasure.class);
  private static final int MAX_LINES_UNPACED = 200_000;

  private LogMeasure() {}

  /** Runs to its end. */
  public static void main(String[] arguments) {
    int perSecond = Integer.parseInt(arguments[0]);
    int burst = Integer.parseInt(arguments[1]);
    int seconds = Integer.parseInt(arguments[2]);
    LogSetup.install("edge-hall-1", System.out);
    int all = perSecond == 0 ? MAX_LINES_UNPACED : perSecond * seconds;
    long gapNanos = perSecond == 0 ? 0 : TimeUnit.SECONDS.toNanos(burst) / perSecond;
    log(all / 5, burst, gapNanos);
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    OperatingSystemMXBean process =
        ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
    long threadBefore = threads.getCurrentThreadCpuTime();
    long processBefore = process.getProcessCpuTime();
    int lines = all - all / 5;
    log(lines, burst, gapNanos);
    long threadNanos = threads.getCurrentThreadCpuTime() - threadBefore;
    long processNanos = process.getProcessCpuTime() - processBefore;
    System.err.printf(
        "%d,%d,%d,%.2f,%.2f%n",
        perSecond, burst, lines, threadNanos / 1e3 / lines, processNanos / 1e3 / lines);
  }

  private static void log(int lines, int burst, long gapNanos) {
    long next = System.nanoTime();
    for (int i = 0; i < lines; i++) {
      if (i % burst == 0) {
        next += gapNanos;
        awaitNanoTime(next);
      }
      LOG.info(
          LogLine.of("run-ended")
              .with("run", "bc654fb0d2ea4741.0.0.0#" + i)
              .with("vm", "side-hall-2")
              .with("outcome", "STOPPED")
              .with("reason", "listed by the worker")
              .with("ms", 2_047)
              .with("status", "RUNNING"));
    }
  }

  private static void awaitNanoTime(long next) {
    for (long left = next - System.nanoTime(); left > 0; left = next - System.nanoTime()) {
      LockSupport.parkNanos(left);
    }
  }
}
