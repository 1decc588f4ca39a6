package io.marigoldsail.testlib.measure;

import io.marigoldsail.guard.Guard;
import io.marigoldsail.guard.GuardAction;
import io.marigoldsail.guard.GuardPolicy;
import io.marigoldsail.guard.GuardedTask;
import io.marigoldsail.guard.MemoryGuard;
import io.marigoldsail.guard.PreemptableTask;
import io.marigoldsail.guard.PreemptableVm;
import io.marigoldsail.guard.Preemptor;
import io.marigoldsail.guard.ServiceReading;
import io.marigoldsail.job.JobSpec;
import io.marigoldsail.job.JobState;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.job.TaskTable;
import io.marigoldsail.job.VmState;
import io.marigoldsail.placement.CandidateVm;
import io.marigoldsail.placement.Fleet;
import io.marigoldsail.placement.Interference;
import io.marigoldsail.placement.InterferenceCosts;
import io.marigoldsail.placement.PlacementDecision;
import io.marigoldsail.placement.PlacementRequest;
import io.marigoldsail.placement.Placer;
import io.marigoldsail.placement.SizeEstimates;
import io.marigoldsail.placement.UrgentReserve;
import io.marigoldsail.placement.UsageLearner;
import io.marigoldsail.placement.WorkerHealth;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

/** Makes the decisions about tasks in a simulation: the production modules or the baseline. */
interface TaskDecider {
  long NANOS_PER_MILLI = 1_000_000;

  /** Returns the sizes to book for a task of the job. */
  Sizes booking(JobSpec spec);

  /** Returns whether tasks may be placed on the VM. */
  boolean isUsable(VmState vm, long nowMillis);

  /** Reserves capacity in the fleet before a round of decisions. */
  default void prepare(List<JobState> jobs, Fleet fleet, long nowMillis) {}

  /** Returns the VM to place the task on, or empty if none fits. */
  Optional<CandidateVm> place(PlacementRequest request, Fleet fleet);

  /** Returns a VM and the tasks to preempt on it for an urgent task, or empty if there is none. */
  default Optional<Preemptor.Choice> preempt(
      Sizes wanted, Fleet fleet, List<ModelVm> vms, long nowMillis) {
    return Optional.empty();
  }

  /** Returns the throttling and evictions of batch tasks on the VM. */
  List<GuardAction> guard(ModelVm vm, long nowMillis);

  /** Records delayed measurements of the tasks of a VM. */
  void recordMeasurements(ModelVm vm, List<ModelTask> tasks, long nowMillis);

  /** The production modules. */
  final class Product implements TaskDecider {
    private final SizeEstimates estimates = new SizeEstimates();
    private final Interference interference = new Interference();
    private final UsageLearner learner = new UsageLearner(estimates, interference);
    private final UrgentReserve reserve = new UrgentReserve();
    private final WorkerHealth health = new WorkerHealth();
    private final Map<String, Guard> guards = new HashMap<>();
    private final Preemptor preemptor = new Preemptor();
    private final Placer placer;
    private final GuardPolicy policy;
    private long nowMillis;

    Product(TaskTable table, GuardPolicy policy, long seed) {
      this.policy = policy;
      this.placer = new Placer(new InterferenceCosts(interference), new Random(seed));
      table.addEndListener((vm, job, ok) -> health.recordEnd(vm, job, ok, nowMillis));
      table.addEvictionListener(
          vm -> preemptor.recordEviction(policy, vm, nowMillis * NANOS_PER_MILLI));
    }

    @Override
    public Sizes booking(JobSpec spec) {
      return estimates.booking(spec);
    }

    @Override
    public boolean isUsable(VmState vm, long now) {
      nowMillis = now;
      return health.isUsable(vm.vm(), vm.tasks(), now);
    }

    @Override
    public void prepare(List<JobState> jobs, Fleet fleet, long now) {
      for (JobState job : jobs) {
        if (job.waiting() > 0) {
          reserve.observe(booking(job.spec()), job.spec().urgent(), now);
        }
      }
      placer.beginRound();
      Sizes perVm = reserve.perVm(fleet.meanCapacity(), now);
      fleet.reserveVms(perVm, reserve.vmCount(fleet.candidates().size()));
    }

