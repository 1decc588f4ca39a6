package io.marigoldsail.testlib.interference;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.workflow.StepSpec;
import io.marigoldsail.workflow.WorkflowSpec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * All that happens on one day, whatever a policy does: arrivals, hidden effects, faults.
 *
 * <p>Immutable. The same shape and seed make the same day, so policies are compared in pairs.
 */
final class FleetDay {
  /** Whose tasks all VMs run. */
  static final String SERVICE = "service";

  /** When the last workflow arrives, in milliseconds. */
  static final long LAST_ARRIVAL_MILLIS = 34_000;

  /** When the day ends, in milliseconds. */
  static final long END_MILLIS = 52_000;

  /** How far services are ahead of the first other work, in milliseconds. */
  static final long LEAD_MILLIS = 6_000;

  private static final int HEAVY_IMAGES = 9;
  private static final double INTERFERING_SHARE = 0.6;
  private static final double MIN_INTERFERING_PRESSURE = 0.3;
  private static final double LOAD = 0.45;
  private static final double LOAD_SWING = 0.5;
  private static final double LOAD_PERIOD_MILLIS = 14_000;
  private static final double PRESSURE_SWING = 0.3;
  private static final long TASK_MEMORY_BYTES = 1L << 30;

  /** How an image presses on services, swinging within seconds. */
  private record Image(double pressure, double phase, double periodMillis) {
    double pressureAt(long millis) {
      double swing = Math.sin(2 * Math.PI * millis / periodMillis + phase);
      return pressure * (1 + PRESSURE_SWING * swing);
    }
  }

  /** A time during which something is out of order on a VM. */
  private record FaultInterval(int vm, long fromMillis, long untilMillis) {
    boolean covers(int which, long millis) {
      return vm == which && millis >= fromMillis && millis < untilMillis;
    }
  }

  private final FleetShape shape;
  private final long seed;
  private final ImmutableList<WorkflowArrival> arrivals;
  private final ImmutableList<Image> images;
  private final ImmutableList<FaultInterval> slowIntervals;
  private final ImmutableList<FaultInterval> lossIntervals;
  private final FaultInterval schedulerOutage;

  private FleetDay(FleetShape shape, long seed) {
    this.shape = requireNonNull(shape, "shape");
    this.seed = seed;
    RandomDraws draws = new RandomDraws(seed);
    this.images = images(draws);
    this.slowIntervals = draws.chance(0.3) ? faultIntervals(draws, 7_000) : ImmutableList.of();
    this.lossIntervals =
        draws.chance(0.25) ? faultIntervals(draws, END_MILLIS) : ImmutableList.of();
    long pause = draws.chance(0.3) ? 2_500 : 0;
    long pausedAt = LEAD_MILLIS + draws.below(25_000);
    this.schedulerOutage = new FaultInterval(0, pausedAt, pausedAt + pause);
    this.arrivals = new ArrivalGenerator(draws).all();
  }

  /** Returns the day of a seed. */
  static FleetDay of(FleetShape shape, long seed) {
    return new FleetDay(shape, seed);
  }

  private static ImmutableList<Image> images(RandomDraws draws) {
    ImmutableList.Builder<Image> images = ImmutableList.builder();
    for (int i = 0; i < HEAVY_IMAGES; i++) {
      boolean presses = draws.chance(INTERFERING_SHARE);
      double pressure = presses ? draws.uniform(0.5, 2.5) : draws.uniform(0, 0.2);
      images.add(new Image(pressure, draws.uniform(0, 6), draws.uniform(5_000, 15_000)));
    }
    return images.build();
  }

  private static ImmutableList<FaultInterval> faultIntervals(RandomDraws draws, long lengthMillis) {
    long from = LEAD_MILLIS + 3_000 + draws.below(18_000);
    return ImmutableList.of(
        new FaultInterval(draws.below(FleetShape.VMS), from, from + lengthMillis));
  }

  FleetShape shape() {
    return shape;
  }

  long seed() {
    return seed;
  }

  /** Returns what is handed in, in the order of time. */
  ImmutableList<WorkflowArrival> arrivals() {
    return arrivals;
  }

  /** Returns how an image presses on services, for each part of a VM's processors at work. */
  double pressure(String image, long millis) {
    checkArgument(image.startsWith("heavy-"), "not an image of heavy work: %s", image);
    return images.get(Integer.parseInt(image.substring("heavy-".length()))).pressureAt(millis);
  }

  /** Returns whether an image presses on services so much that they feel a single task. */
  boolean isInterfering(String image, long millis) {
    return pressure(image, millis) > MIN_INTERFERING_PRESSURE;
  }

  /** Returns the part of what it booked that a task of a service uses. */
  double load(long task, long millis) {
    double phase = (task * 0.61803 % 1) * 2 * Math.PI;
    double swing = Math.sin(2 * Math.PI * millis / LOAD_PERIOD_MILLIS + phase);
    return LOAD * (1 + LOAD_SWING * swing);
  }

  /** Returns how many times as long tasks take on the VM now. */
  double slowdown(int vm, long millis) {
    return slowIntervals.stream().anyMatch(spell -> spell.covers(vm, millis)) ? 6 : 1;
  }

