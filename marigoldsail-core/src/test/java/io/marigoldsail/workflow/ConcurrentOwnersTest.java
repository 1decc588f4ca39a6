package io.marigoldsail.workflow;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.job.Sizes;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.IntFunction;
import org.junit.jupiter.api.Test;

/**
 * Replays steps of short tasks and wide steps of heavy ones that several owners place at the same
 * time on VMs most of whose processors services have booked, each by reports of its own time.
 */
class ConcurrentOwnersTest {
  private static final int SERVICES_PER_VM = 4;
  private static final long REPORT_INTERVAL_MILLIS = 300;
  private static final long RETRY_MILLIS = 50;
  private static final long DAY_MILLIS = 30_000;
  private static final double FAR_RACK_FACTOR = 1.5;
  private static final long SEED = 106_873_968;

  /** A kind of step and how often one arrives. */
  private record Arrivals(StepSpec step, long runMillis, long intervalMillis) {}

  /**
   * A deployment under load.
   *
   * @param freeMilli mean of the processors of a VM that services have not booked
   */
  private record Load(
      int owners, int vms, long capacityMilli, long freeMilli, List<Arrivals> arrivals) {}

  private static final Load SHORT_AND_HEAVY =
      new Load(
          12,
          69,
          64_000,
          18_000,
          List.of(
              new Arrivals(WorkflowFixtures.step(10, 1_400, StepSpec.TaskTraits.PLAIN), 1_430, 90),
              new Arrivals(
                  WorkflowFixtures.step(4, 13_000, StepSpec.TaskTraits.PLAIN), 2_000, 400)));

  /** A burst of small tasks on a fleet that services have booked but for some processors a VM. */
  private static final Load BURST_OF_SMALL =
      new Load(
          8,
          71,
          32_000,
          4_000,
          List.of(
              new Arrivals(WorkflowFixtures.step(10, 820, StepSpec.TaskTraits.PLAIN), 970, 45)));

  /** A step's task that waits at its owner. */
  private record Waiting(long atMillis, long number, int owner, Arrivals kind)
      implements Comparable<Waiting> {
    @Override
    public int compareTo(Waiting other) {
      return atMillis == other.atMillis
          ? Long.compare(number, other.number)
          : Long.compare(atMillis, other.atMillis);
    }
  }

  /** What a day of placements came to. */
  private record Outcome(int orders, int refused) {
    double refusedShare() {
      return (double) refused / orders;
    }
  }

  private static final class Day {
    private final Load load;
    private final IntFunction<VmChooser> choosers;
    private final SplittableRandom random = new SplittableRandom(SEED);
    private final PriorityQueue<Waiting> waiting = new PriorityQueue<>();
    private final long[] free;
    private final List<Map<String, VmOffer>> known = new ArrayList<>();
    private final PriorityQueue<long[]> ends =
        new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));
    private long numbers;
    private int orders;
    private int refused;

    Day(Load load, IntFunction<VmChooser> choosers) {
      this.load = load;
      this.choosers = choosers;
      free = new long[load.vms()];
      for (int vm = 0; vm < load.vms(); vm++) {
        free[vm] = load.freeMilli() + random.nextLong(-4_000, 4_000);
      }
      for (int owner = 0; owner < load.owners(); owner++) {
        known.add(new HashMap<>());
      }
    }

    Outcome play() {
      for (Arrivals kind : load.arrivals()) {
        for (long at = 0; at < DAY_MILLIS; at += kind.intervalMillis()) {
          int owner = random.nextInt(load.owners());
          for (int task = 0; task < kind.step().tasks(); task++) {
            waiting.add(new Waiting(at, numbers++, owner, kind));
          }
        }
      }
      for (long now = 0; now < DAY_MILLIS; now++) {
        endRuns(now);
        report(now);
        while (!waiting.isEmpty() && waiting.peek().atMillis() <= now) {
          place(waiting.poll(), now);
        }
      }
      return new Outcome(orders, refused);
    }

    private void endRuns(long now) {
      while (!ends.isEmpty() && ends.peek()[0] <= now) {
        long[] end = ends.poll();
        free[(int) end[1]] += end[2];
      }
    }

    /** Each VM reports to each owner at its own time. */
    private void report(long now) {
      for (int vm = 0; vm < load.vms(); vm++) {
        for (int owner = 0; owner < load.owners(); owner++) {
          if ((now + 31L * vm + 7L * owner) % REPORT_INTERVAL_MILLIS == 0 || now == 0) {
            String name = "vm-" + vm;
            known.get(owner).put(name, offer(vm));
          }
        }
      }
    }

    private void place(Waiting task, long now) {
      StepSpec step = task.kind().step();
      Map<String, VmOffer> offers = known.get(task.owner());
      Optional<VmOffer> chosen =
          choosers
              .apply(task.owner())
              .choose(
                  WorkflowFixtures.request(step, ImageInterference.PRIOR_BELIEF, Urgency.ORDINARY),
                  offers.values(),
                  unused -> 0);
      if (chosen.isEmpty()) {
        retry(task, now);
        return;
      }
      orders++;
      String name = chosen.get().place().vm();
      int vm = Integer.parseInt(name.substring(name.indexOf('-') + 1));
      long milli = step.sizes().milliProcessors();
      if (free[vm] < milli) {
        refused++;
        offers.put(name, offer(vm));
        retry(task, now);
        return;
      }
      offers.put(name, chosen.get().afterPlacing(step, ImageInterference.PRIOR_BELIEF));
      free[vm] -= milli;
      ends.add(new long[] {now + task.kind().runMillis(), vm, milli});
    }

    private VmOffer offer(int vm) {
      VmOffer offer = WorkflowFixtures.offer("vm-" + vm, free[vm], 0, SERVICES_PER_VM);
      return new VmOffer(
          offer.place(),
          offer.service(),
          offer.labels(),
          offer.rack(),
          new Sizes(load.capacityMilli(), offer.capacity().memoryBytes(), 0),
          offer.free(),
          offer.bestEffortMilliProcessors(),
          offer.interferingMilliProcessors(),
          offer.overcommitMilliProcessors(),
          offer.serviceTasks(),
          offer.slowdown(),
          Optional.empty());
    }

    private void retry(Waiting task, long now) {
      waiting.add(new Waiting(now + RETRY_MILLIS, task.number(), task.owner(), task.kind()));
    }
  }

  private static Outcome playWithoutPreferences(Load load) {
    VmChooser same = VmChooser.of(FAR_RACK_FACTOR);
    return new Day(load, owner -> same).play();
  }

  private static Outcome play(Load load) {
    List<VmChooser> own = new ArrayList<>();
    for (int owner = 0; owner < load.owners(); owner++) {
      own.add(VmChooser.forOwner(FAR_RACK_FACTOR, "owner-" + owner));
    }
    return new Day(load, own::get).play();
  }

  /** Guards against owners that all choose the same VM, which refuses most of them. */
  @Test
  void ownersWithPreferencesAreRefusedLessOften() {
    Outcome without = playWithoutPreferences(SHORT_AND_HEAVY);
    Outcome with = play(SHORT_AND_HEAVY);
    assertTrue(with.refusedShare() < 0.6 * without.refusedShare(), with + " instead of " + without);
  }

  /** Guards against small tasks that all owners send to the VM with the most processors left. */
  @Test
  void burstOfSmallTasksIsSpreadOverTheVmsThatHaveEnough() {
    Outcome without = playWithoutPreferences(BURST_OF_SMALL);
    Outcome with = play(BURST_OF_SMALL);
    assertTrue(with.refusedShare() < 0.5 * without.refusedShare(), with + " instead of " + without);
  }
}
