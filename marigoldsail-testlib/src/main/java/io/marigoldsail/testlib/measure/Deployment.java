package io.marigoldsail.testlib.measure;

import com.google.common.collect.ImmutableList;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * The two deployments of today, 11 targets of 8 slots over three availability zones each, and what
 * {@code bin/measure-real} starts.
 */
enum Deployment {
  /** Parking bookings: clients are 3 ms away. */
  VATULELE(3, 11, 1, 3, 9),
  /** Aurora alerts: clients are 1 ms away. */
  KITAMIZORA(1, 11, 1, 3, 9),
  /** Three targets and two entries; work is even and callers don't come back. */
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

  /** The deployments that the users have. */
  static final ImmutableList<Deployment> PRODUCTION = ImmutableList.of(VATULELE, KITAMIZORA);

  private static final int ZONES = 3;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long CROSS_ZONE_LATENCY_NANOS = 1_000_000;

  /** Inside a zone: a fifth of the distance between zones; the users gave no figure. */
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

  /** Returns the numbers of entries that are measured. */
  ImmutableList<Integer> entryCounts() {
    return entryCounts;
  }

  /** Returns how many ordinary requests a second all targets together can serve. */
  double capacityPerSecond() {
    return slots() * 1_000 / LoadPlan.MEAN_WORK_MILLIS;
  }

  int slots() {
    return targets * SLOTS;
  }

  /** Draws how long a healthy target works on a request. */
  long drawWork(SplittableRandom random, double meanNanos) {
    return (long) (-Math.log(1 - random.nextDouble()) * meanNanos);
  }

  /** Draws how often a caller comes back. */
  int drawMaxRetries(SplittableRandom random) {
    return random.nextBoolean() ? 0 : MAX_RETRIES;
  }

  /** Returns the way from a caller to an entry, one way. */
  long clientLatencyNanos() {
    return clientLatencyNanos;
  }

  /** Returns the name of the zone that holds the entry or target of the given number. */
  static String zoneOf(int number) {
    return "zone-" + number % ZONES;
  }

  /** Returns the way between an entry and a target, one way. */
  static long latencyNanos(int entry, int target) {
    return entry % ZONES == target % ZONES ? SAME_ZONE_LATENCY_NANOS : CROSS_ZONE_LATENCY_NANOS;
  }

  /** Returns the pattern's name in this deployment. */
  String patternName(String pattern) {
    return pattern + "@" + name().toLowerCase(Locale.ROOT);
  }
}
