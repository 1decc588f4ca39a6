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
import io.marigoldsail.placement.WorkerHealth;
import io.marigoldsail.protocol.TaskUsage;
import io.marigoldsail.protocol.UsageReport;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What one entry has learned about VMs and programs. Each entry learns for itself from the same
 * reports; nothing of it has to last.
 */
final class PlacementKnowledge {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final double PERMILLE = 1_000;
  private static final long FORGET_MILLIS = 60_000;

  /** Up to this part of its goal, a service's tail latency counts as undisturbed. */
  private static final double UNDISTURBED = 0.8;

  private final EntryContext context;
  private final WorkerHealth health = new WorkerHealth();
  private final SizeEstimates estimates = new SizeEstimates();
  private final Interference interference = new Interference();
  private long nextForget;

  PlacementKnowledge(EntryContext context) {
    this.context = context;
    this.nextForget = context.nanos();
    context.table().addEndListener((vm, job, ok) -> health.ended(vm, job, ok, steadyMillis()));
  }

  void tick() {
    if (!context.passed(nextForget)) {
      return;
    }
    nextForget = context.afterMillis(FORGET_MILLIS);
    Set<String> names = new HashSet<>();
    context.table().vms().forEach(vm -> names.add(vm.vm()));
    health.retain(names);
  }

  PlacementCosts costs() {
    return new InterferenceCosts(interference);
  }

  /**
   * Returns what to book for a task of the job. Where no VM could hold what was measured, the
   * declared sizes count: a task that was accepted must not wait for ever.
   */
  Sizes booking(JobSpec spec) {
    Sizes booking = estimates.booking(spec);
    boolean never = Fleet.whyNever(context.table().vms(), booking).isPresent();
    return never ? spec.sizes() : booking;
  }

  boolean usable(VmState vm) {
    return health.usable(vm.vm(), vm.tasks(), steadyMillis());
  }

  void onUsage(UsageReport report) {
    Optional<VmState> vm = context.table().vm(report.getVm());
    if (vm.isEmpty()) {
      return;
    }
    long registration = vm.get().registration();
    Map<String, Integer> programs = context.table().programsOn(registration);
    for (TaskUsage usage : report.getTasksList()) {
      Optional<String> program = programOf(usage, registration);
      if (program.isPresent()) {
        learn(program.get(), usage, programs);
      }
    }
    double disturbed = report.getServiceSlowdownPermille() / PERMILLE - UNDISTURBED;
    if (report.getServiceSlowdownPermille() > 0) {
      interference.measured(Interference.SERVICE, names(programs, ""), 1 + Math.max(0, disturbed));
    }
  }

  private void learn(String program, TaskUsage usage, Map<String, Integer> programs) {
    estimates.measured(program, new Sizes(usage.getMilliProcessors(), usage.getMemoryBytes(), 0));
    interference.measured(
        program, names(programs, program), usage.getSlowdownPermille() / PERMILLE);
  }

  private Optional<String> programOf(TaskUsage usage, long registration) {
    Optional<TaskState> task = context.table().task(usage.getTask());
    boolean current =
        task.isPresent()
            && task.get().holds(usage.getToken())
            && task.get().registration() == registration;
    if (!current) {
      return Optional.empty();
    }
    return context.table().job(task.get().job()).map(JobState::spec).map(JobSpec::program);
  }

  /** Returns a name for each task there, one of the given program left out. */
  private static List<String> names(Map<String, Integer> programs, String without) {
    List<String> names = new ArrayList<>();
    programs.forEach(
        (program, count) -> {
          int others = program.equals(without) ? count - 1 : count;
          for (int i = 0; i < others; i++) {
            names.add(program);
          }
        });
    return names;
  }

  private long steadyMillis() {
    return context.nanos() / NANOS_PER_MILLI;
  }
}
