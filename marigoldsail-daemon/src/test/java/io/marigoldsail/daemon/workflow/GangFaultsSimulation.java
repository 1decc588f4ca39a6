package io.marigoldsail.daemon.workflow;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.daemon.identity.WorkflowIdCodec;
import io.marigoldsail.daemon.workflow.VirtualEntry.Vm;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.protocol.EndReport;
import io.marigoldsail.protocol.RunOrders;
import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.protocol.WorkflowTaskId;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.StepSpec;
import io.marigoldsail.workflow.TaskKey;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import io.marigoldsail.workflow.Workflow;
import io.marigoldsail.workflow.WorkflowSpec;
import io.marigoldsail.workflow.WorkflowStatus;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * Gangs and plain workflows at one entry, on workers that are cut off from it at random and keep
 * the contract of the platform's workers: runs go on without the entry until their lease expires,
 * the members of a gang end together, and each end is reported until it is acknowledged.
 */
final class GangFaultsSimulation {
  private static final int VMS = 4;
  private static final int STEPS = 300;
  private static final int MAX_CUT_DELAY_MILLIS = 2_000;
  private static final long STEP_MILLIS = 100;
  private static final long CALM_MILLIS = 60_000;
  private static final long MAX_WORK_MILLIS = 4_000;
  private static final int TASK_MILLI_PROCESSORS = 1_500;
  private static final int VM_MILLI_PROCESSORS = 4_000;
  private static final int GANG_MEMBERS = 2;
  private static final WorkerLeaseTerms TERMS = WorkerLeaseTerms.forMaxLease(4_000);

  private record Run(RunKey key, long startedAt, long workMillis) {}

  private final class Worker {
    private final Vm vm;
    private final Map<RunKey, Run> runs = new LinkedHashMap<>();
    private final Set<RunKey> over = new HashSet<>();
    private final Map<RunKey, EndReport> ends = new LinkedHashMap<>();
    private long leaseUntil = Long.MAX_VALUE;
    private long cutAt = Long.MAX_VALUE;
    private long backAt;

    Worker(Vm vm) {
      this.vm = vm;
    }

    /** Schedules an interruption that is short or about as long as the takeover time. */
    void cutSoon() {
      if (cutAt == Long.MAX_VALUE && entry.millis() >= backAt) {
        cutAt = entry.millis() + random.nextInt(MAX_CUT_DELAY_MILLIS);
      }
    }

    void cutIfDue() {
      if (entry.millis() < cutAt) {
        return;
      }
      cutAt = Long.MAX_VALUE;
      backAt = entry.millis() + random.nextInt((int) TERMS.takeoverMillis() * 3 / 2);
      if (vm.isConnected()) {
        log("cut off " + vm.name());
        vm.disconnect();
      }
    }

    void report() {
      int free = VM_MILLI_PROCESSORS - runs.size() * TASK_MILLI_PROCESSORS;
      vm.report(free, List.copyOf(runs.keySet()), List.copyOf(ends.values()));
      leaseUntil = entry.millis() + TERMS.leaseMillis();
      vm.takeOrders().forEach(this::execute);
    }

    private void execute(RunOrders orders) {
      for (StartRun start : orders.getStartsList()) {
        start(WorkflowIdCodec.decode(start.getTask()));
      }
      for (WorkflowTaskId stop : orders.getStopsList()) {
        RunKey run = WorkflowIdCodec.decode(stop);
        if (!runs.containsKey(run) && over.add(run)) {
          ends.put(run, ScriptedVm.end(run, RunOutcome.STOPPED));
        }
        end(run, RunOutcome.STOPPED);
      }
      for (WorkflowTaskId end : orders.getNotedEndsList()) {
        acknowledged(ends.remove(WorkflowIdCodec.decode(end)));
      }
    }

    private void start(RunKey run) {
      if (runs.containsKey(run) || over.contains(run)) {
        return;
      }
      check(!acknowledgedDone.contains(run.task()), "started after it was done", run);
      check(
          workers.stream()
              .flatMap(worker -> worker.runs.keySet().stream())
              .noneMatch(other -> other.task().equals(run.task())),
          "started while it runs",
          run);
      runs.put(run, new Run(run, entry.millis(), 1 + random.nextInt((int) MAX_WORK_MILLIS)));
      log("start " + run + " on " + vm.name());
    }

    private void end(RunKey run, RunOutcome outcome) {
      if (runs.remove(run) == null) {
        return;
      }
      over.add(run);
      ends.put(run, ScriptedVm.end(run, outcome));
      log("end " + run + " " + outcome + " on " + vm.name());
      if (isGang(run)) {
        RunOutcome others = outcome == RunOutcome.DONE ? outcome : RunOutcome.BROKEN;
        for (Worker worker : workers) {
          membersOn(worker, run).forEach(member -> worker.end(member, others));
        }
      }
    }

