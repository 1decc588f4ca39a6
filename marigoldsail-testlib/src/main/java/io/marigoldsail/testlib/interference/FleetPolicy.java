package io.marigoldsail.testlib.interference;

import com.google.common.collect.ImmutableSet;
import java.util.function.Supplier;

/** Policies that are compared: the product's, and the same with one mechanism switched off. */
enum FleetPolicy {
  /** The product as it is. */
  PRODUCT("the product", Pacing::ofProduct),
  /** What is booked counts as used, but for six processors. */
  NO_OVERCOMMIT("no overcommit", Pacing::ofProduct, Off.OVERCOMMIT),
  /** One speed for all suspects. */
  SPEED_PACING("one speed for all suspects", SpeedPacing::new),
  /** Both as in an earlier version. */
  FORMER("neither of the two", SpeedPacing::new, Off.OVERCOMMIT),
  /** Nothing is slowed down. */
  NO_PACING("no pacing", Pacing::none),
  /** All images stay unknown. */
  NO_LEARNING("images are not learned", Pacing::ofProduct, Off.LEARNING),
  /** As many suspects beside services as have room. */
  NO_SUSPECT_ROOM("no bound on suspects", Pacing::ofProduct, Off.SUSPECT_ROOM),
  /** Services stand where most room is. */
  NO_PACKING("services are not packed", Pacing::ofProduct, Off.PACKING),
  /** First come, first served. */
  ARRIVAL_ORDER("in the order of arrival", Pacing::ofProduct, Off.ORDER),
  /** None of all that. */
  NAIVE(
      "naive",
      Pacing::none,
      Off.OVERCOMMIT,
      Off.LEARNING,
      Off.SUSPECT_ROOM,
      Off.PACKING,
      Off.ORDER),
  /** Knows what images do and how long tasks take, and slows down by it. */
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

  /** Returns the words for pages. */
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