    @Override
    public Optional<CandidateVm> place(PlacementRequest request, Fleet fleet) {
      return placer.place(request, fleet) instanceof PlacementDecision.Chosen chosen
          ? Optional.of(chosen.candidate())
          : Optional.empty();
    }

    @Override
    public Optional<Preemptor.Choice> preempt(
        Sizes wanted, Fleet fleet, List<ModelVm> vms, long now) {
      Map<String, ModelVm> byName = new HashMap<>();
      vms.forEach(vm -> byName.put(vm.name(), vm));
      List<PreemptableVm> candidates = new ArrayList<>();
      for (CandidateVm candidate : fleet.candidates()) {
        if (!candidate.isPreempting()) {
          List<PreemptableTask> tasks =
              byName.get(candidate.vm()).tasks().stream()
                  .map(task -> task.preemptable(now))
                  .toList();
          candidates.add(
              new PreemptableVm(
                  candidate.vm(), candidate.state().registration(), candidate.free(), tasks));
        }
      }
      return preemptor.decide(policy, wanted, candidates, now * NANOS_PER_MILLI, now);
    }

    @Override
    public List<GuardAction> guard(ModelVm vm, long now) {
      long nanos = now * NANOS_PER_MILLI;
      Guard guard = guards.computeIfAbsent(vm.name(), unused -> new Guard(policy, nanos));
      List<GuardedTask> tasks =
          vm.tasks().stream().map(task -> task.guarded(expectedServiceSlowdown(task))).toList();
      List<GuardAction> actions =
          new ArrayList<>(guard.decide(policy, vm.reading(now), tasks, nanos, now));
      MemoryGuard.decide(tasks, TaskBench.SERVICE_MEMORY, TaskBench.VM_MEMORY)
          .ifPresent(actions::add);
      return actions;
    }

    private double expectedServiceSlowdown(ModelTask task) {
      return interference.excess(Interference.SERVICE, task.spec().program());
    }

    @Override
    public void recordMeasurements(ModelVm vm, List<ModelTask> tasks, long nowMillis) {
      List<UsageLearner.TaskMeasurement> measured =
          tasks.stream()
              .map(
                  task ->
                      new UsageLearner.TaskMeasurement(
                          task.spec().program(),
                          task.used(),
                          vm.slowdown(task),
                          task.throttleFraction()))
              .toList();
      double pressure = vm.reading(nowMillis).map(ServiceReading::pressure).orElse(0.0);
      learner.report(vm.name(), measured, pressure);
    }
  }

  /**
   * The baseline: declared sizes, first fit, eviction of the youngest task when the service is
   * slow, no worker health.
   */
  final class Baseline implements TaskDecider {
    @Override
    public Sizes booking(JobSpec spec) {
      return spec.sizes();
    }

    @Override
    public boolean isUsable(VmState vm, long nowMillis) {
      return true;
    }

    @Override
    public Optional<CandidateVm> place(PlacementRequest request, Fleet fleet) {
      return fleet.candidates().stream()
          .filter(candidate -> request.sizes().fitsIn(candidate.free()))
          .findFirst();
    }

    @Override
    public List<GuardAction> guard(ModelVm vm, long nowMillis) {
      boolean slow = vm.reading(nowMillis).map(ServiceReading::pressure).orElse(0.0) > 1;
      Optional<GuardedTask> youngest =
          vm.tasks().stream()
              .map(task -> task.guarded(0))
              .max(Comparator.comparingLong(GuardedTask::startedNanos));
      return slow && youngest.isPresent()
          ? List.of(new GuardAction.Evict(youngest.get().token(), "slow"))
          : List.of();
    }

    @Override
    public void recordMeasurements(ModelVm vm, List<ModelTask> tasks, long nowMillis) {
      // The baseline does not learn.
    }
  }
}