  /** Returns whether the VM is gone for good. */
  boolean isLost(int vm, long millis) {
    return lossIntervals.stream().anyMatch(spell -> spell.covers(vm, millis));
  }

  /** Returns whether nobody decides: an owner is replaced, or the store is away. */
  boolean isSchedulerDown(long millis) {
    return schedulerOutage.covers(0, millis);
  }

  /** Draws what is handed in. */
  private final class ArrivalGenerator {
    private final RandomDraws draws;
    private final List<WorkflowArrival> drawn = new ArrayList<>();

    ArrivalGenerator(RandomDraws draws) {
      this.draws = draws;
    }

    ImmutableList<WorkflowArrival> all() {
      for (int i = 0; i < shape.services(); i++) {
        add(100L * i, WorkKind.SERVICE);
      }
      long burstFrom = LEAD_MILLIS + 10_000 + draws.below(8_000);
      double burst = 1 + draws.uniform(1.2, 1.6);
      long at = LEAD_MILLIS;
      while (at < LAST_ARRIVAL_MILLIS) {
        boolean bursts = at >= burstFrom && at < burstFrom + 6_000;
        double heavy = shape.heavyPerSecond() * (bursts ? burst : 1);
        double all = heavy + shape.smallPerSecond();
        at += Math.round(draws.exponential(1_000 / all));
        add(at, draws.chance(heavy / all) ? WorkKind.HEAVY : WorkKind.SMALL);
      }
      return ImmutableList.sortedCopyOf(Comparator.comparingLong(WorkflowArrival::atMillis), drawn);
    }

    private void add(long at, WorkKind kind) {
      int stepCount = kind == WorkKind.SERVICE ? 1 : 1 + draws.below(3);
      String image = image(kind);
      ImmutableList.Builder<StepSpec> steps = ImmutableList.builder();
      ImmutableList.Builder<ImmutableList<Double>> lengths = ImmutableList.builder();
      for (int step = 0; step < stepCount; step++) {
        int tasks = tasks(kind);
        double length = length(kind);
        steps.add(step(kind, step, tasks, Math.round(length * drawEstimateError()), image));
        lengths.add(lengths(tasks, length));
      }
      long id = drawn.size() + 1;
      WorkflowSpec spec =
          new WorkflowSpec(
              id,
              "queue",
              kind.policy(),
              "",
              steps.build(),
              WorkflowSpec.Schedule.IMMEDIATE,
              FleetRun.EPOCH_MILLIS + at);
      drawn.add(new WorkflowArrival(at, kind, spec, lengths.build()));
    }

    private double drawEstimateError() {
      return draws.logNormal(1, 0.2, 2);
    }

    private String image(WorkKind kind) {
      return kind == WorkKind.HEAVY ? "heavy-" + draws.below(HEAVY_IMAGES) : "";
    }

    private int tasks(WorkKind kind) {
      double mean = kind == WorkKind.HEAVY ? 8 : 6;
      return (int) Math.max(1, Math.round(draws.logNormal(mean, 0.6, 32)));
    }

    private double length(WorkKind kind) {
      return switch (kind) {
        case SMALL -> draws.logNormal(1_000, 0.5, 2_500);
        case HEAVY -> draws.logNormal(2_000, 0.5, 4_300);
        case SERVICE -> 10 * END_MILLIS;
      };
    }

    private ImmutableList<Double> lengths(int tasks, double length) {
      ImmutableList.Builder<Double> lengths = ImmutableList.builder();
      for (int i = 0; i < tasks; i++) {
        lengths.add(draws.logNormal(length, 0.3, 2 * length));
      }
      return lengths.build();
    }

    private StepSpec step(
        WorkKind kind, int position, int tasks, long estimateMillis, String image) {
      ImmutableList<Integer> after =
          position == 0 ? ImmutableList.of() : ImmutableList.of(position - 1);
      boolean lasting = kind == WorkKind.SERVICE;
      StepSpec.TaskTraits nature =
          new StepSpec.TaskTraits(
              false,
              kind == WorkKind.HEAVY,
              false,
              lasting,
              kind == WorkKind.HEAVY,
              image,
              lasting ? FleetVm.TARGET_MILLIS : 0,
              lasting ? 1 : 0);
      int maxPerVm = lasting && draws.chance(0.5) ? 2 : 0;
      return new StepSpec(
          tasks,
          sizes(kind),
          estimateMillis,
          after,
          new StepSpec.Placement("", "", false, maxPerVm),
          nature);
    }

    private Sizes sizes(WorkKind kind) {
      double milli =
          switch (kind) {
            case SMALL -> draws.logNormal(shape.smallMilli(), 0.45, 3 * shape.smallMilli());
            case HEAVY -> draws.logNormal(shape.heavyMilli(), 0.3, 2 * shape.heavyMilli());
            case SERVICE -> draws.logNormal(shape.serviceMilli(), 0.25, 1.6 * shape.serviceMilli());
          };
      return new Sizes(Math.round(milli), TASK_MEMORY_BYTES, 0);
    }
  }
}
