package io.marigoldsail.testlib.interference;

import com.google.common.collect.ImmutableList;

/** Fleets that differ in what their VMs have and what services book on them. */
public enum FleetShape {
  /** VMs on which a service task books a fifth and a heavy task a tenth. */
  LARGE_VMS(ImmutableList.of(32_000L, 32_000L, 48_000L), 6_400, 3_500, 480, 1.03, 3.1, 9),
  /** VMs of half that size and less, with services that book less of them. */
  SMALL_VMS(ImmutableList.of(16_000L, 16_000L, 24_000L), 2_600, 1_800, 240, 0.9, 4.9, 9);

  /** How many VMs a fleet has. */
  static final int VMS = 11;

  private final ImmutableList<Long> capacities;
  private final double serviceMilli;
  private final double heavyMilli;
  private final double smallMilli;
  private final double heavyPerSecond;
  private final double smallPerSecond;
  private final int services;

  FleetShape(
      ImmutableList<Long> capacities,
      double serviceMilli,
      double heavyMilli,
      double smallMilli,
      double heavyPerSecond,
      double smallPerSecond,
      int services) {
    this.capacities = capacities;
    this.serviceMilli = serviceMilli;
    this.heavyMilli = heavyMilli;
    this.smallMilli = smallMilli;
    this.heavyPerSecond = heavyPerSecond;
    this.smallPerSecond = smallPerSecond;
    this.services = services;
  }

  /** Returns the processors of a VM, in thousandths. */
  long capacityMilli(int vm) {
    return capacities.get(vm % capacities.size());
  }

  /** Returns what a task of a service books on average, in thousandths of a processor. */
  double serviceMilli() {
    return serviceMilli;
  }

  /** Returns what a heavy task declares on average, in thousandths of a processor. */
  double heavyMilli() {
    return heavyMilli;
  }

  /** Returns what a small task books on average, in thousandths of a processor. */
  double smallMilli() {
    return smallMilli;
  }

  /** Returns the heavy workflows that arrive a second, outside bursts. */
  double heavyPerSecond() {
    return heavyPerSecond;
  }

  /** Returns the small workflows that arrive a second. */
  double smallPerSecond() {
    return smallPerSecond;
  }

  /** Returns how many services there are from the beginning. */
  int services() {
    return services;
  }
}
