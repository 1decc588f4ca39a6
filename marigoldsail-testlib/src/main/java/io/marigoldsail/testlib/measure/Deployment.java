package io.marigoldsail.testlib.measure;

import java.util.Locale;

/** The two deployments of today: 11 targets of 8 slots over three availability zones each. */
enum Deployment {
  /** Parking bookings: clients are 3 ms away. */
  VATULELE(3),
  /** Aurora alerts: clients are 1 ms away. */
  KITAMIZORA(1);

  static final int TARGETS = 11;
  static final int SLOTS = 8;
  private static final int ZONES = 3;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long BETWEEN_ZONES_NANOS = 1_000_000;

  /** Inside a zone: a fifth of the distance between zones; the users gave no figure. */
  private static final long INSIDE_ZONE_NANOS = 200_000;

  private final long clientNanos;

  Deployment(long clientMillis) {
    this.clientNanos = clientMillis * NANOS_PER_MILLI;
  }

  /** Returns the way from a caller to an entry, one way. */
  long clientNanos() {
    return clientNanos;
  }

  /** Returns the name of the zone that holds the entry or target of the given number. */
  static String zoneOf(int number) {
    return "zone-" + number % ZONES;
  }

  /** Returns the way between an entry and a target, one way. */
  static long wayNanos(int entry, int target) {
    return entry % ZONES == target % ZONES ? INSIDE_ZONE_NANOS : BETWEEN_ZONES_NANOS;
  }

  /** Returns the pattern's name in this deployment. */
  String patternName(String pattern) {
    return pattern + "@" + name().toLowerCase(Locale.ROOT);
  }
}
