package io.marigoldsail.testlib.measure;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The arrivals of a measurement and the changes of targets during it. Immutable.
 *
 * <p>Callers behave the same under every policy: half of the refused or failed requests are
 * retried, at most twice, after the retry delay of the refusal or, for failures, after a second.
 * Each retry is a new call with a new deadline at another entry.
 *
 * @param streams independent streams of arrivals
 * @param changes the changes of targets
 * @param seconds the duration of arrivals, in seconds
 * @param measuredFromSecond the second from which calls are measured; earlier ones are warm-up
 * @param reportIntervalNanos the interval at which side processes update the load that they report;
 *     0 for always current
 */
record LoadPlan(
    ImmutableList<Stream> streams,
    ImmutableList<TargetChange> changes,
    int seconds,
    int measuredFromSecond,
    long reportIntervalNanos) {
  /** The mean service time of an ordinary request, exponentially distributed. */
  static final double MEAN_WORK_MILLIS = 20;

  /** The timeout of an ordinary caller. */
  static final long TIMEOUT_MILLIS = 1_000;

  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * A Poisson stream of arrivals, with uniformly drawn callers and keys.
   *
   * @param load the load as a fraction of the capacity of all targets
   * @param fromSecond the start, in seconds
   * @param toSecond the end, in seconds
   * @param callers the number of callers
   * @param callerPrefix the prefix of caller names
   * @param keys the number of keys
   * @param keyPrefix the prefix of keys
   * @param lengthFactor the factor between the service time and an ordinary one
   */
  record Stream(
      double load,
      double fromSecond,
      double toSecond,
      int callers,
      String callerPrefix,
      int keys,
      String keyPrefix,
      double lengthFactor) {
    /** Returns a stream of ordinary requests of 20 callers and 20 keys, for the whole run. */
    static Stream ordinary(double load) {
      return new Stream(load, 0, Double.MAX_VALUE, 20, "caller-", 20, "key-", 1);
    }

    Stream between(double from, double to) {
      return new Stream(load, from, to, callers, callerPrefix, keys, keyPrefix, lengthFactor);
    }

    Stream withCaller(String caller) {
      return new Stream(load, fromSecond, toSecond, 1, caller, keys, keyPrefix, lengthFactor);
    }

    Stream withKey(String key) {
      return new Stream(load, fromSecond, toSecond, callers, callerPrefix, 1, key, lengthFactor);
    }

    Stream withLengthFactor(double factor) {
      return new Stream(load, fromSecond, toSecond, callers, callerPrefix, keys, keyPrefix, factor);
    }

    boolean isLongRunning() {
      return lengthFactor > 1;
    }
  }

  /**
   * A change of one target at one second: its slowdown factor, and whether it fails all requests.
   */
  record TargetChange(double second, int target, double slowdown, boolean failing) {}

  static LoadPlan of(int seconds, int measuredFromSecond, Stream... streams) {
    return new LoadPlan(
        ImmutableList.copyOf(streams), ImmutableList.of(), seconds, measuredFromSecond, 0);
  }

  LoadPlan with(Stream stream) {
    ImmutableList<Stream> more =
        ImmutableList.<Stream>builder().addAll(streams).add(stream).build();
    return new LoadPlan(more, changes, seconds, measuredFromSecond, reportIntervalNanos);
  }

  LoadPlan with(TargetChange change) {
    ImmutableList<TargetChange> more =
        ImmutableList.<TargetChange>builder().addAll(changes).add(change).build();
    return new LoadPlan(streams, more, seconds, measuredFromSecond, reportIntervalNanos);
  }

  /** Returns the same plan with load reports that are updated at the given interval. */
  LoadPlan withReportInterval(long nanos) {
    return new LoadPlan(streams, changes, seconds, measuredFromSecond, nanos);
  }

  /** Draws the initial calls, without retries, in order of arrival. */
  List<Call.Plan> draw(Deployment deployment, int entries, long seed) {
    checkArgument(entries > 0, "entries is not positive: %s", entries);
    SplittableRandom random = new SplittableRandom(seed);
    List<Call.Plan> plans = new ArrayList<>();
    for (Stream stream : streams) {
      drawStream(stream, deployment, entries, random.split(), plans);
    }
    plans.sort(Comparator.comparingLong(Call.Plan::arrivesAt));
    return plans;
  }

  private void drawStream(
      Stream stream,
      Deployment deployment,
      int entries,
      SplittableRandom random,
      List<Call.Plan> plans) {
    double meanIntervalNanos = NANOS_PER_SECOND / (stream.load() * deployment.capacityPerSecond());
    double endNanos = Math.min(seconds, stream.toSecond()) * NANOS_PER_SECOND;
    double timeNanos =
        stream.fromSecond() * NANOS_PER_SECOND + exponential(random, meanIntervalNanos);
    while (timeNanos < endNanos) {
      plans.add(drawCall(stream, (long) timeNanos, deployment, entries, random));
      timeNanos += exponential(random, meanIntervalNanos);
    }
  }

  private static Call.Plan drawCall(
      Stream stream, long arrivesAt, Deployment deployment, int entries, SplittableRandom random) {
    double meanNanos = MEAN_WORK_MILLIS * stream.lengthFactor() * NANOS_PER_MILLI;
    long timeout = (long) (TIMEOUT_MILLIS * NANOS_PER_MILLI * stream.lengthFactor());
    return new Call.Plan(
        arrivesAt,
        random.nextInt(entries),
        name(stream.callerPrefix(), stream.callers(), random),
        name(stream.keyPrefix(), stream.keys(), random),
        stream.isLongRunning(),
        random.nextInt(100) < 80,
        deployment.drawWork(random, meanNanos),
        timeout,
        deployment.drawMaxRetries(random));
  }

  private static String name(String prefix, int count, SplittableRandom random) {
    return count == 1 ? prefix : prefix + random.nextInt(count);
  }

  private static double exponential(SplittableRandom random, double mean) {
    return -Math.log(1 - random.nextDouble()) * mean;
  }
}
