package io.marigoldsail.daemon.task;

import io.marigoldsail.job.JobSpec;
import io.marigoldsail.job.JobState;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.job.TaskState;
import io.marigoldsail.job.VmState;
import io.marigoldsail.placement.Fleet;
import io.marigoldsail.placement.Interference;
import io.marigoldsail.placement.InterferenceCosts;
import io.marigoldsail.placement.PlacementCosts;
import io.marigoldsail.placement.SizeEstimates;
import io.marigoldsail.placement.UrgentReserve;
import io.marigoldsail.placement.UsageLearner;
import io.marigoldsail.placement.WorkerHealth;
import io.marigoldsail.protocol.TaskUsage;
import io.marigoldsail.protocol.UsageReport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Learned model of VM health, resource usage and interference that an entry uses for placement.
 *
 * <p>Each entry builds its own from the reports that all entries receive; it is not persistent. Not
 * thread-safe; runs under the lock of {@link EntryTaskScheduler}.
 */
final class PlacementModel {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final double PERMILLE = 1_000;
  private static final long CLEANUP_INTERVAL_MILLIS = 60_000;
  private static final double PERCENT = 100;

  private final EntryContext context;
  private final WorkerHealth health = new WorkerHealth();
  private final SizeEstimates estimates = new SizeEstimates();
  private final Interference interference = new Interference();
  private final UsageLearner usageLearner = new UsageLearner(estimates, interference);
  private final UrgentReserve reserve = new UrgentReserve();
  private long nextCleanup;

  PlacementModel(EntryContext context) {
    this.context = context;
    this.nextCleanup = context.nanos();
    context
        .table()
        .addEndListener((vm, job, ok) -> health.recordEnd(vm, job, ok, monotonicMillis()));
  }

  void tick() {
    if (!context.hasPassed(nextCleanup)) {
      return;
    }
    nextCleanup = context.deadlineAfterMillis(CLEANUP_INTERVAL_MILLIS);
    Set<String> names = new HashSet<>();
    context.table().vms().forEach(vm -> names.add(vm.vm()));
    health.retain(names);
  }

  PlacementCosts costs() {
    return new InterferenceCosts(interference);
  }

  /**
   * Returns the resources to book for a task of the job: the estimate from measurements, or the
   * declared sizes if no VM could ever hold the estimate. Otherwise an accepted task could wait
   * forever.
   */
  Sizes booking(JobSpec spec) {
    Sizes booking = estimates.booking(spec);
    boolean infeasible = Fleet.infeasibilityReason(context.table().vms(), booking).isPresent();
    return infeasible ? spec.sizes() : booking;
  }

  /**
   * Returns the expected relative increase of a service's latency when a task of the job runs on
   * the same VM.
   */
  double expectedSlowdown(JobSpec spec) {
    return interference.excess(Interference.SERVICE, spec.program());
  }

  /** Reserves capacity in the fleet for urgent jobs if there were any recently. */
  void reserveForUrgentJobs(List<JobState> jobs, Fleet fleet) {
    for (JobState job : jobs) {
      if (job.waiting() > 0) {
        reserve.observe(booking(job.spec()), job.spec().urgent(), monotonicMillis());
      }
    }
    Sizes reservedPerVm = reserve.perVm(fleet.meanCapacity(), monotonicMillis());
    fleet.reserveVms(reservedPerVm, reserve.vmCount(fleet.candidates().size()));
  }

  boolean isUsable(VmState vm) {
    return health.isUsable(vm.vm(), vm.tasks(), monotonicMillis());
  }

  void onUsage(UsageReport report) {
    Optional<VmState> vm = context.table().vm(report.getVm());
    if (vm.isEmpty()) {
      return;
    }
    Map<Long, TaskUsage> usageByToken = new HashMap<>();
    report.getTasksList().forEach(usage -> usageByToken.put(usage.getToken(), usage));
    List<UsageLearner.TaskMeasurement> measurements = new ArrayList<>();
    for (TaskState task : context.table().tasksOn(vm.get().registration())) {
      context
          .table()
          .job(task.job())
          .map(job -> toMeasurement(job.spec().program(), usageByToken.get(task.token())))
          .ifPresent(measurements::add);
    }
    usageLearner.report(
        vm.get().vm(), measurements, report.getServiceSlowdownPermille() / PERMILLE);
  }

  private static UsageLearner.TaskMeasurement toMeasurement(String program, TaskUsage usage) {
    if (usage == null) {
      return new UsageLearner.TaskMeasurement(program, Sizes.NONE, 0, 1);
    }
    return new UsageLearner.TaskMeasurement(
        program,
        new Sizes(usage.getMilliProcessors(), usage.getMemoryBytes(), 0),
        usage.getSlowdownPermille() / PERMILLE,
        usage.getThrottlePercent() / PERCENT);
  }

  private long monotonicMillis() {
    return context.nanos() / NANOS_PER_MILLI;
  }
}
