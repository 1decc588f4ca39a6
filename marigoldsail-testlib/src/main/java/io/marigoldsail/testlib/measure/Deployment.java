package io.marigoldsail.testlib.measure;

import com.google.common.collect.ImmutableList;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * The modelled deployments: the two in production, with 11 targets of 8 slots over three
 * availability zones each, and the one started by {@code bin/measure-real}.
 */
enum Deployment {
  /** Parking bookings, with a client latency of 3 ms. */
  VATULELE(3, 11, 1, 3, 9),
  /** Aurora alerts, with a client latency of 1 ms. */
  KITAMIZORA(1, 11, 1, 3, 9),
  /** Three targets and two entries, with constant service times and callers that do not retry. */
  LOOPBACK(0, 3, 2) {
    @Override
    long drawWork(SplittableRandom random, double meanNanos) {
      return (long) meanNanos;
    }

    @Override
    int drawMaxRetries(SplittableRandom random) {
      return 0;
    }
  };

  static final int SLOTS = 8;

  /** The deployments in production. */
  static final ImmutableList<Deployment> PRODUCTION = ImmutableList.of(VATULELE, KITAMIZORA);

  private static final int ZONES = 3;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long CROSS_ZONE_LATENCY_NANOS = 1_000_000;

  /** An assumption, a fifth of the latency between zones, because no figure is known. */
  private static final long SAME_ZONE_LATENCY_NANOS = 200_000;

  private static final int MAX_RETRIES = 2;

  private final long clientLatencyNanos;
  private final int targets;
  private final ImmutableList<Integer> entryCounts;

  Deployment(long clientMillis, int targets, Integer... entryCounts) {
    this.clientLatencyNanos = clientMillis * NANOS_PER_MILLI;
    this.targets = targets;
    this.entryCounts = ImmutableList.copyOf(entryCounts);
  }

  int targets() {
    return targets;
  }

  /** Returns the numbers of entries to measure. */
  ImmutableList<Integer> entryCounts() {
    return entryCounts;
  }

  /** Returns the capacity of all targets, in ordinary requests per second. */
  double capacityPerSecond() {
    return slots() * 1_000 / LoadPlan.MEAN_WORK_MILLIS;
  }

  int slots() {
    return targets * SLOTS;
  }

  /** Draws the service time of a request at a healthy target, in nanoseconds. */
  long drawWork(SplittableRandom random, double meanNanos) {
    return (long) (-Math.log(1 - random.nextDouble()) * meanNanos);
  }

  /** Draws the maximum number of retries of a caller. */
  int drawMaxRetries(SplittableRandom random) {
    return random.nextBoolean() ? 0 : MAX_RETRIES;
  }

  /** Returns the one-way latency between a caller and an entry, in nanoseconds. */
  long clientLatencyNanos() {
    return clientLatencyNanos;
  }

  /** Returns the name of the zone of the entry or target with the given number. */
  static String zoneOf(int number) {
    return "zone-" + number % ZONES;
  }

  /** Returns the one-way latency between an entry and a target, in nanoseconds. */
  static long latencyNanos(int entry, int target) {
    return entry % ZONES == target % ZONES ? SAME_ZONE_LATENCY_NANOS : CROSS_ZONE_LATENCY_NANOS;
  }

  /** Returns the name of the pattern in this deployment. */
  String patternName(String pattern) {
    return pattern + "@" + name().toLowerCase(Locale.ROOT);
  }
}