    private void acknowledged(EndReport end) {
      if (end != null && RunOutcome.forNumber(end.getOutcome()).completes()) {
        acknowledgedDone.add(WorkflowIdCodec.decode(end.getTask()).task());
      }
    }

    private void endDueRuns() {
      for (Run run : List.copyOf(runs.values())) {
        if (entry.millis() > leaseUntil) {
          end(run.key(), RunOutcome.LAPSED);
        } else if (entry.millis() > run.startedAt() + run.workMillis() && isComplete(run.key())) {
          end(run.key(), random.nextInt(8) == 0 ? RunOutcome.STOPPED : RunOutcome.DONE);
        }
      }
    }
  }

  private final Random random;
  private final VirtualEntry entry =
      new VirtualEntry(TERMS, WorkflowTestCluster.configuration(1, "service"));
  private final List<Worker> workers = new ArrayList<>();
  private final List<Workflow> workflows = new ArrayList<>();
  private final Set<TaskKey> acknowledgedDone = new HashSet<>();
  private final List<String> history = new ArrayList<>();
  private final List<String> violations = new ArrayList<>();

  GangFaultsSimulation(long seed) {
    random = new Random(seed);
    for (int i = 0; i < VMS; i++) {
      workers.add(new Worker(entry.addVm("vm-" + i, "service")));
    }
  }

  /** Runs the simulation and returns what went wrong, with the history, or empty if nothing did. */
  Optional<String> run() {
    for (int step = 0; step < STEPS; step++) {
      act();
      step(true);
    }
    for (long passed = 0; passed < CALM_MILLIS && !areAllDone(); passed += STEP_MILLIS) {
      step(false);
    }
    for (Workflow workflow : workflows) {
      if (workflow.status() != WorkflowStatus.DONE) {
        violations.add(workflow.spec().id() + " is " + workflow.status() + " after the calm");
      }
    }
    return violations.isEmpty()
        ? Optional.empty()
        : Optional.of(violations + "\n" + String.join("\n", history));
  }

  private boolean areAllDone() {
    return workflows.stream().allMatch(each -> each.status() == WorkflowStatus.DONE);
  }

  /** Submits a workflow, or cuts off a VM or all of them, one after the other. */
  private void act() {
    switch (random.nextInt(20)) {
      case 0 -> submit(GANG_MEMBERS, true);
      case 1 -> submit(1 + random.nextInt(2), false);
      case 2 -> workers.get(random.nextInt(VMS)).cutSoon();
      case 3 -> workers.forEach(Worker::cutSoon);
      default -> {}
    }
  }

  private void submit(int tasks, boolean gang) {
    StepSpec step =
        new StepSpec(
            tasks,
            new Sizes(TASK_MILLI_PROCESSORS, 1 << 20, 0),
            MAX_WORK_MILLIS / 2,
            ImmutableList.of(),
            StepSpec.Placement.ANYWHERE,
            new StepSpec.TaskTraits(gang, false, false, false, false, "", 0, 0));
    WorkflowSpec spec =
        new WorkflowSpec(
            TestIds.id(workflows.size() + 1),
            "queue",
            new WorkflowSpec.QueuePolicy("service", 0, 3, Optional.empty(), 2, 100),
            "program",
            ImmutableList.of(step),
            WorkflowSpec.Schedule.IMMEDIATE,
            0);
    workflows.add(entry.submit(spec));
    log("submitted " + spec.id() + (gang ? ", a gang" : ""));
  }

  private void step(boolean troubled) {
    for (Worker worker : workers) {
      worker.cutIfDue();
      if (entry.millis() >= worker.backAt || !troubled) {
        worker.report();
      }
    }
    entry.advance(STEP_MILLIS);
    workers.forEach(Worker::endDueRuns);
    try {
      entry.rethrowFailure();
    } catch (RuntimeException e) {
      violations.add("a task of the entry threw " + e);
    }
  }

  private boolean isGang(RunKey run) {
    return entry
        .workflow(TestIds.number(run.task().workflow()))
        .task(run.task())
        .orElseThrow()
        .step()
        .traits()
        .gang();
  }

  private static List<RunKey> membersOn(Worker worker, RunKey run) {
    return worker.runs.keySet().stream()
        .filter(
            other ->
                other.task().workflow().equals(run.task().workflow())
                    && other.task().step() == run.task().step()
                    && other.attempt() == run.attempt())
        .toList();
  }

  /** Returns whether all members of the run's gang run, or it is in none. */
  private boolean isComplete(RunKey run) {
    return !isGang(run)
        || workers.stream().mapToInt(worker -> membersOn(worker, run).size()).sum() == GANG_MEMBERS;
  }

  private void check(boolean holds, String violation, RunKey run) {
    if (!holds) {
      log("VIOLATION " + run + " " + violation);
      violations.add(run + " " + violation);
    }
  }

  private void log(String line) {
    history.add(entry.millis() + " " + line);
  }
}
