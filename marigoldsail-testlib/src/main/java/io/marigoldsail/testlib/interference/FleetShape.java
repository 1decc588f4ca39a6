package io.marigoldsail.testlib.interference;

import com.google.common.collect.ImmutableList;

/** Fleet sizes, which differ in the capacity of VMs and the processors booked by services. */
public enum FleetShape {
  /** VMs on which a service task books about a fifth of the processors and a heavy task a tenth. */
  LARGE_VMS(ImmutableList.of(32_000L, 32_000L, 48_000L), 6_400, 3_500, 480, 1.03, 3.1, 9),
  /** VMs of half that capacity, with services that book a smaller fraction. */
  SMALL_VMS(ImmutableList.of(16_000L, 16_000L, 24_000L), 2_600, 1_800, 240, 0.9, 4.9, 9);

  /** The number of VMs in a fleet. */
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

  /** Returns the capacity of a VM, in thousandths of a processor. */
  long capacityMilli(int vm) {
    return capacities.get(vm % capacities.size());
  }

  /** Returns the mean booking of a service task, in thousandths of a processor. */
  double serviceMilli() {
    return serviceMilli;
  }

  /** Returns the mean declared size of a heavy task, in thousandths of a processor. */
  double heavyMilli() {
    return heavyMilli;
  }

  /** Returns the mean booking of a small task, in thousandths of a processor. */
  double smallMilli() {
    return smallMilli;
  }

  /** Returns the arrival rate of heavy workflows outside bursts, per second. */
  double heavyPerSecond() {
    return heavyPerSecond;
  }

  /** Returns the arrival rate of small workflows, per second. */
  double smallPerSecond() {
    return smallPerSecond;
  }

  /** Returns the number of services, all of which start at the beginning of the day. */
  int services() {
    return services;
  }
}
