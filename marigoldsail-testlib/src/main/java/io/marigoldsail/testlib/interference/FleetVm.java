package io.marigoldsail.testlib.interference;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableSet;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.workflow.FillPacer;
import io.marigoldsail.workflow.ImageHarm;
import io.marigoldsail.workflow.Overcommit;
import io.marigoldsail.workflow.Place;
import io.marigoldsail.workflow.RoomLedger;
import io.marigoldsail.workflow.StepSpec;
import io.marigoldsail.workflow.SuspectRoom;
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
 * A VM of the model: what runs there, how it disturbs, and what its side process decides.
 *
 * <p>A service answers within {@link #IDLE_TAIL_MILLIS} divided by the part of its capacity that
 * neither its own load nor the pressure beside it takes. Confined to one thread.
 */
final class FleetVm {
  /** What the users of each service are promised, in milliseconds. */
  static final long TARGET_MILLIS = 50;

  private static final double IDLE_TAIL_MILLIS = 10;
  private static final double LEAST_LEFT = 0.015;
  private static final double USED_OF_DECLARED = 0.88;
  private static final double READING_MILLIS = 500;
  private static final double READING_SPREAD = 0.12;
  private static final long LISTING_MILLIS = 450;
  private static final long MEMORY = 1L << 42;

  /** The pressure that the oracle leaves a service, as a part of its capacity. */
  private static final double ORACLE_USED = 0.77;

  private final FleetDay day;
  private final FleetPolicy policy;
  private final int number;
  private final long capacityMilli;
  private final Overcommit overcommit = new Overcommit();
  private final RoomLedger room = new RoomLedger(overcommit);
  private final Pacing pacing;
  private final ImageHarm harm = new ImageHarm();
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

  ImageHarm harm() {
    return harm;
  }

  private boolean isSuspect(String image, long millis) {
    if (policy.knowsEffects()) {
      return day.presses(image, millis);
    }
    return ImageHarm.isSuspect(policy.learnsImages() ? harm.belief(image) : ImageHarm.UNKNOWN);
  }

  private long suspectMilli(long millis) {
    return (long)
        runs.values().stream()
            .filter(run -> run.nature().fills() && isSuspect(run.image(), millis))
            .mapToDouble(FleetTask::declaredMilli)
            .sum();
  }

  private int serving() {
    return (int) runs.values().stream().filter(run -> run.nature().serves()).count();
  }

  /** Returns what the VM offers, as its owner is told. */
  VmOffer offer(double slowness, long millis) {
    return new VmOffer(
        place(),
        FleetDay.SERVICE,
        ImmutableSet.of(),
        "",
        room.capacity(),
        room.free(),
        room.fillMilliProcessors(),
        policy.boundsSuspects() ? suspectMilli(millis) : 0,
        room.overcommitMilliProcessors(),
        serving(),
        slowness);
  }

  /** Starts the run, or returns false for want of room. */
  boolean start(FleetTask run, Urgency urgency, long millis) {
    StepSpec step = run.task().step();
    boolean bound = run.nature().fills() && urgency != Urgency.STARVED && policy.boundsSuspects();
    if (bound && serving() > 0 && isSuspect(run.image(), millis)) {
      long declared = step.sizes().milliProcessors();
      if (!SuspectRoom.admits(capacityMilli, suspectMilli(millis), declared)) {
        return false;
      }
    }
    if (!room.tryBook(
        run.key(), new RoomLedger.Claim(step.sizes(), run.nature().fills(), urgency))) {
      return false;
    }
    if (run.nature().fills()) {
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

  /** Lets everything work for a time. */
  void work(long millis, long forMillis) {
    double serviceUse = 0;
    double plainUse = 0;
    double asked = 0;
    for (FleetTask run : runs.values()) {
      if (run.nature().serves()) {
        serviceUse += run.declaredMilli() * load(run, millis);
      } else if (run.nature().fills()) {
        asked += askedMilli(run);
      } else {
        plainUse += run.declaredMilli();
      }
    }
    double idle = Math.max(0, capacityMilli - serviceUse - plainUse);
    double share = asked <= idle ? 1 : idle / asked;
    double slowness = day.slowness(number, millis);
    double weight = Math.min(1, forMillis / READING_MILLIS);
    double pressure = 0;
    for (FleetTask run : runs.values()) {
      if (run.nature().fills()) {
        double used = askedMilli(run) * share;
        pressure += day.pressure(run.image(), millis) * used / capacityMilli;
        run.uses(used, weight);
        run.work(forMillis, run.percent() / 100.0 * share / slowness);
      } else if (!run.nature().serves()) {
        run.work(forMillis, 1 / slowness);
      }
    }
    answer(millis, pressure, weight);
  }

  private void answer(long millis, double pressure, double weight) {
    for (FleetTask run : runs.values()) {
      if (run.nature().serves()) {
        double left = Math.max(LEAST_LEFT, 1 - load(run, millis) - pressure);
        run.answers(IDLE_TAIL_MILLIS / left, weight);
      }
    }
  }

  private double load(FleetTask run, long millis) {
    return day.load(run.key().task().workflow() * 37 + run.key().task().index(), millis);
  }

  private static double askedMilli(FleetTask run) {
    return run.declaredMilli() * run.percent() / 100 * USED_OF_DECLARED;
  }

  /** Lets the side process list its worker and decide, if it is time. */
  void decide(long millis) {
    if (policy.knowsEffects()) {
      paceByEffects(millis);
      return;
    }
    if (millis - listedMillis < LISTING_MILLIS) {
      return;
    }
    listedMillis = millis;
    List<FillPacer.Reading> readings = readings();
    double worst = FillPacer.worstPercent(readings);
    List<ImageHarm.Filling> fillings = fillings();
    if (!readings.isEmpty()) {
      harm.observe(fillings, worst);
    }
    observeAttained(worst);
    pacing.observe(readings, filling(millis), TimeUnit.MILLISECONDS.toNanos(millis));
    for (FleetTask run : runs.values()) {
      if (run.nature().fills()) {
        run.pace(pacing.percent(isSuspect(run.image(), millis)));
      }
    }
  }

  private List<FillPacer.Reading> readings() {
    List<FillPacer.Reading> readings = new ArrayList<>();
    for (FleetTask run : runs.values()) {
      if (run.nature().serves()) {
        double rough = noise.logNormal(1, READING_SPREAD, 2);
        readings.add(new FillPacer.Reading(Math.round(run.tailMillis() * rough), TARGET_MILLIS));
      }
    }
    return readings;
  }

  private List<ImageHarm.Filling> fillings() {
    Map<String, Double> worked = new HashMap<>();
    for (FleetTask run : runs.values()) {
      if (run.nature().fills()) {
        worked.merge(run.image(), run.usedMilli(), Double::sum);
      }
    }
    List<ImageHarm.Filling> fillings = new ArrayList<>();
    worked.forEach((image, milli) -> fillings.add(new ImageHarm.Filling(image, milli)));
    return fillings;
  }

  private void observeAttained(double worst) {
    if (!policy.overcommits()) {
      overcommit.observe(capacityMilli, 0, worst);
      return;
    }
    double asked = 0;
    double used = 0;
    for (FleetTask run : runs.values()) {
      if (run.nature().fills() && run.usedMilli() > 0 && run.percent() > 0) {
        asked += run.declaredMilli() * run.percent() / 100;
        used += run.usedMilli();
      }
    }
    overcommit.observe(asked, used, worst);
  }

  private FillPacer.Filling filling(long millis) {
    long suspect = suspectMilli(millis);
    long all = room.fillMilliProcessors();
    return new FillPacer.Filling(suspect, Math.max(0, all - suspect), capacityMilli);
  }

  /** Gives what services can bear now to the images that press least. */
  private void paceByEffects(long millis) {
    double bearable = 100;
    for (FleetTask run : runs.values()) {
      if (run.nature().serves()) {
        bearable = Math.min(bearable, ORACLE_USED - load(run, millis));
      }
    }
    List<FleetTask> fills = new ArrayList<>(runs.values());
    fills.removeIf(run -> !run.nature().fills());
    fills.sort(Comparator.comparingDouble(run -> day.pressure(run.image(), millis)));
    for (FleetTask run : fills) {
      double full =
          day.pressure(run.image(), millis)
              * run.declaredMilli()
              * USED_OF_DECLARED
              / capacityMilli;
      int percent = full <= 0 ? 100 : (int) Math.max(0, Math.min(100, 100 * bearable / full));
      run.pace(percent);
      bearable -= full * percent / 100;
    }
  }
}
