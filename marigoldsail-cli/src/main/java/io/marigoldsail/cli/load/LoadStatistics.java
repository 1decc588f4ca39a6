package io.marigoldsail.cli.load;

import io.marigoldsail.error.ErrorKind;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Counts results by kind and records latencies. Thread-safe. */
final class LoadStatistics {
  private static final long MAX_MICROS = TimeUnit.HOURS.toMicros(1);
  private static final int SIGNIFICANT_DIGITS = 3;

  private final Map<String, LongAdder> byKind = new ConcurrentHashMap<>();
  private final Histogram latencyFromPlan = new ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);
  private final Histogram latencyFromSend = new ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);
  private final Histogram unservedLatency = new ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);

  /**
   * Records a result.
   *
   * @param plannedNanos the planned send time, from which latency is measured
   * @param sentNanos the actual send time, later than planned if the tool was delayed
   * @param nowNanos when the response was complete
   */
  void record(LoadResult result, long plannedNanos, long sentNanos, long nowNanos) {
    byKind.computeIfAbsent(result.kind(), kind -> new LongAdder()).increment();
    if (result.served()) {
      latencyFromPlan.recordValue(micros(nowNanos - plannedNanos));
      latencyFromSend.recordValue(micros(nowNanos - sentNanos));
    } else {
      unservedLatency.recordValue(micros(nowNanos - sentNanos));
    }
  }

  private static long micros(long nanos) {
    return Math.min(MAX_MICROS, Math.max(0, TimeUnit.NANOSECONDS.toMicros(nanos)));
  }

  Map<String, Long> byKind() {
    Map<String, Long> counts = new TreeMap<>();
    byKind.forEach((kind, count) -> counts.put(kind, count.sum()));
    return counts;
  }

  long completed() {
    return byKind.values().stream().mapToLong(LongAdder::sum).sum();
  }

  long served() {
    LongAdder served = byKind.get(LoadResult.SERVED.kind());
    return served == null ? 0 : served.sum();
  }

  /** Returns the number of requests refused as not run, which callers may retry. */
  long refused() {
    long refused = 0;
    for (Map.Entry<String, Long> kind : byKind().entrySet()) {
      boolean notRun =
          ErrorKind.forCode(kind.getKey())
              .filter(error -> error.execution() == ErrorKind.Execution.NOT_RUN)
              .isPresent();
      refused += notRun ? kind.getValue() : 0;
    }
    return refused;
  }

  /** Returns the latency of served requests from their planned time, in microseconds. */
  Histogram latencyFromPlan() {
    return latencyFromPlan;
  }

  /** Returns the latency of served requests from their actual send time, in microseconds. */
  Histogram latencyFromSend() {
    return latencyFromSend;
  }

  /** Returns the latency of requests that were not served, in microseconds. */
  Histogram unservedLatency() {
    return unservedLatency;
  }
}
