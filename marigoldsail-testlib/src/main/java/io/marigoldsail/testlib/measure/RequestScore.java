package io.marigoldsail.testlib.measure;

import java.util.Arrays;
import java.util.List;
import java.util.function.Predicate;

/** Computes the metrics of one run from what its callers received. Immutable. */
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

  /** Returns the score of the calls that arrived between two seconds of the run. */
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

  /** Returns a percentile of the latency of answered calls, in milliseconds. */
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
   * Returns the useful answers that callers received, as work, to what could be done: the capacity
   * of all targets, or what was asked for where that was less.
   */
  double goodputRatio() {
    double useful =
        run.calls().stream()
            .filter(call -> call.result == Call.Result.SERVED && isWithin(call.completedAt))
            .mapToLong(call -> call.plan.workNanos())
            .sum();
    double asked =
        calls(call -> call.retriesLeft == call.plan.maxRetries()).stream()
            .mapToLong(call -> call.plan.workNanos())
            .sum();
    double capacity = (to - from) * NANOS_PER_SECOND * run.deployment().slots();
    return useful / Math.min(asked, capacity);
  }

  /** Returns the useful answers to calls that arrived in the time, as work, to the capacity. */
  double arrivedGoodputRatio() {
    double useful =
        calls(call -> call.result == Call.Result.SERVED).stream()
            .mapToLong(call -> call.plan.workNanos())
            .sum();
    return useful / ((to - from) * NANOS_PER_SECOND * run.deployment().slots());
  }

  /** Returns the share of calls with one of the given results. */
  double share(Predicate<Call> chosen, Call.Result... results) {
    List<Call.Result> wanted = List.of(results);
    List<Call> calls = calls(chosen);
    long matching = calls.stream().filter(call -> wanted.contains(call.result)).count();
    return calls.isEmpty() ? Double.NaN : (double) matching / calls.size();
  }

  /** Returns the longest time from arrival to refusal, in milliseconds; 0 if none was refused. */
  double refusalMillis() {
    return calls(call -> call.result == Call.Result.REFUSED).stream()
        .mapToDouble(Call::latencyMillis)
        .max()
        .orElse(0);
  }

  /** Returns the most tries a call that was sent at all, over any 10 s in steps of a second. */
  double attemptsPerRequest() {
    double most = 0;
    double last = Math.max(from, to - ATTEMPTS_WINDOW_SECONDS);
    for (double start = from; start <= last; start++) {
      RequestScore window = between(start, Math.min(to, start + ATTEMPTS_WINDOW_SECONDS));
      List<Call> sent = window.calls(call -> call.attempts > 0);
      double tries = sent.stream().mapToInt(call -> call.attempts).sum();
      most = Math.max(most, sent.isEmpty() ? 0 : tries / sent.size());
    }
    return most;
  }

  /** Returns the share of all tries that went to one target. */
  double targetShare(int target) {
    long all = run.sends().stream().filter(sent -> isWithin(sent.time())).count();
    long there =
        run.sends().stream()
            .filter(sent -> isWithin(sent.time()) && sent.target() == target)
            .count();
    return all == 0 ? 0 : (double) there / all;
  }

  /**
   * Returns seconds from the given one until the 99th percentile of every later quarter second is
   * at most the given one; the run's length if that never comes.
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
   * Returns seconds from the given one until a target has the given share over the three seconds
   * that follow; the rest of the run if that never comes. Single seconds say little: long requests
   * make the share of a healthy target dip under two thirds for a second.
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
