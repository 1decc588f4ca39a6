package io.marigoldsail.daemon.workflow;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Draws the faults of a simulation: each kind in some simulations, at random times, so that they
 * overlap; and bursts, in which an owner loses a VM while its side process restarts and orders are
 * late.
 */
final class SimulatedFaults {
  /** When the last fault ends, in milliseconds, apart from calls that are executed late. */
  static final long END_MILLIS = 26_000;

  private static final long BEGIN_MILLIS = 1_500;
  private static final long LAST_BURST_MILLIS = 13_000;

  private final SimulatedTime time;
  private final SplittableRandom random;
  private final List<SimulatedVm> vms;
  private final List<SimulatedOwner> owners;
  private final Runnable submitMore;

  /**
   * Creates the faults, of which none is scheduled yet.
   *
   * @param submitMore submits some tasks at once
   */
  SimulatedFaults(
      SimulatedTime time,
      SplittableRandom random,
      List<SimulatedVm> vms,
      List<SimulatedOwner> owners,
      Runnable submitMore) {
    this.time = time;
    this.random = random;
    this.vms = vms;
    this.owners = owners;
    this.submitMore = submitMore;
  }

  /**
   * Schedules the faults.
   *
   * @param reassign gives a partition to another owner
   */
  void schedule(Runnable reassign) {
    times(3, at -> vm().killSide());
    times(2, at -> vm().dieAmongMessages(duration(at, 400, 4_000)));
    times(2, at -> vm().side().standStill(duration(at, 300, 11_000), random.nextInt(3) == 0));
    times(2, at -> vm().crashWorker(duration(at, 100, 3_000)));
    times(2, at -> vm().worker().becomeSilent(duration(at, 300, 9_000)));
    times(4, at -> cut(vm(), owner(), at, 500, 12_000));
    times(3, at -> lateCalls(vm(), at, duration(at, 1_000, 12_000)));
    times(4, at -> reassign.run());
    times(1, at -> owner().restart());
    times(2, at -> owner().loseStore(duration(at, 300, 8_000)));
    if (random.nextInt(4) > 0) {
      at(random.nextLong(BEGIN_MILLIS, LAST_BURST_MILLIS), this::burst);
    }
  }

  private void times(int most, Consumer<Long> fault) {
    int count = random.nextBoolean() ? 0 : 1 + random.nextInt(most);
    for (int i = 0; i < count; i++) {
      at(random.nextLong(BEGIN_MILLIS, END_MILLIS), fault);
    }
  }

  private void at(long millis, Consumer<Long> fault) {
    if (millis < END_MILLIS) {
      time.after(Math.max(1, millis - time.now()), () -> fault.accept(millis));
    }
  }

  private SimulatedVm vm() {
    return vms.get(random.nextInt(vms.size()));
  }

  private SimulatedOwner owner() {
    return owners.get(random.nextInt(owners.size()));
  }

  private long duration(long at, long least, long most) {
    return Math.min(random.nextLong(least, most), END_MILLIS - at);
  }

  private void cut(SimulatedVm vm, SimulatedOwner owner, long at, long least, long most) {
    int kind = random.nextInt(4);
    vm.cut(owner, kind != 1, kind != 2, duration(at, least, most), random.nextBoolean());
  }

  private int percent(int... choices) {
    return choices[random.nextInt(choices.length)];
  }

  private void lateCalls(SimulatedVm vm, long at, long millis) {
    vm.faults()
        .add(
            new CallFaults.Window(
                at,
                at + millis,
                percent(0, 20, 60, 90),
                percent(0, 20, 60, 90),
                percent(0, 0, 10, 40),
                percent(0, 50, 90)));
  }

  private void burst(long at) {
    SimulatedVm vm = vm();
    SimulatedOwner owner = owner();
    vm.faults()
        .add(
            new CallFaults.Window(
                at, END_MILLIS, percent(60, 90), percent(20, 90), percent(0, 0, 10), 90));
    at(at + random.nextLong(600), unused -> submitMore.run());
    at(at + random.nextLong(2_500), begin -> cut(vm, owner, begin, 8_000, 14_000));
    at(at + random.nextLong(2_500), begin -> vm.killSide());
    if (random.nextBoolean()) {
      at(
          at + random.nextLong(10_000),
          begin -> vm.worker().becomeSilent(duration(begin, 500, 6_000)));
    }
  }
}
