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
 * Selects the attempts to preempt so that an urgent task can start in a full fleet.
 *
 * <p>When VMs are lost, the capacity reserved for urgent work is lost with them, and urgent tasks
 * wait until a task ends; with 8 of 11 VMs they waited 33 s at the 99th percentile. So batch work
 * that is not urgent is preempted on the one VM where that costs least by the site's weights for
 * evictions and for lost work. Never preempts a latency-critical or urgent task, nor one that was
 * evicted {@value #MAX_EVICTIONS} times, nor more than {@value #MAX_VICTIMS} tasks at once.
 *
 * <p>Preemptions do not cascade: every eviction in the log, by the guard too, counts against the
 * budget of its VM, and the preempted batch work preempts nothing itself. Not thread-safe; a
 * decision sorts the tasks of each VM that has budget left.
 */
public final class Preemptor {
  /** Maximum number of tasks preempted at once; more would empty a VM for one task. */
  static final int MAX_VICTIMS = 4;

  /** A task evicted this often is not preempted again, so that it completes eventually. */
  static final int MAX_EVICTIONS = 3;

  /** Seconds of lost work that cost, at equal weights, as much as an eviction. */
  private static final double LOST_SECONDS_PER_EVICTION = 10;

  /** The cost of a task that is due within this time doubles, in milliseconds. */
  private static final long DUE_SOON_MILLIS = 600_000;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final Map<String, EvictionBudget> budgets = new HashMap<>();

  /**
   * The attempts to preempt.
   *
   * @param vm the VM
   * @param victims the attempts
   * @param cost their cost, in evictions by the site's weights
   */
  public record Choice(PreemptableVm vm, List<Preemption.Victim> victims, double cost) {
    /** Checks and copies the components. */
    public Choice {
      requireNonNull(vm, "vm");
      victims = List.copyOf(victims);
    }
  }

  /** Creates a preemptor without recorded evictions. */
  public Preemptor() {}

  /** Records an eviction on a VM, for whatever reason. */
  public void recordEviction(GuardPolicy policy, String vm, long nowNanos) {
    budget(policy, vm, nowNanos).consume(policy, nowNanos);
  }

  /** Drops the budgets of all VMs but the given ones. */
  public void retain(Set<String> vms) {
    budgets.keySet().retainAll(vms);
  }

  /**
   * Returns the attempts to preempt, or empty if there is no permitted choice.
   *
   * @param policy the policy in force
   * @param required the resources that the urgent task needs
   * @param vms the VMs on which it may run
   * @param nowNanos the clock of this process, in nanoseconds
   * @param nowMillis the clock of this VM in milliseconds, for deadlines of tasks only
   */
  public Optional<Choice> decide(
      GuardPolicy policy, Sizes required, List<PreemptableVm> vms, long nowNanos, long nowMillis) {
    Choice best = null;
    for (PreemptableVm vm : vms) {
      if (!budget(policy, vm.vm(), nowNanos).hasRemaining(policy, nowNanos)) {
        continue;
      }
      Optional<Choice> choice = choose(policy, required, vm, nowMillis);
      if (choice.isPresent() && (best == null || choice.get().cost() < best.cost())) {
        best = choice.get();
      }
    }
    return Optional.ofNullable(best);
  }

  private static Optional<Choice> choose(
      GuardPolicy policy, Sizes required, PreemptableVm vm, long nowMillis) {
    List<PreemptableTask> candidates = new ArrayList<>(vm.tasks());
    candidates.removeIf(task -> !isPreemptable(task));
    candidates.sort(
        Comparator.comparingDouble((PreemptableTask task) -> cost(policy, task, nowMillis))
            .thenComparingLong(task -> -dueMillis(task)));
    List<PreemptableTask> victims = new ArrayList<>();
    Sizes free = vm.free();
    for (PreemptableTask task : candidates) {
      if (required.fitsIn(free) || victims.size() == MAX_VICTIMS) {
        break;
      }
      victims.add(task);
      free = free.plus(task.booked());
    }
    if (!required.fitsIn(free)) {
      return Optional.empty();
    }
    removeUnneeded(victims, required, vm.free());
    double cost = victims.stream().mapToDouble(task -> cost(policy, task, nowMillis)).sum();
    List<Preemption.Victim> preempted =
        victims.stream().map(task -> new Preemption.Victim(task.task(), task.token())).toList();
    return Optional.of(new Choice(vm, preempted, cost));
  }

  /** Removes the victims, most expensive first, without which the others free enough. */
  private static void removeUnneeded(List<PreemptableTask> victims, Sizes required, Sizes free) {
    for (int i = victims.size() - 1; i >= 0; i--) {
      Sizes freeWithout = free;
      for (PreemptableTask other : victims) {
        freeWithout = other == victims.get(i) ? freeWithout : freeWithout.plus(other.booked());
      }
      if (required.fitsIn(freeWithout)) {
        victims.remove(i);
      }
    }
  }

  private static boolean isPreemptable(PreemptableTask task) {
    boolean lowPriority = task.taskClass() == TaskClass.BATCH && !task.urgent();
    return lowPriority && task.evictable() && task.evictions() < MAX_EVICTIONS;
  }

  private static double cost(GuardPolicy policy, PreemptableTask task, long nowMillis) {
    double eviction = policy.evictionsWeight() * (1 + task.evictions());
    double lostSeconds = task.unsavedMillis() / MILLIS_PER_SECOND;
    double lost = policy.throughputWeight() * lostSeconds / LOST_SECONDS_PER_EVICTION;
    boolean isDueSoon =
        task.finishByMillis() > 0 && task.finishByMillis() - nowMillis < DUE_SOON_MILLIS;
    return (eviction + lost) * (isDueSoon ? 2 : 1);
  }

  private static long dueMillis(PreemptableTask task) {
    return task.finishByMillis() == 0 ? Long.MAX_VALUE : task.finishByMillis();
  }

  private EvictionBudget budget(GuardPolicy policy, String vm, long nowNanos) {
    return budgets.computeIfAbsent(vm, unused -> new EvictionBudget(policy, nowNanos));
  }
}
