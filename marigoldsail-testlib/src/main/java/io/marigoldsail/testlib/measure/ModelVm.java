package io.marigoldsail.testlib.measure;

import io.marigoldsail.guard.ServiceReading;
import io.marigoldsail.guard.TailWindow;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.HdrHistogram.Histogram;

/**
 * A VM in the model: a service whose latency increases with the processor demand and interference
 * of the co-located tasks, and batch tasks that slow down each other.
 */
final class ModelVm {
  static final long PROCESSORS = 16_000;
  static final double TARGET_MILLIS = 45;

  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final double BASE_MILLIS = 10;
  private static final double LOG_SPREAD = 0.5;
  private static final int SAMPLES_PER_STEP = 10;
  private static final long REPORT_LAG_MILLIS = 1_000;
  private static final long WINDOW_NANOS = 2_000 * NANOS_PER_MILLI;

  private record Response(long atMillis, double latencyMillis) {}

  private final String name;
  private final List<ModelTask> tasks = new ArrayList<>();
  private final TailWindow window = new TailWindow(WINDOW_NANOS);
  private final ArrayDeque<Response> delayedResponses = new ArrayDeque<>();
  private boolean dead;
  private boolean failsAllTasks;

  ModelVm(String name) {
    this.name = name;
  }

  String name() {
    return name;
  }

  List<ModelTask> tasks() {
    return tasks;
  }

  boolean dead() {
    return dead;
  }

  void fail() {
    dead = true;
    tasks.clear();
  }

  boolean failsAllTasks() {
    return failsAllTasks;
  }

  void failAllTasks() {
    failsAllTasks = true;
  }

  /**
   * Serves the requests of a step at the given processor demand of the service and records their
   * latencies.
   */
  void serve(long serviceMilliProcessors, Random random, long nowMillis, Histogram latencies) {
    double factor = contention(serviceMilliProcessors) * (1 + serviceSlowdown());
    for (int i = 0; i < SAMPLES_PER_STEP; i++) {
      double latency = BASE_MILLIS * Math.exp(LOG_SPREAD * random.nextGaussian()) * factor;
      latencies.recordValue((long) (latency * 1_000));
      delayedResponses.add(new Response(nowMillis, latency));
    }
    while (delayedResponses.peek().atMillis() + REPORT_LAG_MILLIS <= nowMillis) {
      Response response = delayedResponses.poll();
      window.add((long) (response.latencyMillis() * NANOS_PER_MILLI), nowMillis * NANOS_PER_MILLI);
    }
  }

  Optional<ServiceReading> reading(long nowMillis) {
    return window.reading(TARGET_MILLIS, nowMillis * NANOS_PER_MILLI);
  }

  /** Advances the tasks by a step and returns the work done, in milliseconds. */
  double work(long serviceMilliProcessors, double millis, long nowMillis) {
    double contention = contention(serviceMilliProcessors);
    double done = 0;
    for (ModelTask task : tasks) {
      done += task.advance(millis, contention * slowdown(task), nowMillis);
    }
    return done;
  }

  /** Returns the slowdown factor of the task caused by co-located tasks. */
  double slowdown(ModelTask task) {
    boolean conflicting =
        tasks.stream()
            .anyMatch(other -> other.kind().program().equals(task.kind().conflictingProgram()));
    return conflicting ? TaskKind.CONFLICT_SLOWDOWN : 1;
  }

  private double serviceSlowdown() {
    return tasks.stream()
        .mapToDouble(task -> task.kind().serviceSlowdown() * task.throttleFraction())
        .sum();
  }

  private double contention(long serviceMilliProcessors) {
    double demand = serviceMilliProcessors;
    for (ModelTask task : tasks) {
      demand += task.kind().milliProcessors() * task.throttleFraction();
    }
    double overload = Math.max(1, demand / PROCESSORS);
    return overload * overload;
  }
}
