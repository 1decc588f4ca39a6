package io.marigoldsail.colocation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.colocation.Colocation.ServiceReading;
import io.marigoldsail.workflow.BestEffortThrottler;
import io.marigoldsail.workflow.BestEffortThrottler.BestEffortLoad;
import io.marigoldsail.workflow.BestEffortThrottler.TailReading;
import io.marigoldsail.workflow.ImageInterference;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.ToIntFunction;
import org.junit.jupiter.api.Test;

/**
 * Replays a burst of heavy best-effort work on 71 VMs whose processors are all booked by services:
 * 18 best-effort images, of which 11 slow half of the 10 service images down.
 */
class BurstBesideServicesReplayTest {
  private static final int VMS = 71;
  private static final int SERVICE_IMAGES = 10;
  private static final int BEST_EFFORT_IMAGES = 18;
  private static final int HARMFUL_IMAGES = 11;
  private static final int SERVICES_PER_VM = 5;
  private static final int STEPS = 90;
  private static final int STARTS_PER_STEP = 40;
  private static final int TASK_STEPS = 6;
  private static final double HARMFUL_EFFECT = 8;
  private static final double HARMLESS_EFFECT = 0.3;
  private static final long SEED = 20261204;

  /** What a policy achieved: processors of VMs used by best-effort work, and readings over. */
  private record Outcome(double work, int over) {}

  private static ImageEffects truth() {
    return (image, service) -> {
      int number = Integer.parseInt(image);
      boolean harmful =
          number < HARMFUL_IMAGES && number % 2 == Integer.parseInt(service.substring(1)) % 2;
      return harmful ? HARMFUL_EFFECT : HARMLESS_EFFECT;
    };
  }

  private static List<ColocatedVm> fleet(Random random) {
    List<ColocatedVm> vms = new ArrayList<>();
    for (int i = 0; i < VMS; i++) {
      List<String> services = new ArrayList<>();
      // Services of an image are placed together.
      int first = random.nextInt(SERVICE_IMAGES);
      for (int j = 0; j < SERVICES_PER_VM; j++) {
        services.add("s" + (j < 3 ? first : random.nextInt(SERVICE_IMAGES)));
      }
      vms.add(new ColocatedVm(services, truth(), 2 * Math.PI * random.nextDouble()));
    }
    return vms;
  }

  /** The policy of one VM. */
  private interface Policy {
    boolean admits(String image);

    int percent(String image);

    void observe(ColocatedVm vm, long millis);
  }

  private static Outcome replay(List<Policy> policies, Runnable exchange) {
    Random random = new Random(SEED);
    List<ColocatedVm> vms = fleet(random);
    Map<ColocatedVm, List<Integer>> ends = new HashMap<>();
    vms.forEach(vm -> ends.put(vm, new ArrayList<>()));
    for (int step = 0; step < STEPS; step++) {
      long millis = step * ColocatedVm.STEP_MILLIS;
      for (int start = 0; start < STARTS_PER_STEP; start++) {
        String image = Integer.toString(random.nextInt(BEST_EFFORT_IMAGES));
        int first = random.nextInt(VMS);
        for (int i = 0; i < VMS; i++) {
          ColocatedVm vm = vms.get((first + i) % VMS);
          if (vm.tasks().size() < 5 && policies.get((first + i) % VMS).admits(image)) {
            vm.tasks().add(image);
            ends.get(vm).add(step + TASK_STEPS);
            break;
          }
        }
      }
      for (int i = 0; i < VMS; i++) {
        ColocatedVm vm = vms.get(i);
        vm.work(policies.get(i)::percent);
        policies.get(i).observe(vm, millis);
        for (int task = vm.tasks().size() - 1; task >= 0; task--) {
          if (ends.get(vm).get(task) <= step) {
            ends.get(vm).remove(task);
            vm.tasks().remove(task);
          }
        }
      }
      exchange.run();
    }
    return new Outcome(
        vms.stream().mapToDouble(ColocatedVm::workDone).sum(),
        vms.stream().mapToInt(ColocatedVm::readingsOver).sum());
  }

  /** Decides by pairs of images. */
  private static final class PairPolicy implements Policy {
    private final InterferenceModel model = new InterferenceModel();
    private final Colocation colocation = new Colocation(model);

    @Override
    public boolean admits(String image) {
      boolean fits = colocation.rooms().fits(image, ColocatedVm.SHARE);
      if (fits) {
        colocation.recordAdmitted(image, ColocatedVm.SHARE);
      }
      return fits;
    }

