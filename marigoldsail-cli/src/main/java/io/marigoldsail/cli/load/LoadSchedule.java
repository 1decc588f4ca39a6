package io.marigoldsail.cli.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Generates the requests of a plan in sending order. Not thread-safe. */
final class LoadSchedule {
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private final LoadPlan plan;
  private final RandomGenerator random;
  private final List<String> callers = new ArrayList<>();
  private final double[] callerBounds;
  private final double[] keyBounds;
  private final double endNanos;
  private long sequence;
  private double nextNanos;

  LoadSchedule(LoadPlan plan, RandomGenerator random) {
    this.plan = plan;
    this.random = random;
    Map<String, Double> sorted = new TreeMap<>(plan.callers());
    callers.addAll(sorted.keySet());
    this.callerBounds = bounds(sorted.values().stream().mapToDouble(w -> w).toArray());
    double[] keyWeights = new double[plan.keys()];
    for (int i = 0; i < keyWeights.length; i++) {
      keyWeights[i] = 1 / Math.pow(i + 1, plan.keySkew());
    }
    this.keyBounds = bounds(keyWeights);
    this.endNanos = TimeUnit.MILLISECONDS.toNanos(plan.durationMillis());
  }

  /** Returns the next request, or empty at the end of the plan. */
  Optional<LoadRequest> next() {
    if (nextNanos >= endNanos) {
      return Optional.empty();
    }
    LoadRequest request =
        new LoadRequest(
            sequence,
            (long) nextNanos,
            plan.urls().get((int) (sequence % plan.urls().size())),
            callers.get(draw(callerBounds)),
            random.nextDouble() >= plan.nonIdempotentShare(),
            keyBounds.length == 0 ? "" : "key-" + draw(keyBounds));
    sequence++;
    double mean = NANOS_PER_SECOND / plan.ratePerSecond();
    nextNanos += plan.evenlySpaced() ? mean : -Math.log(1 - random.nextDouble()) * mean;
    return Optional.of(request);
  }

  private int draw(double[] bounds) {
    double point = random.nextDouble() * bounds[bounds.length - 1];
    int found = java.util.Arrays.binarySearch(bounds, point);
    int index = found >= 0 ? found + 1 : -found - 1;
    return Math.min(index, bounds.length - 1);
  }

  private static double[] bounds(double[] weights) {
    double[] bounds = new double[weights.length];
    double sum = 0;
    for (int i = 0; i < weights.length; i++) {
      sum += weights[i];
      bounds[i] = sum;
    }
    return bounds;
  }
}
