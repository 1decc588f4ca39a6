package io.marigoldsail.testlib.interference;

import com.google.common.collect.ImmutableSet;
import java.util.function.Supplier;

/** The compared policies: the production policy, and variants with mechanisms disabled. */
enum FleetPolicy {
  /** The production policy. */
  PRODUCT("the product", Throttling::ofProduct),
  /** Without overcommit beyond the base of six processors per VM. */
  NO_OVERCOMMIT("no overcommit", Throttling::ofProduct, Mechanism.OVERCOMMIT),
  /** One throttle percentage for all interfering tasks. */
  UNIFORM_THROTTLING("one speed for all suspects", UniformThrottling::new),
  /** Without overcommit and with one throttle percentage for all interfering tasks. */
  NO_OVERCOMMIT_UNIFORM_THROTTLING(
      "neither of the two", UniformThrottling::new, Mechanism.OVERCOMMIT),
  /** Without throttling. */
  NO_THROTTLING("no pacing", Throttling::none),
  /** Without learning: every image keeps the prior belief. */
  NO_LEARNING("images are not learned", Throttling::ofProduct, Mechanism.LEARNING),
  /** Without a limit on interfering tasks co-located with services. */
  NO_INTERFERENCE_BUDGET(
      "no bound on suspects", Throttling::ofProduct, Mechanism.INTERFERENCE_BUDGET),
  /** Services are placed on the VM with the most free capacity. */
  NO_PACKING("services are not packed", Throttling::ofProduct, Mechanism.PACKING),
  /** First come, first served, not ordered by value. */
  ARRIVAL_ORDER("in the order of arrival", Throttling::ofProduct, Mechanism.VALUE_ORDER),
  /** Without any of these mechanisms. */
  NAIVE(
      "naive",
      Throttling::none,
      Mechanism.OVERCOMMIT,
      Mechanism.LEARNING,
      Mechanism.INTERFERENCE_BUDGET,
      Mechanism.PACKING,
      Mechanism.VALUE_ORDER),
  /** Knows the interference of images and the actual run times, and throttles accordingly. */
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

  /** Returns the label in the printed table. */
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
