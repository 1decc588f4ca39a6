package io.marigoldsail.testlib.interference;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.workflow.StepSpec;
import io.marigoldsail.workflow.WorkflowId;
import io.marigoldsail.workflow.WorkflowSpec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The events of one simulated day that do not depend on the policy: arrivals, interference of
 * images, and faults.
 *
 * <p>Immutable. The same shape and seed give the same day, so policies are compared on paired days.
 */
final class FleetDay {
  /** The service name of all VMs and workflows. */
  static final String SERVICE = "service";

  /** The time of the last arrival, in milliseconds. */
  static final long LAST_ARRIVAL_MILLIS = 34_000;

  /** The end of the day, in milliseconds. */
  static final long END_MILLIS = 52_000;

  /** The time for which only services run at the beginning, in milliseconds. */
  static final long LEAD_MILLIS = 6_000;

  private static final int HEAVY_IMAGES = 9;
  private static final double INTERFERING_SHARE = 0.6;
  private static final double MIN_INTERFERING_PRESSURE = 0.3;
  private static final double LOAD = 0.45;
  private static final double LOAD_SWING = 0.5;
  private static final double LOAD_PERIOD_MILLIS = 14_000;
  private static final double PRESSURE_SWING = 0.3;
  private static final long TASK_MEMORY_BYTES = 1L << 30;

  /** The pressure of an image on services, which oscillates within seconds. */
  private record Image(double pressure, double phase, double periodMillis) {
    double pressureAt(long millis) {
      double swing = Math.sin(2 * Math.PI * millis / periodMillis + phase);
      return pressure * (1 + PRESSURE_SWING * swing);
    }
  }

  /** A time interval with a fault on a VM. */
  private record FaultInterval(int vm, long fromMillis, long untilMillis) {
    boolean covers(int otherVm, long millis) {
      return vm == otherVm && millis >= fromMillis && millis < untilMillis;
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

  /** Returns the day with the given seed. */
  static FleetDay of(FleetShape shape, long seed) {
    return new FleetDay(shape, seed);
  }

  private static ImmutableList<Image> images(RandomDraws draws) {
    ImmutableList.Builder<Image> images = ImmutableList.builder();
    for (int i = 0; i < HEAVY_IMAGES; i++) {
      boolean interferes = draws.chance(INTERFERING_SHARE);
      double pressure = interferes ? draws.uniform(0.5, 2.5) : draws.uniform(0, 0.2);
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

  /** Returns the arrivals, in time order. */
  ImmutableList<WorkflowArrival> arrivals() {
    return arrivals;
  }

  /**
   * Returns the pressure of an image on services per fraction of the VM's processors that it uses.
   */
  double pressure(String image, long millis) {
    checkArgument(image.startsWith("heavy-"), "not an image of heavy work: %s", image);
    return images.get(Integer.parseInt(image.substring("heavy-".length()))).pressureAt(millis);
  }

  /**
   * Returns whether the pressure of an image is high enough for a single task to affect services.
   */
  boolean isInterfering(String image, long millis) {
    return pressure(image, millis) > MIN_INTERFERING_PRESSURE;
  }

  /** Returns the load of a service task as a fraction of its booked processors. */
  double load(long task, long millis) {
    double phase = (task * 0.61803 % 1) * 2 * Math.PI;
    double swing = Math.sin(2 * Math.PI * millis / LOAD_PERIOD_MILLIS + phase);
    return LOAD * (1 + LOAD_SWING * swing);
  }

  /** Returns the slowdown factor of tasks on the VM. */
  double slowdown(int vm, long millis) {
    return slowIntervals.stream().anyMatch(interval -> interval.covers(vm, millis)) ? 6 : 1;
  }

  /** Returns whether the VM is permanently lost. */
  boolean isLost(int vm, long millis) {
    return lossIntervals.stream().anyMatch(interval -> interval.covers(vm, millis));
  }

  /** Returns whether no owner makes decisions, as during a takeover or a log outage. */
  boolean isSchedulerDown(long millis) {
    return schedulerOutage.covers(0, millis);
  }

  /** Generates the arrivals. */
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
        boolean inBurst = at >= burstFrom && at < burstFrom + 6_000;
        double heavy = shape.heavyPerSecond() * (inBurst ? burst : 1);
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
      WorkflowId id = WorkflowId.of(String.format("%016d", drawn.size() + 1));
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
      boolean isService = kind == WorkKind.SERVICE;
      StepSpec.TaskTraits traits =
          new StepSpec.TaskTraits(
              false,
              kind == WorkKind.HEAVY,
              false,
              isService,
              kind == WorkKind.HEAVY,
              image,
              isService ? FleetVm.TARGET_MILLIS : 0,
              isService ? 1 : 0);
      int maxPerVm = isService && draws.chance(0.5) ? 2 : 0;
      return new StepSpec(
          tasks,
          sizes(kind),
          estimateMillis,
          after,
          new StepSpec.Placement("", "", false, maxPerVm),
          traits);
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
