package io.marigoldsail.testlib.measure;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Who asks for what and when, and what happens to the targets meanwhile. Immutable.
 *
 * <p>Callers behave alike under every policy: half of those refused or failed come back, at most
 * twice, refused ones when they were told to, others after a second; each return is a call of its
 * own with a new deadline, given to another entry.
 *
 * @param streams the arrivals, independent of each other
 * @param changes what happens to targets
 * @param seconds how long calls arrive
 * @param measuredFromSecond seconds from which calls count; what came before is for warming up
 * @param reportIntervalNanos how old the loads that side processes report may be; 0 if always fresh
 */
record LoadPlan(
    ImmutableList<Stream> streams,
    ImmutableList<TargetChange> changes,
    int seconds,
    int measuredFromSecond,
    long reportIntervalNanos) {
  /** Mean work of an ordinary request; its distribution is exponential. */
  static final double MEAN_WORK_MILLIS = 20;

  /** How long an ordinary caller waits for its answer. */
  static final long TIMEOUT_MILLIS = 1_000;

  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * Arrivals at random (Poisson), from callers and about keys that are drawn evenly.
   *
   * @param load arrivals as a share of what all targets together can serve
   * @param fromSecond when they begin
   * @param toSecond when they end
   * @param callers names are drawn from this many
   * @param callerPrefix how the names begin
   * @param keys keys are drawn from this many
   * @param keyPrefix how the keys begin
   * @param lengthFactor how many times longer than ordinary the work is
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
    /** Returns ordinary requests from 20 callers about 20 keys, all the time. */
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

  /** What happens to one target at one second: it works so many times slower, or fails. */
  record TargetChange(double second, int target, double slowdown, boolean failing) {}

  static LoadPlan of(int seconds, int measuredFrom, Stream... streams) {
    return new LoadPlan(
        ImmutableList.copyOf(streams), ImmutableList.of(), seconds, measuredFrom, 0);
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

  /** Returns the same load with reports that are renewed only every so many nanoseconds. */
  LoadPlan withReportInterval(long nanos) {
    return new LoadPlan(streams, changes, seconds, measuredFromSecond, nanos);
  }

  /** Draws all first calls in order of arrival. */
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
    double spacing = NANOS_PER_SECOND / (stream.load() * deployment.capacityPerSecond());
    double end = Math.min(seconds, stream.toSecond()) * NANOS_PER_SECOND;
    double time = stream.fromSecond() * NANOS_PER_SECOND + exponential(random, spacing);
    while (time < end) {
      plans.add(drawCall(stream, (long) time, deployment, entries, random));
      time += exponential(random, spacing);
    }
  }

  private static Call.Plan drawCall(
      Stream stream, long arrivesAt, Deployment deployment, int entries, SplittableRandom random) {
    double meanNanos = MEAN_WORK_MILLIS * stream.lengthFactor() * NANOS_PER_MILLI;
    long patience = (long) (TIMEOUT_MILLIS * NANOS_PER_MILLI * stream.lengthFactor());
    return new Call.Plan(
        arrivesAt,
        random.nextInt(entries),
        name(stream.callerPrefix(), stream.callers(), random),
        name(stream.keyPrefix(), stream.keys(), random),
        stream.isLongRunning(),
        random.nextInt(100) < 80,
        deployment.drawWork(random, meanNanos),
        patience,
        deployment.drawMaxRetries(random));
  }

  private static String name(String prefix, int count, SplittableRandom random) {
    return count == 1 ? prefix : prefix + random.nextInt(count);
  }

  private static double exponential(SplittableRandom random, double mean) {
    return -Math.log(1 - random.nextDouble()) * mean;
  }
}
