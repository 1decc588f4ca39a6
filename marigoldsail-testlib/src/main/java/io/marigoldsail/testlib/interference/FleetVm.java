package io.marigoldsail.testlib.interference;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableSet;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.workflow.BestEffortThrottler;
import io.marigoldsail.workflow.ImageInterference;
import io.marigoldsail.workflow.InterferenceBudget;
import io.marigoldsail.workflow.Overcommit;
import io.marigoldsail.workflow.Place;
import io.marigoldsail.workflow.ResourceLedger;
import io.marigoldsail.workflow.StepSpec;
import io.marigoldsail.workflow.Urgency;
import io.marigoldsail.workflow.VmOffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A modelled VM with its running tasks, their interference, and the decisions of its side process.
 *
 * <p>The tail latency of a service is {@link #IDLE_TAIL_MILLIS} divided by the fraction of its
 * capacity that is left by its own load and by the pressure of co-located tasks. Not thread-safe.
 */
final class FleetVm {
  /** The latency target of each service, in milliseconds. */
  static final long TARGET_MILLIS = 50;

  private static final double IDLE_TAIL_MILLIS = 10;
  private static final double LEAST_LEFT = 0.015;
  private static final double USED_OF_DECLARED = 0.88;
  private static final double READING_MILLIS = 500;
  private static final double READING_SPREAD = 0.12;
  private static final long LISTING_MILLIS = 450;
  private static final long MEMORY = 1L << 42;

  /** The load plus pressure up to which the oracle fills a service, as a fraction of its capacity. */
  private static final double ORACLE_USED = 0.77;

  private final FleetDay day;
  private final FleetPolicy policy;
  private final int number;
  private final long capacityMilli;
  private final Overcommit overcommit = new Overcommit();
  private final ResourceLedger room = new ResourceLedger(overcommit);
  private final Pacing pacing;
  private final ImageInterference harm = new ImageInterference();
  private final Draws noise;
  private final Map<String, FleetTask> runs = new LinkedHashMap<>();
  private long listedMillis;

  FleetVm(FleetDay day, FleetPolicy policy, int number) {
    this.day = requireNonNull(day, "day");
    this.policy = requireNonNull(policy, "policy");
    this.number = number;
    this.capacityMilli = day.shape().capacityMilli(number);
    this.pacing = policy.newPacing();
    this.noise = new Draws(day.seed() * 31 + number);
    this.listedMillis = number * LISTING_MILLIS / FleetShape.VMS;
    room.capacity(new Sizes(capacityMilli, MEMORY, 0));
  }

  int number() {
    return number;
  }

  Place place() {
    return new Place("vm-" + number, "life");
  }

  List<FleetTask> runs() {
    return List.copyOf(runs.values());
  }

  ImageInterference harm() {
    return harm;
  }

  private boolean isSuspect(String image, long millis) {
    if (policy.knowsEffects()) {
      return day.presses(image, millis);
    }
    return ImageInterference.isInterfering(
        policy.learnsImages() ? harm.belief(image) : ImageInterference.PRIOR_BELIEF);
  }

  private long suspectMilli(long millis) {
    return (long)
        runs.values().stream()
            .filter(run -> run.nature().bestEffort() && isSuspect(run.image(), millis))
            .mapToDouble(FleetTask::declaredMilli)
            .sum();
  }

  private int serving() {
    return (int) runs.values().stream().filter(run -> run.nature().isService()).count();
  }

  /** Returns the offer of the VM as reported to its owner. */
  VmOffer offer(double slowdown, long millis) {
    return new VmOffer(
        place(),
        FleetDay.SERVICE,
        ImmutableSet.of(),
        "",
        room.capacity(),
        room.free(),
        room.bestEffortMilliProcessors(),
        policy.boundsSuspects() ? suspectMilli(millis) : 0,
        room.overcommitMilliProcessors(),
        serving(),
        slowdown);
  }

  /** Starts the run, or returns false if capacity is insufficient. */
  boolean start(FleetTask run, Urgency urgency, long millis) {
    StepSpec step = run.task().step();
    boolean limited =
        run.nature().bestEffort() && urgency != Urgency.STARVED && policy.boundsSuspects();
    if (limited && serving() > 0 && isSuspect(run.image(), millis)) {
      long declared = step.sizes().milliProcessors();
      if (!InterferenceBudget.admits(capacityMilli, suspectMilli(millis), declared)) {
        return false;
      }
    }
    if (!room.tryBook(
        run.key(), new ResourceLedger.Claim(step.sizes(), run.nature().bestEffort(), urgency))) {
      return false;
    }
    if (run.nature().bestEffort()) {
      run.pace(pacing.percent(isSuspect(run.image(), millis)));
    }
    runs.put(run.key().toString(), run);
    return true;
  }

  /** Ends the run. */
  void end(FleetTask run) {
    runs.remove(run.key().toString());
    room.release(run.key());
  }

  /** Advances all tasks by the given time. */
  void work(long millis, long forMillis) {
    double serviceUse = 0;
    double otherUse = 0;
    double demandMilli = 0;
    for (FleetTask run : runs.values()) {
      if (run.nature().isService()) {
        serviceUse += run.declaredMilli() * load(run, millis);
      } else if (run.nature().bestEffort()) {
        demandMilli += askedMilli(run);
      } else {
        otherUse += run.declaredMilli();
      }
    }
    double idle = Math.max(0, capacityMilli - serviceUse - otherUse);
    double share = demandMilli <= idle ? 1 : idle / demandMilli;
    double slowdown = day.slowness(number, millis);
    double weight = Math.min(1, forMillis / READING_MILLIS);
    double pressure = 0;
    for (FleetTask run : runs.values()) {
      if (run.nature().bestEffort()) {
        double used = askedMilli(run) * share;
        pressure += day.pressure(run.image(), millis) * used / capacityMilli;
        run.uses(used, weight);
        run.work(forMillis, run.percent() / 100.0 * share / slowdown);
      } else if (!run.nature().isService()) {
        run.work(forMillis, 1 / slowdown);
      }
    }
    answer(millis, pressure, weight);
  }

  private void answer(long millis, double pressure, double weight) {
    for (FleetTask run : runs.values()) {
      if (run.nature().isService()) {
        double headroom = Math.max(LEAST_LEFT, 1 - load(run, millis) - pressure);
        run.answers(IDLE_TAIL_MILLIS / headroom, weight);
      }
    }
  }

  private double load(FleetTask run, long millis) {
    return day.load(run.key().task().workflow() * 37 + run.key().task().index(), millis);
  }

  private static double askedMilli(FleetTask run) {
    return run.declaredMilli() * run.percent() / 100 * USED_OF_DECLARED;
  }

  /** Lets the side process list its worker and decide, if the listing interval has passed. */
  void decide(long millis) {
    if (policy.knowsEffects()) {
      paceByEffects(millis);
      return;
    }
    if (millis - listedMillis < LISTING_MILLIS) {
      return;
    }
    listedMillis = millis;
    List<BestEffortThrottler.TailReading> readings = readings();
    double worst = BestEffortThrottler.worstPercent(readings);
    List<ImageInterference.ImageLoad> fillings = fillings();
    if (!readings.isEmpty()) {
      harm.observe(fillings, worst);
    }
    observeAttained(worst);
    pacing.observe(readings, filling(millis), TimeUnit.MILLISECONDS.toNanos(millis));
    for (FleetTask run : runs.values()) {
      if (run.nature().bestEffort()) {
        run.pace(pacing.percent(isSuspect(run.image(), millis)));
      }
    }
  }

  private List<BestEffortThrottler.TailReading> readings() {
    List<BestEffortThrottler.TailReading> readings = new ArrayList<>();
    for (FleetTask run : runs.values()) {
      if (run.nature().isService()) {
        double readingNoise = noise.logNormal(1, READING_SPREAD, 2);
        readings.add(
            new BestEffortThrottler.TailReading(
                Math.round(run.tailMillis() * readingNoise), TARGET_MILLIS));
      }
    }
    return readings;
  }

  private List<ImageInterference.ImageLoad> fillings() {
    Map<String, Double> usedByImage = new HashMap<>();
    for (FleetTask run : runs.values()) {
      if (run.nature().bestEffort()) {
        usedByImage.merge(run.image(), run.usedMilli(), Double::sum);
      }
    }
    List<ImageInterference.ImageLoad> fillings = new ArrayList<>();
    usedByImage.forEach((image, milli) -> fillings.add(new ImageInterference.ImageLoad(image, milli)));
    return fillings;
  }

  private void observeAttained(double worst) {
    if (!policy.overcommits()) {
      overcommit.observe(capacityMilli, 0, worst);
      return;
    }
    double demandMilli = 0;
    double used = 0;
    for (FleetTask run : runs.values()) {
      if (run.nature().bestEffort() && run.usedMilli() > 0 && run.percent() > 0) {
        demandMilli += run.declaredMilli() * run.percent() / 100;
        used += run.usedMilli();
      }
    }
    overcommit.observe(demandMilli, used, worst);
  }

  private BestEffortThrottler.BestEffortLoad filling(long millis) {
    long interfering = suspectMilli(millis);
    long all = room.bestEffortMilliProcessors();
    return new BestEffortThrottler.BestEffortLoad(
        interfering, Math.max(0, all - interfering), capacityMilli);
  }

  /** Gives the pressure that services can tolerate to the images with the least pressure first. */
  private void paceByEffects(long millis) {
    double tolerable = 100;
    for (FleetTask run : runs.values()) {
      if (run.nature().isService()) {
        tolerable = Math.min(tolerable, ORACLE_USED - load(run, millis));
      }
    }
    List<FleetTask> bestEffortTasks = new ArrayList<>(runs.values());
    bestEffortTasks.removeIf(run -> !run.nature().bestEffort());
    bestEffortTasks.sort(Comparator.comparingDouble(run -> day.pressure(run.image(), millis)));
    for (FleetTask run : bestEffortTasks) {
      double full =
          day.pressure(run.image(), millis)
              * run.declaredMilli()
              * USED_OF_DECLARED
              / capacityMilli;
      int percent = full <= 0 ? 100 : (int) Math.max(0, Math.min(100, 100 * tolerable / full));
      run.pace(percent);
      tolerable -= full * percent / 100;
    }
  }
}
