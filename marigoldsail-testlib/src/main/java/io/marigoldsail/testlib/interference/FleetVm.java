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
import java.util.Optional;
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
  private static final double MIN_HEADROOM = 0.015;
  private static final double USED_PER_DECLARED = 0.88;
  private static final double READING_WINDOW_MILLIS = 500;
  private static final double READING_SPREAD = 0.12;
  private static final long LISTING_INTERVAL_MILLIS = 450;
  private static final long VM_MEMORY_BYTES = 1L << 42;

  /**
   * The load plus pressure up to which the oracle fills a service, as a fraction of its capacity.
   */
  private static final double ORACLE_UTILIZATION = 0.77;

  private final FleetDay day;
  private final FleetPolicy policy;
  private final int number;
  private final long capacityMilli;
  private final Overcommit overcommit = new Overcommit();
  private final ResourceLedger ledger = new ResourceLedger(overcommit);
  private final Throttling throttling;
  private final ImageInterference interference = new ImageInterference();
  private final RandomDraws random;
  private final Map<String, FleetTask> runs = new LinkedHashMap<>();
  private long listedMillis;

  FleetVm(FleetDay day, FleetPolicy policy, int number) {
    this.day = requireNonNull(day, "day");
    this.policy = requireNonNull(policy, "policy");
    this.number = number;
    this.capacityMilli = day.shape().capacityMilli(number);
    this.throttling = policy.newThrottling();
    this.random = new RandomDraws(day.seed() * 31 + number);
    this.listedMillis = number * LISTING_INTERVAL_MILLIS / FleetShape.VMS;
    ledger.capacity(new Sizes(capacityMilli, VM_MEMORY_BYTES, 0));
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

  ImageInterference interference() {
    return interference;
  }

  private boolean isInterfering(String image, long millis) {
    if (policy.knowsEffects()) {
      return day.isInterfering(image, millis);
    }
    return ImageInterference.isInterfering(
        policy.learnsImages() ? interference.belief(image) : ImageInterference.PRIOR_BELIEF);
  }

  private long interferingMilli(long millis) {
    return (long)
        runs.values().stream()
            .filter(run -> run.traits().bestEffort() && isInterfering(run.image(), millis))
            .mapToDouble(FleetTask::declaredMilli)
            .sum();
  }

  private int serviceTaskCount() {
    return (int) runs.values().stream().filter(run -> run.traits().isService()).count();
  }

  /** Returns the offer of the VM as reported to its owner. */
  VmOffer offer(double slowdown, long millis) {
    return new VmOffer(
        place(),
        FleetDay.SERVICE,
        ImmutableSet.of(),
        "",
        ledger.capacity(),
        ledger.free(),
        ledger.bestEffortMilliProcessors(),
        policy.limitsInterference() ? interferingMilli(millis) : 0,
        ledger.overcommitMilliProcessors(),
        serviceTaskCount(),
        slowdown,
        Optional.empty());
  }

  /** Starts the run, or returns false if capacity is insufficient. */
  boolean start(FleetTask run, Urgency urgency, long millis) {
    StepSpec step = run.task().step();
    boolean limited =
        run.traits().bestEffort() && urgency != Urgency.STARVED && policy.limitsInterference();
    if (limited && serviceTaskCount() > 0 && isInterfering(run.image(), millis)) {
      long declared = step.sizes().milliProcessors();
      if (!InterferenceBudget.admits(capacityMilli, interferingMilli(millis), declared)) {
        return false;
      }
    }
    if (!ledger.tryBook(
        run.key(), new ResourceLedger.Claim(step.sizes(), run.traits().bestEffort(), urgency))) {
      return false;
    }
    if (run.traits().bestEffort()) {
      run.setSpeed(throttling.percent(isInterfering(run.image(), millis)));
    }
    runs.put(run.key().toString(), run);
    return true;
  }

  /** Ends the run. */
  void end(FleetTask run) {
    runs.remove(run.key().toString());
    ledger.release(run.key());
  }

  /** Advances all tasks by the given time. */
  void advance(long millis, long forMillis) {
    double serviceUse = 0;
    double otherUse = 0;
    double demandMilli = 0;
    for (FleetTask run : runs.values()) {
      if (run.traits().isService()) {
        serviceUse += run.declaredMilli() * load(run, millis);
      } else if (run.traits().bestEffort()) {
        demandMilli += demandMilli(run);
      } else {
        otherUse += run.declaredMilli();
      }
    }
    double idle = Math.max(0, capacityMilli - serviceUse - otherUse);
    double share = demandMilli <= idle ? 1 : idle / demandMilli;
    double slowdown = day.slowdown(number, millis);
    double weight = Math.min(1, forMillis / READING_WINDOW_MILLIS);
    double pressure = 0;
    for (FleetTask run : runs.values()) {
      if (run.traits().bestEffort()) {
        double used = demandMilli(run) * share;
        pressure += day.pressure(run.image(), millis) * used / capacityMilli;
        run.recordUsage(used, weight);
        run.work(forMillis, run.percent() / 100.0 * share / slowdown);
      } else if (!run.traits().isService()) {
        run.work(forMillis, 1 / slowdown);
      }
    }
    updateTails(millis, pressure, weight);
  }

  private void updateTails(long millis, double pressure, double weight) {
    for (FleetTask run : runs.values()) {
      if (run.traits().isService()) {
        double headroom = Math.max(MIN_HEADROOM, 1 - load(run, millis) - pressure);
        run.recordTail(IDLE_TAIL_MILLIS / headroom, weight);
      }
    }
  }

  private double load(FleetTask run, long millis) {
    long drawn = Long.parseLong(run.key().task().workflow().toString());
    return day.load(drawn * 37 + run.key().task().index(), millis);
  }

  private static double demandMilli(FleetTask run) {
    return run.declaredMilli() * run.percent() / 100 * USED_PER_DECLARED;
  }

  /** Lets the side process list its worker and decide, if the listing interval has passed. */
  void decide(long millis) {
    if (policy.knowsEffects()) {
      throttleAsOracle(millis);
      return;
    }
    if (millis - listedMillis < LISTING_INTERVAL_MILLIS) {
      return;
    }
    listedMillis = millis;
    List<BestEffortThrottler.TailReading> readings = readings();
    double worst = BestEffortThrottler.worstPercent(readings);
    List<ImageInterference.ImageLoad> loads = imageLoads();
    if (!readings.isEmpty()) {
      interference.observe(loads, worst);
    }
    observeOvercommit(worst);
    throttling.observe(readings, bestEffortLoad(millis), TimeUnit.MILLISECONDS.toNanos(millis));
    for (FleetTask run : runs.values()) {
      if (run.traits().bestEffort()) {
        run.setSpeed(throttling.percent(isInterfering(run.image(), millis)));
      }
    }
  }

  private List<BestEffortThrottler.TailReading> readings() {
    List<BestEffortThrottler.TailReading> readings = new ArrayList<>();
    for (FleetTask run : runs.values()) {
      if (run.traits().isService()) {
        double readingNoise = random.logNormal(1, READING_SPREAD, 2);
        readings.add(
            new BestEffortThrottler.TailReading(
                Math.round(run.measuredTailMillis() * readingNoise), TARGET_MILLIS));
      }
    }
    return readings;
  }

  private List<ImageInterference.ImageLoad> imageLoads() {
    Map<String, Double> usedByImage = new HashMap<>();
    for (FleetTask run : runs.values()) {
      if (run.traits().bestEffort()) {
        usedByImage.merge(run.image(), run.usedMilli(), Double::sum);
      }
    }
    List<ImageInterference.ImageLoad> loads = new ArrayList<>();
    usedByImage.forEach((image, milli) -> loads.add(new ImageInterference.ImageLoad(image, milli)));
    return loads;
  }

  private void observeOvercommit(double worst) {
    if (!policy.overcommits()) {
      overcommit.observe(capacityMilli, 0, worst);
      return;
    }
    double demandMilli = 0;
    double used = 0;
    for (FleetTask run : runs.values()) {
      if (run.traits().bestEffort() && run.usedMilli() > 0 && run.percent() > 0) {
        demandMilli += run.declaredMilli() * run.percent() / 100;
        used += run.usedMilli();
      }
    }
    overcommit.observe(demandMilli, used, worst);
  }

  private BestEffortThrottler.BestEffortLoad bestEffortLoad(long millis) {
    long interfering = interferingMilli(millis);
    long totalMilli = ledger.bestEffortMilliProcessors();
    return new BestEffortThrottler.BestEffortLoad(
        interfering, Math.max(0, totalMilli - interfering), capacityMilli);
  }

  /** Gives the pressure that services can tolerate to the images with the least pressure first. */
  private void throttleAsOracle(long millis) {
    double tolerable = 100;
    for (FleetTask run : runs.values()) {
      if (run.traits().isService()) {
        tolerable = Math.min(tolerable, ORACLE_UTILIZATION - load(run, millis));
      }
    }
    List<FleetTask> bestEffortTasks = new ArrayList<>(runs.values());
    bestEffortTasks.removeIf(run -> !run.traits().bestEffort());
    bestEffortTasks.sort(Comparator.comparingDouble(run -> day.pressure(run.image(), millis)));
    for (FleetTask run : bestEffortTasks) {
      double full =
          day.pressure(run.image(), millis)
              * run.declaredMilli()
              * USED_PER_DECLARED
              / capacityMilli;
      int percent = full <= 0 ? 100 : (int) Math.max(0, Math.min(100, 100 * tolerable / full));
      run.setSpeed(percent);
      tolerable -= full * percent / 100;
    }
  }
}
