package io.marigoldsail.colocation;

import io.marigoldsail.colocation.Colocation.BestEffortReading;
import io.marigoldsail.colocation.Colocation.ServiceReading;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.ToIntFunction;

/**
 * A VM whose services lose headroom in proportion to the best-effort work beside them and to their
 * own load, which swings. Each step covers one reading.
 */
final class ColocatedVm {
  static final long STEP_MILLIS = 450;

  /** The share of the VM that each best-effort task declares and uses at full speed. */
  static final double SHARE = 0.1;

  private static final double SWING_MILLIS = 14_000;
  private static final long TARGET_MILLIS = 50;

  private final List<String> services;
  private final List<String> tasks = new ArrayList<>();
  private final ImageEffects truth;
  private final double phase;
  private double workDone;
  private int readingsOver;

  ColocatedVm(List<String> services, ImageEffects truth, double phase) {
    this.services = List.copyOf(services);
    this.truth = truth;
    this.phase = phase;
  }

  List<String> tasks() {
    return tasks;
  }

  /** Returns the best-effort work done so far, in processor steps as fractions of the VM. */
  double workDone() {
    return workDone;
  }

  /** Returns how often a service was over its target in a reading. */
  int readingsOver() {
    return readingsOver;
  }

  /** Lets the tasks work for one step at the given speeds, in percent. */
  void work(ToIntFunction<String> percent) {
    for (String task : tasks) {
      workDone += SHARE * percent.applyAsInt(task) / 100;
    }
  }

  List<ServiceReading> serviceReadings(long millis, ToIntFunction<String> percent) {
    List<ServiceReading> readings = new ArrayList<>();
    for (int i = 0; i < services.size(); i++) {
      String image = services.get(i);
      double load = 0.45 * (1 + 0.5 * Math.sin(2 * Math.PI * millis / SWING_MILLIS + phase + i));
      double lost = 0;
      for (String task : tasks) {
        lost += truth.effect(task, image) * SHARE * percent.applyAsInt(task) / 100;
      }
      double headroom = Math.max(0.1, 5 * (1 - load) - lost);
      long tail = Math.round(TARGET_MILLIS / headroom);
      readingsOver += tail > TARGET_MILLIS ? 1 : 0;
      readings.add(ServiceReading.of(image + "#" + i, image, tail, TARGET_MILLIS));
    }
    return readings;
  }

  List<BestEffortReading> bestEffortReadings(ToIntFunction<String> percent) {
    Function<String, BestEffortReading> reading =
        task -> new BestEffortReading(task, SHARE * percent.applyAsInt(task) / 100, SHARE);
    return tasks.stream().map(reading).toList();
  }
}
