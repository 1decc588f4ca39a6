package io.marigoldsail.testlib.interference;

import com.google.common.collect.ImmutableSet;
import java.util.function.Supplier;

/** The compared policies: the production policy, and variants with mechanisms disabled. */
enum FleetPolicy {
  /** The production policy. */
  PRODUCT("the product", Pacing::ofProduct),
  /** Without overcommit beyond the base of six processors per VM. */
  NO_OVERCOMMIT("no overcommit", Pacing::ofProduct, Off.OVERCOMMIT),
  /** One throttle percentage for all interfering tasks. */
  SPEED_PACING("one speed for all suspects", SpeedPacing::new),
  /** Without overcommit and with one throttle percentage for all interfering tasks. */
  FORMER("neither of the two", SpeedPacing::new, Off.OVERCOMMIT),
  /** Without throttling. */
  NO_PACING("no pacing", Pacing::none),
  /** Without learning: every image keeps the prior belief. */
  NO_LEARNING("images are not learned", Pacing::ofProduct, Off.LEARNING),
  /** Without a limit on interfering tasks co-located with services. */
  NO_SUSPECT_ROOM("no bound on suspects", Pacing::ofProduct, Off.SUSPECT_ROOM),
  /** Services are placed on the VM with the most free capacity. */
  NO_PACKING("services are not packed", Pacing::ofProduct, Off.PACKING),
  /** First come, first served, not ordered by value. */
  ARRIVAL_ORDER("in the order of arrival", Pacing::ofProduct, Off.ORDER),
  /** Without any of these mechanisms. */
  NAIVE(
      "naive",
      Pacing::none,
      Off.OVERCOMMIT,
      Off.LEARNING,
      Off.SUSPECT_ROOM,
      Off.PACKING,
      Off.ORDER),
  /** Knows the interference of images and the actual run times, and throttles accordingly. */
  ORACLE("oracle", Pacing::none, Off.SUSPECT_ROOM);

  private enum Off {
    OVERCOMMIT,
    LEARNING,
    SUSPECT_ROOM,
    PACKING,
    ORDER
  }

  private final String text;
  private final Supplier<Pacing> pacing;
  private final ImmutableSet<Off> off;

  FleetPolicy(String text, Supplier<Pacing> pacing, Off... off) {
    this.text = text;
    this.pacing = pacing;
    this.off = ImmutableSet.copyOf(off);
  }

  /** Returns the label in the printed table. */
  String text() {
    return text;
  }

  Pacing newPacing() {
    return pacing.get();
  }

  boolean overcommits() {
    return !off.contains(Off.OVERCOMMIT);
  }

  boolean learnsImages() {
    return !off.contains(Off.LEARNING);
  }

  boolean boundsSuspects() {
    return !off.contains(Off.SUSPECT_ROOM);
  }

  boolean packsServices() {
    return !off.contains(Off.PACKING);
  }

  boolean ordersByWorth() {
    return !off.contains(Off.ORDER);
  }

  boolean knowsEffects() {
    return this == ORACLE;
  }
}
