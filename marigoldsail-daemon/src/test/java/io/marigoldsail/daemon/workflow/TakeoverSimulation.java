package io.marigoldsail.daemon.workflow;

import io.marigoldsail.workflow.TaskKey;
import io.marigoldsail.workflow.TaskRecordState;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * A seeded simulation of owners that order attempts of tasks while earlier ones may still start or
 * run on workers that are up. The sessions of the side processes are the real ones; workers,
 * owners, their store and all connections are models, as strict as the contracts. Two simulations
 * of a seed are equal.
 */
final class TakeoverSimulation {
  private static final int VMS = 2;
  private static final int OWNERS = 3;
  private static final int PARTITIONS = 3;
  private static final int TASKS = 36;
  private static final int TASKS_AT_ONCE = 8;
  private static final long SUBMISSIONS_MILLIS = 24_000;
  private static final WorkerLeaseTerms TERMS =
      WorkerLeaseTerms.forMaxLease(SimulatedWorker.MAX_LEASE_MILLIS);

  /** When the last call that is executed late has been executed, in milliseconds. */
  private static final long QUIET_FROM_MILLIS = SimulatedFaults.END_MILLIS + 13_000;

  /** How long tasks may take after the last fault, in milliseconds. */
  private static final long MAX_RECOVERY_MILLIS = 45_000;

  private final SimulatedTime time = new SimulatedTime();
  private final SplittableRandom random;
  private final RunOracle oracle;
  private final SimulatedStore store;
  private final List<SimulatedOwner> owners = new ArrayList<>();
  private final List<SimulatedVm> vms = new ArrayList<>();
  private final Map<Integer, String> ownerMap = new HashMap<>();
  private int submitted;
  private long epoch;

  /**
   * Creates a simulation.
   *
   * @param restart how workers start again after a crash
   */
  TakeoverSimulation(long seed, boolean keepsHistory, WorkerRestart restart) {
    random = new SplittableRandom(seed);
    oracle = new RunOracle(time, keepsHistory);
    store = new SimulatedStore(oracle);
    for (int i = 0; i < OWNERS; i++) {
      owners.add(
          new SimulatedOwner("owner-" + i, time, random.split(), store, oracle, TERMS, PARTITIONS));
    }
    for (int i = 0; i < VMS; i++) {
      vms.add(
          new SimulatedVm(
              "vm-" + i, restart, time, random.split(), oracle, PARTITIONS, TERMS, owners));
    }
    for (int partition = 0; partition < PARTITIONS; partition++) {
      assign(partition, owners.get(partition % OWNERS));
    }
    for (int i = 0; i < TASKS; i++) {
      time.after(random.nextLong(1, SUBMISSIONS_MILLIS), this::submit);
    }
    new SimulatedFaults(time, random.split(), vms, owners, this::submitMore)
        .schedule(this::reassign);
    time.every(1_000, this::assignUnowned);
  }

  private void submitMore() {
    for (int i = 0; i < TASKS_AT_ONCE; i++) {
      submit();
    }
  }

  private void submit() {
    TaskKey task = TestIds.task(random.nextLong(1, 1_000_000), 0, 0, submitted++);
    store.submit(task.workflow().partition(PARTITIONS), task, TaskRecordState.NEW);
    owners.forEach(owner -> owner.submitted(task));
  }

  private void assign(int partition, SimulatedOwner owner) {
    owner.takeOver(partition, ++epoch);
    ownerMap.put(partition, owner.name());
    Map<Integer, String> told = Map.copyOf(ownerMap);
    long generation = epoch;
    vms.forEach(
        vm -> time.after(random.nextLong(1, 1_200), () -> vm.ownersChanged(generation, told)));
  }

  private void reassign() {
    assign(random.nextInt(PARTITIONS), owners.get(random.nextInt(OWNERS)));
  }

  /** Gives the partitions of restarted owners to others. */
  private void assignUnowned() {
    for (int partition = 0; partition < PARTITIONS; partition++) {
      int wanted = partition;
      boolean held =
          owners.stream()
              .filter(owner -> owner.name().equals(ownerMap.get(wanted)))
              .anyMatch(owner -> owner.holds(wanted));
      if (!held) {
        assign(partition, owners.get(random.nextInt(OWNERS)));
      }
    }
  }

  /** Runs the simulation; returns the first violation, if any. */
  Optional<String> run() {
    while (oracle.violation().isEmpty() && !(time.now() >= QUIET_FROM_MILLIS && store.isDone())) {
      time.step();
      vms.forEach(SimulatedVm::step);
      if (time.now() >= QUIET_FROM_MILLIS + MAX_RECOVERY_MILLIS) {
        List<TaskKey> unfinished = new ArrayList<>();
        store.forEachUnfinished(unfinished::add);
        oracle.reportUnfinished(unfinished);
      }
    }
    return oracle.violation();
  }

  /** Returns the end of the history that concerns the violation. */
  String history() {
    return oracle.describe();
  }

  /** Returns how long the simulation took, in virtual milliseconds. */
  long millis() {
    return time.now();
  }
}
