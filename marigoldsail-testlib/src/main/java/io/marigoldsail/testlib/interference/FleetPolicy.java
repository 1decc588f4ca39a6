package io.marigoldsail.testlib.interference;

import com.google.common.collect.ImmutableSet;
import java.util.function.Supplier;

/** Policies that are compared: the product's, and the same with one mechanism switched off. */
enum FleetPolicy {
  /** The product as it is. */
  PRODUCT("the product", Throttling::ofProduct),
  /** What is booked counts as used, but for six processors. */
  NO_OVERCOMMIT("no overcommit", Throttling::ofProduct, Mechanism.OVERCOMMIT),
  /** One speed for all suspects. */
  UNIFORM_THROTTLING("one speed for all suspects", UniformThrottling::new),
  /** Both as in an earlier version. */
  NO_OVERCOMMIT_UNIFORM_THROTTLING(
      "neither of the two", UniformThrottling::new, Mechanism.OVERCOMMIT),
  /** Nothing is slowed down. */
  NO_THROTTLING("no pacing", Throttling::none),
  /** All images stay unknown. */
  NO_LEARNING("images are not learned", Throttling::ofProduct, Mechanism.LEARNING),
  /** As many suspects beside services as have room. */
  NO_INTERFERENCE_BUDGET(
      "no bound on suspects", Throttling::ofProduct, Mechanism.INTERFERENCE_BUDGET),
  /** Services stand where most room is. */
  NO_PACKING("services are not packed", Throttling::ofProduct, Mechanism.PACKING),
  /** First come, first served. */
  ARRIVAL_ORDER("in the order of arrival", Throttling::ofProduct, Mechanism.VALUE_ORDER),
  /** None of all that. */
  NAIVE(
      "naive",
      Throttling::none,
      Mechanism.OVERCOMMIT,
      Mechanism.LEARNING,
      Mechanism.INTERFERENCE_BUDGET,
      Mechanism.PACKING,
      Mechanism.VALUE_ORDER),
  /** Knows what images do and how long tasks take, and slows down by it. */
  ORACLE("oracle", Throttling::none, Mechanism.INTERFERENCE_BUDGET);

  private enum Mechanism {
    OVERCOMMIT,
    LEARNING,
    INTERFERENCE_BUDGET,
    PACKING,
    VALUE_ORDER
  }

  private final String label;
  private final Supplier<Throttling> throttling;
  private final ImmutableSet<Mechanism> disabled;

  FleetPolicy(String text, Supplier<Throttling> pacing, Mechanism... off) {
    this.label = text;
    this.throttling = pacing;
    this.disabled = ImmutableSet.copyOf(off);
  }

  /** Returns the words for pages. */
  String label() {
    return label;
  }

  Throttling newThrottling() {
    return throttling.get();
  }

  boolean overcommits() {
    return !disabled.contains(Mechanism.OVERCOMMIT);
  }

  boolean learnsImages() {
    return !disabled.contains(Mechanism.LEARNING);
  }

  boolean limitsInterference() {
    return !disabled.contains(Mechanism.INTERFERENCE_BUDGET);
  }

  boolean packsServices() {
    return !disabled.contains(Mechanism.PACKING);
  }

  boolean ordersByValue() {
    return !disabled.contains(Mechanism.VALUE_ORDER);
  }

  boolean knowsEffects() {
    return this == ORACLE;
  }
}
