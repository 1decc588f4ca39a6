package io.marigoldsail.cli.load;

import io.marigoldsail.error.ErrorKind;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Counts answers by kind and keeps the latency of served ones. Safe for any thread. */
final class LoadStatistics {
  private static final long MAX_MICROS = TimeUnit.HOURS.toMicros(1);
  private static final int SIGNIFICANT_DIGITS = 3;

  private final Map<String, LongAdder> byKind = new ConcurrentHashMap<>();
  private final Histogram latencyFromPlan = new ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);
  private final Histogram latencyFromSend = new ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);
  private final Histogram unservedLatency = new ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);

  /**
   * Notes an answer.
   *
   * @param plannedNanos when the request was to leave; latency counts from here
   * @param sentNanos when it left, which is later if the tool was held up
   * @param nowNanos when the answer was whole
   */
  void record(LoadResult answer, long plannedNanos, long sentNanos, long nowNanos) {
    byKind.computeIfAbsent(answer.kind(), kind -> new LongAdder()).increment();
    if (answer.served()) {
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

  /** Returns how many were refused as not run, which their callers may ask again. */
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

  /** Returns the latency of served requests from when they left, in microseconds. */
  Histogram latencyFromSend() {
    return latencyFromSend;
  }

  /** Returns how long those waited that were not served, in microseconds. */
  Histogram unservedLatency() {
    return unservedLatency;
  }
}
