package io.marigoldsail.testlib.measure;

import java.util.Arrays;
import java.util.List;
import java.util.function.Predicate;

/** Computes the metrics of a run from the results of its callers. Immutable. */
final class RequestScore {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double WINDOW_SECONDS = 0.25;
  private static final double SHARE_WINDOW_SECONDS = 3;
  private static final double ATTEMPTS_WINDOW_SECONDS = 10;

  private final RequestBench.Record run;
  private final double from;
  private final double to;

  RequestScore(RequestBench.Record run) {
    this(run, run.plan().measuredFromSecond(), run.plan().seconds());
  }

  private RequestScore(RequestBench.Record run, double from, double to) {
    this.run = run;
    this.from = from;
    this.to = to;
  }

  /** Returns the score restricted to the given range of seconds of the run. */
  RequestScore between(double newFrom, double newTo) {
    return new RequestScore(run, newFrom, newTo);
  }

  static Predicate<Call> all() {
    return call -> true;
  }

  private List<Call> calls(Predicate<Call> chosen) {
    return run.calls().stream()
        .filter(call -> isWithin(call.arrivedAt) && chosen.test(call))
        .toList();
  }

  private boolean isWithin(long time) {
    return time >= from * NANOS_PER_SECOND && time < to * NANOS_PER_SECOND;
  }

  /**
   * Returns a percentile of the latency of completed calls, in milliseconds; NaN if there are none.
   */
  double percentileMillis(double percent, Predicate<Call> chosen) {
    double[] latencies =
        calls(chosen).stream()
            .filter(call -> call.result == Call.Result.SERVED || call.result == Call.Result.LATE)
            .mapToDouble(Call::latencyMillis)
            .toArray();
    if (latencies.length == 0) {
      return Double.NaN;
    }
    Arrays.sort(latencies);
    int index = (int) Math.ceil(percent / 100 * latencies.length) - 1;
    return latencies[Math.max(0, index)];
  }

  /**
   * Returns the ratio of the work of responses received before their deadline to the achievable
   * work, which is the smaller of the capacity of all targets and the requested work.
   */
  double goodputRatio() {
    double usefulWork =
        run.calls().stream()
            .filter(call -> call.result == Call.Result.SERVED && isWithin(call.completedAt))
            .mapToLong(call -> call.plan.workNanos())
            .sum();
    double requestedWork =
        calls(call -> call.retriesLeft == call.plan.maxRetries()).stream()
            .mapToLong(call -> call.plan.workNanos())
            .sum();
    double capacity = (to - from) * NANOS_PER_SECOND * run.deployment().slots();
    return usefulWork / Math.min(requestedWork, capacity);
  }

  /** Returns the ratio of the work of served calls that arrived in the range to the capacity. */
  double arrivedGoodputRatio() {
    double usefulWork =
        calls(call -> call.result == Call.Result.SERVED).stream()
            .mapToLong(call -> call.plan.workNanos())
            .sum();
    return usefulWork / ((to - from) * NANOS_PER_SECOND * run.deployment().slots());
  }

  /** Returns the fraction of calls with one of the given results; NaN if there are no calls. */
  double share(Predicate<Call> chosen, Call.Result... results) {
    List<Call.Result> wanted = List.of(results);
    List<Call> calls = calls(chosen);
    long matching = calls.stream().filter(call -> wanted.contains(call.result)).count();
    return calls.isEmpty() ? Double.NaN : (double) matching / calls.size();
  }

  /** Returns the maximum time from arrival to refusal, in milliseconds; 0 if none was refused. */
  double refusalMillis() {
    return calls(call -> call.result == Call.Result.REFUSED).stream()
        .mapToDouble(Call::latencyMillis)
        .max()
        .orElse(0);
  }

  /**
   * Returns the maximum of mean attempts per sent call, over windows of 10 s that start every
   * second.
   */
  double attemptsPerRequest() {
    double max = 0;
    double lastStart = Math.max(from, to - ATTEMPTS_WINDOW_SECONDS);
    for (double start = from; start <= lastStart; start++) {
      RequestScore window = between(start, Math.min(to, start + ATTEMPTS_WINDOW_SECONDS));
      List<Call> sent = window.calls(call -> call.attempts > 0);
      double tries = sent.stream().mapToInt(call -> call.attempts).sum();
      max = Math.max(max, sent.isEmpty() ? 0 : tries / sent.size());
    }
    return max;
  }

  /** Returns the fraction of all attempts sent to one target. */
  double targetShare(int target) {
    long total = run.sends().stream().filter(sent -> isWithin(sent.time())).count();
    long toTarget =
        run.sends().stream()
            .filter(sent -> isWithin(sent.time()) && sent.target() == target)
            .count();
    return total == 0 ? 0 : (double) toTarget / total;
  }

  /**
   * Returns the seconds after the given one until the 99th percentile of every later window of a
   * quarter second is at most the given one; the rest of the run if this is not reached.
   */
  double recoverySeconds(double since, double p99Millis) {
    double recovered = 0;
    for (double start = since; start + WINDOW_SECONDS <= to; start += WINDOW_SECONDS) {
      RequestScore window = between(start, start + WINDOW_SECONDS);
      boolean good = window.percentileMillis(99, all()) <= p99Millis;
      boolean answered = window.share(all(), Call.Result.SERVED) > 0.95;
      if (!good || !answered) {
        recovered = start + WINDOW_SECONDS - since;
      }
    }
    return recovered;
  }

  /**
   * Returns the seconds after the given one until a target has the given share of attempts over the
   * following three seconds; the rest of the run if this is not reached. Shorter windows are too
   * noisy: long requests reduce the share of a healthy target below two thirds for a second.
   */
  double shareRecoverySeconds(double since, int target, double share) {
    for (double start = since; start + SHARE_WINDOW_SECONDS <= to; start++) {
      if (between(start, start + SHARE_WINDOW_SECONDS).targetShare(target) >= share) {
        return start - since;
      }
    }
    return to - since;
  }
}