    @Override
    public int percent(String image) {
      return colocation.percent(image);
    }

    @Override
    public void observe(ColocatedVm vm, long millis) {
      ToIntFunction<String> speeds = Map.copyOf(speeds(vm))::get;
      colocation.observe(
          vm.serviceReadings(millis, speeds),
          vm.bestEffortReadings(speeds),
          TimeUnit.MILLISECONDS.toNanos(millis));
    }

    private Map<String, Integer> speeds(ColocatedVm vm) {
      Map<String, Integer> speeds = new HashMap<>();
      vm.tasks().forEach(image -> speeds.put(image, percent(image)));
      return speeds;
    }
  }

  /** Decides by images, with one budget for all that interfere. */
  private static final class ImagePolicy implements Policy {
    private static final long CAPACITY_MILLI = 32_000;
    private static final long TASK_MILLI = (long) (CAPACITY_MILLI * ColocatedVm.SHARE);

    private final ImageInterference interference = new ImageInterference();
    private final BestEffortThrottler throttler = new BestEffortThrottler();
    private long interferingMilli;

    private boolean isInterfering(String image) {
      return ImageInterference.isInterfering(interference.belief(image));
    }

    @Override
    public boolean admits(String image) {
      return !isInterfering(image)
          || interferingMilli == 0
          || interferingMilli + TASK_MILLI <= CAPACITY_MILLI / 8;
    }

    @Override
    public int percent(String image) {
      return isInterfering(image) ? throttler.interferingPercent() : throttler.benignPercent();
    }

    @Override
    public void observe(ColocatedVm vm, long millis) {
      List<TailReading> tails = new ArrayList<>();
      for (ServiceReading reading : vm.serviceReadings(millis, this::percent)) {
        tails.add(new TailReading(Math.round(50 / reading.headroom().orElseThrow()), 50));
      }
      Map<String, Double> loads = new HashMap<>();
      interferingMilli = 0;
      long benignMilli = 0;
      for (String task : vm.tasks()) {
        loads.merge(task, TASK_MILLI * percent(task) / 100.0, Double::sum);
        interferingMilli += isInterfering(task) ? TASK_MILLI : 0;
        benignMilli += isInterfering(task) ? 0 : TASK_MILLI;
      }
      List<ImageInterference.ImageLoad> imageLoads = new ArrayList<>();
      loads.forEach(
          (image, milli) -> imageLoads.add(new ImageInterference.ImageLoad(image, milli)));
      interference.observe(imageLoads, BestEffortThrottler.worstPercent(tails));
      int unused =
          throttler.observe(
              tails,
              new BestEffortLoad(interferingMilli, benignMilli, CAPACITY_MILLI),
              TimeUnit.MILLISECONDS.toNanos(millis));
    }
  }

  private static Outcome replayPairs() {
    List<PairPolicy> policies = new ArrayList<>();
    for (int i = 0; i < VMS; i++) {
      policies.add(new PairPolicy());
    }
    return replay(
        List.copyOf(policies),
        () -> {
          Map<ImagePair, PairEvidence> sum = new HashMap<>();
          policies.forEach(
              each ->
                  each.model
                      .localEvidence()
                      .forEach((pair, seen) -> sum.merge(pair, seen, PairEvidence::plus)));
          policies.forEach(each -> each.model.setRemoteEvidence(sum));
        });
  }

  private static Outcome replayImages() {
    List<ImagePolicy> policies = new ArrayList<>();
    for (int i = 0; i < VMS; i++) {
      policies.add(new ImagePolicy());
    }
    return replay(
        List.copyOf(policies),
        () -> {
          Map<String, ImageInterference.Evidence> sum = new HashMap<>();
          policies.forEach(
              each ->
                  each.interference
                      .localEvidence()
                      .forEach(
                          (image, seen) ->
                              sum.merge(image, seen, ImageInterference.Evidence::plus)));
          policies.forEach(each -> each.interference.setRemoteEvidence(sum));
        });
  }

  /**
   * Guards against idle processors beside services that are nevertheless harmed: beliefs by image
   * alone keep half of the work from VMs where it would harm nobody.
   */
  @Test
  void pairsAllowMoreWorkWithFewerServicesOverTheirTargets() {
    Outcome byImage = replayImages();
    Outcome byPair = replayPairs();
    String outcomes = "by image " + byImage + ", by pair " + byPair;
    assertTrue(byPair.work() > byImage.work(), outcomes);
    assertTrue(byPair.over() < byImage.over() / 2, outcomes);
  }
}
