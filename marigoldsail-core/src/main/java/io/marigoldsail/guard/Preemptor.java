package io.marigoldsail.guard;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.job.Preemption;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.job.TaskClass;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which attempts go so that an urgent task can start in a full fleet.
 *
 * <p>Load pattern: VMs are lost, and the room kept for urgent work with them; urgent tasks wait
 * until something ends (a trial at 8 of 11 VMs: 33 s at the 99th percentile). So batch work that is
 * not urgent goes: on the one VM where that costs least, by the site's weights for evictions and
 * for lost work. Never a latency-critical or urgent task, nor one that has gone {@value
 * #MOST_EVICTIONS} times, nor more than {@value #MOST_VICTIMS} at once.
 *
 * <p>No wave results: each VM has a budget that every eviction in the log counts against, the
 * guard's too, and what goes is batch work, which makes no room for itself. Not safe for use by
 * several threads; a decision costs a sort of the tasks of each VM that has budget.
 */
public final class Preemptor {
  /** More would empty a VM for one task. */
  static final int MAX_VICTIMS = 4;

  /** A task that went so often stays: it must end some time. */
  static final int MAX_EVICTIONS = 3;

  /** So many seconds of lost work weigh, at equal weights, as much as an eviction. */
  private static final double LOST_SECONDS_PER_EVICTION = 10;

  /** A task due within this time, in milliseconds, costs double. */
  private static final long DUE_SOON_MILLIS = 600_000;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final Map<String, EvictionBudget> budgets = new HashMap<>();

  /**
   * Who goes.
   *
   * @param vm the VM where
   * @param victims the attempts
   * @param cost what it costs, in evictions by the site's weights
   */
  public record Choice(PreemptableVm vm, List<Preemption.Victim> victims, double cost) {
    /** Checks and copies the components. */
    public Choice {
      requireNonNull(vm, "vm");
      victims = List.copyOf(victims);
    }
  }

  /** Creates a preemptor that knows of no eviction. */
  public Preemptor() {}

  /** Notes an eviction on a VM, for whatever reason. */
  public void recordEviction(GuardPolicy terms, String vm, long nowNanos) {
    budget(terms, vm, nowNanos).consume(terms, nowNanos);
  }

  /** Forgets VMs that are gone. */
  public void retain(Set<String> vms) {
    budgets.keySet().retainAll(vms);
  }

  /**
   * Returns who goes, or empty if nobody may.
   *
   * @param terms what the configuration in force says
   * @param wanted what the urgent task needs
   * @param vms where it may run
   * @param nowNanos this process's clock
   * @param nowMillis this VM's clock, for the tasks' deadlines only
   */
  public Optional<Choice> decide(
      GuardPolicy terms, Sizes wanted, List<PreemptableVm> vms, long nowNanos, long nowMillis) {
    Choice best = null;
    for (PreemptableVm vm : vms) {
      if (!budget(terms, vm.vm(), nowNanos).hasRemaining(terms, nowNanos)) {
        continue;
      }
      Optional<Choice> choice = choose(terms, wanted, vm, nowMillis);
      if (choice.isPresent() && (best == null || choice.get().cost() < best.cost())) {
        best = choice.get();
      }
    }
    return Optional.ofNullable(best);
  }

  private static Optional<Choice> choose(
      GuardPolicy terms, Sizes wanted, PreemptableVm vm, long nowMillis) {
    List<PreemptableTask> candidates = new ArrayList<>(vm.tasks());
    candidates.removeIf(task -> !isPreemptable(task));
    candidates.sort(
        Comparator.comparingDouble((PreemptableTask task) -> cost(terms, task, nowMillis))
            .thenComparingLong(task -> -dueMillis(task)));
    List<PreemptableTask> victims = new ArrayList<>();
    Sizes free = vm.free();
    for (PreemptableTask task : candidates) {
      if (wanted.fitsIn(free) || victims.size() == MAX_VICTIMS) {
        break;
      }
      victims.add(task);
      free = free.plus(task.booked());
    }
    if (!wanted.fitsIn(free)) {
      return Optional.empty();
    }
    removeUnneeded(victims, wanted, vm.free());
    double cost = victims.stream().mapToDouble(task -> cost(terms, task, nowMillis)).sum();
    List<Preemption.Victim> going =
        victims.stream().map(task -> new Preemption.Victim(task.task(), task.token())).toList();
    return Optional.of(new Choice(vm, going, cost));
  }

  /** Leaves those out, the dearest first, without whom the others make room enough. */
  private static void removeUnneeded(List<PreemptableTask> victims, Sizes wanted, Sizes free) {
    for (int i = victims.size() - 1; i >= 0; i--) {
      Sizes without = free;
      for (PreemptableTask other : victims) {
        without = other == victims.get(i) ? without : without.plus(other.booked());
      }
      if (wanted.fitsIn(without)) {
        victims.remove(i);
      }
    }
  }

  private static boolean isPreemptable(PreemptableTask task) {
    boolean lowest = task.taskClass() == TaskClass.BATCH && !task.urgent();
    return lowest && task.evictable() && task.evictions() < MAX_EVICTIONS;
  }

  private static double cost(GuardPolicy terms, PreemptableTask task, long nowMillis) {
    double eviction = terms.evictionsWeight() * (1 + task.evictions());
    double lostSeconds = task.unsavedMillis() / MILLIS_PER_SECOND;
    double lost = terms.throughputWeight() * lostSeconds / LOST_SECONDS_PER_EVICTION;
    boolean dueSoon =
        task.finishByMillis() > 0 && task.finishByMillis() - nowMillis < DUE_SOON_MILLIS;
    return (eviction + lost) * (dueSoon ? 2 : 1);
  }

  private static long dueMillis(PreemptableTask task) {
    return task.finishByMillis() == 0 ? Long.MAX_VALUE : task.finishByMillis();
  }

  private EvictionBudget budget(GuardPolicy terms, String vm, long nowNanos) {
    return budgets.computeIfAbsent(vm, unused -> new EvictionBudget(terms, nowNanos));
  }
}
