package io.marigoldsail.testlib.measure;

import io.marigoldsail.guard.GuardAction;
import io.marigoldsail.job.JobQueue;
import io.marigoldsail.job.JobState;
import io.marigoldsail.job.ReleaseCause;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.job.TaskRecord;
import io.marigoldsail.job.TaskState;
import io.marigoldsail.job.TaskTable;
import io.marigoldsail.job.TeamQuota;
import io.marigoldsail.job.VmDescription;
import io.marigoldsail.job.VmState;
import io.marigoldsail.lease.LeaseTerms;
import io.marigoldsail.placement.CandidateVm;
import io.marigoldsail.placement.Fleet;
import io.marigoldsail.placement.PlacementRequest;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.HdrHistogram.Histogram;

/**
 * Simulates eleven VMs, a load of jobs and the decision modules on a virtual clock, in steps of 100
 * ms.
 *
 * <p>Uses the production task table; a {@link TaskDecider} makes the decisions. Not thread-safe.
 */
final class TaskBench {
  static final long HORIZON_MILLIS = 600_000;
  static final long SERVICE_MEMORY = 8L << 30;
  static final long VM_MEMORY = 60L << 30;

  private static final int VMS = 11;
  private static final int VMS_PER_RACK = 3;
  private static final Sizes TASK_CAPACITY = new Sizes(10_000, VM_MEMORY - SERVICE_MEMORY, 0);
  private static final long STEP_MILLIS = 100;
  private static final long APPEND_MILLIS = 100;
  private static final long GUARD_MILLIS = 500;
  private static final long MEASURE_MILLIS = 2_000;
  private static final int MAX_CLAIMS_PER_ROUND = 32;
  private static final long LEASE_MILLIS = LeaseTerms.DEFAULT.batchMillis();

  private record Append(long dueMillis, TaskRecord record) {}

  private final TaskDisturbance disturbance;
  private final TaskLoad load;
  private final TaskDecider decider;
  private final boolean fairQueue;
  private final TaskTable table;
  private final Random random;
  private final List<ModelVm> vms = new ArrayList<>();
  private final ArrayDeque<Append> appends = new ArrayDeque<>();
  private final Map<String, Double> checkpoints = new HashMap<>();
  private final Map<String, Long> acceptedMillis = new HashMap<>();
  private final Map<String, Sizes> pendingClaims = new HashMap<>();
  private final Set<String> startedUrgent = new HashSet<>();
  private final Set<String> preempting = new HashSet<>();
  private final Map<ModelVm, Long> failedAtMillis = new HashMap<>();
  private final Histogram latencies = new Histogram(3);
  private final Histogram urgentMillis = new Histogram(3);
  private long position;
  private long now;
  private double workMillis;
  private double lostMillis;
  private long evictions;

  /**
   * Creates a simulation.
   *
   * @param fair whether to use the production queue order instead of first come, first served
   */
  TaskBench(
      TaskDisturbance disturbance,
      TaskLoad load,
      TaskDecider decider,
      TaskTable table,
      boolean fair,
      long seed) {
    this.disturbance = disturbance;
    this.load = load;
    this.decider = decider;
    this.table = table;
    this.fairQueue = fair;
    this.random = new Random(seed);
    for (int i = 0; i < VMS; i++) {
      ModelVm vm = new ModelVm("vm-" + i);
      vms.add(vm);
      fold(
          new TaskRecord.VmJoined(
              new VmDescription(
                  vm.name(), 1, TASK_CAPACITY, Deployment.zoneOf(i), "rack-" + i / VMS_PER_RACK)));
    }
  }

  ModelVm vm(int number) {
    return vms.get(number);
  }

  void failVm(int number) {
    ModelVm vm = vms.get(number);
    for (ModelTask task : vm.tasks()) {
      lostMillis += task.progressMillis() - task.checkpointMillis();
      checkpoints.put(task.name(), task.checkpointMillis());
    }
    vm.fail();
    failedAtMillis.put(vm, now);
  }

  void cancelMostJobs() {
    int index = 0;
    for (JobState job : table.jobs()) {
      if (index % 5 < 3) {
        append(new TaskRecord.JobCancelled(job.spec().name(), "wave"));
      }
      index++;
    }
  }

  TaskScore run() {
    Iterator<TaskLoad.Submission> submissions = load.submissions().iterator();
    TaskLoad.Submission next = submissions.hasNext() ? submissions.next() : null;
    disturbance.onStart(this);
    for (now = 0; now < HORIZON_MILLIS; now += STEP_MILLIS) {
      disturbance.onTick(this, now);
      while (next != null && next.atMillis() <= now) {
        append(new TaskRecord.JobAccepted(next.spec(), now));
        next = submissions.hasNext() ? submissions.next() : null;
      }
      foldAppends();
      clearFailedVms();
      serveAndWork();
      guardAndMeasure();
      decide();
    }
    return score();
  }

  private TaskScore score() {
    long failed = 0;
    for (JobState job : table.jobs()) {
      failed += job.failed();
    }
    for (JobState job : table.endedJobs()) {
      failed += job.failed();
    }
    return new TaskScore(
        latencies.getValueAtPercentile(99) / 1_000.0,
        (workMillis - lostMillis) / 1_000,
        evictions,
        urgentMillis.getTotalCount() == 0
            ? Double.NaN
            : urgentMillis.getValueAtPercentile(99) / 1_000.0,
        lostMillis / 1_000,
        failed,
        position * 1_000.0 / HORIZON_MILLIS);
  }

  private void append(TaskRecord record) {
    appends.add(new Append(now + APPEND_MILLIS, record));
  }

  private void foldAppends() {
    while (!disturbance.logDown(now) && !appends.isEmpty() && appends.peek().dueMillis() <= now) {
      TaskRecord record = appends.poll().record();
      long at = fold(record);
      if (record instanceof TaskRecord.JobAccepted accepted) {
        acceptedMillis.put(accepted.job().name(), now);
      }
      if (record instanceof TaskRecord.Preempted preempted) {
        evictVictims(preempted, at);
      }
      if (record instanceof TaskRecord.Claimed claim) {
        pendingClaims.remove(claim.task());
        start(claim, at);
      }
    }
  }

  private long fold(TaskRecord record) {
    long at = position;
    table.apply(at, record);
    position++;
    return at;
  }

  private void start(TaskRecord.Claimed claim, long token) {
    Optional<TaskState> task = table.task(claim.task());
    ModelVm vm = vmOf(claim.vm());
    if (task.isEmpty() || !task.get().isClaimedWith(token) || vm.dead()) {
      return;
    }
    var spec = table.job(task.get().job()).orElseThrow().spec();
    if (spec.urgent() && startedUrgent.add(claim.task())) {
      urgentMillis.recordValue(now - acceptedMillis.get(spec.name()));
    }
    vm.tasks()
        .add(
            new ModelTask(
                claim.task(),
                spec,
                load.kind(spec),
                claim.sizes(),
                token,
                TaskLoad.workMillis(claim.task()),
                checkpoints.getOrDefault(claim.task(), 0.0),
                now));
  }

  private ModelVm vmOf(String name) {
    return vms.stream().filter(vm -> vm.name().equals(name)).findFirst().orElseThrow();
  }

  /**
   * Appends the records that entries write about unresponsive VMs: revoked, then cleared after the
   * lease.
   */
  private void clearFailedVms() {
    failedAtMillis.forEach(
        (vm, at) -> {
          Optional<VmState> state =
              table.vms().stream().filter(v -> v.vm().equals(vm.name())).findFirst();
          if (state.isEmpty()) {
            return;
          }
          long registration = state.get().registration();
          long revokeAt = at + LeaseTerms.DEFAULT.silenceMillis();
          if (now == revokeAt) {
            append(new TaskRecord.VmRevoked(vm.name(), registration, "silent"));
          }
          if (now == roundUp(revokeAt + LeaseTerms.maxRemainingMillis(LEASE_MILLIS))) {
            append(new TaskRecord.VmCleared(vm.name(), registration, LEASE_MILLIS));
          }
        });
  }

  private static long roundUp(long millis) {
    return (millis + STEP_MILLIS - 1) / STEP_MILLIS * STEP_MILLIS;
  }

  private void serveAndWork() {
    for (int i = 0; i < VMS; i++) {
      ModelVm vm = vms.get(i);
      if (vm.dead()) {
        continue;
      }
      long service = disturbance.serviceMilliProcessors(i, now);
      vm.serve(service, random, now, latencies);
      workMillis += vm.work(service, STEP_MILLIS, now);
      for (ModelTask task : List.copyOf(vm.tasks())) {
        applyEnd(vm, task);
      }
      killForMemory(vm);
    }
  }

  private void applyEnd(ModelVm vm, ModelTask task) {
    boolean cancelled =
        table.job(task.spec().name()).map(job -> !job.cancelReason().isEmpty()).orElse(true);
    if (cancelled) {
      release(vm, task, ReleaseCause.STOPPED);
    } else if (vm.failsAllTasks()) {
      vm.tasks().remove(task);
      append(new TaskRecord.Ended(task.name(), task.token(), false, "", "worker is broken"));
    } else if (task.done()) {
      vm.tasks().remove(task);
      append(new TaskRecord.Ended(task.name(), task.token(), true, "", ""));
    }
  }

  private void killForMemory(ModelVm vm) {
    long used = SERVICE_MEMORY;
    for (ModelTask task : vm.tasks()) {
      used += task.used().memoryBytes();
    }
    if (used > VM_MEMORY) {
      ModelTask largest =
          vm.tasks().stream()
              .max(Comparator.comparingLong(task -> task.used().memoryBytes()))
              .orElseThrow();
      evictions++;
      release(vm, largest, ReleaseCause.EVICTED);
    }
  }

  private void release(ModelVm vm, ModelTask task, ReleaseCause cause) {
    vm.tasks().remove(task);
    boolean restarts = cause != ReleaseCause.STOPPED;
    lostMillis += restarts ? task.progressMillis() - task.checkpointMillis() : 0;
    checkpoints.put(task.name(), task.checkpointMillis());
    String checkpoint = "" + (long) task.checkpointMillis();
    append(new TaskRecord.Released(task.name(), task.token(), cause, checkpoint, "released"));
  }

  private void guardAndMeasure() {
    for (ModelVm vm : vms) {
      if (vm.dead()) {
        continue;
      }
      if (now % GUARD_MILLIS == 0) {
        decider.guard(vm, now).forEach(action -> apply(vm, action));
      }
      if (now % MEASURE_MILLIS == 0) {
        decider.recordMeasurements(vm, vm.tasks(), now);
      }
    }
  }

  private void apply(ModelVm vm, GuardAction action) {
    Optional<ModelTask> task =
        vm.tasks().stream().filter(t -> t.token() == action.token()).findFirst();
    if (task.isEmpty()) {
      return;
    }
    if (action instanceof GuardAction.Throttle throttle) {
      task.get().throttleFraction(throttle.percent());
      return;
    }
    if (fairQueue) {
      task.get().checkpoint(now);
    }
    evictions++;
    release(vm, task.get(), ReleaseCause.EVICTED);
  }

  private void decide() {
    List<JobState> jobs = table.jobs();
    if (disturbance.logDown(now) || jobs.stream().noneMatch(job -> job.waiting() > 0)) {
      return;
    }
    Fleet fleet =
        new Fleet(
            table.vms(),
            vm -> !vmOf(vm.vm()).dead() && decider.isUsable(vm, now),
            table::programsOn);
    fleet.reservePreempted(table.preemptions());
    appends.forEach(
        append -> {
          if (append.record() instanceof TaskRecord.Claimed claim) {
            fleet.allocate(claim.registration(), programOf(claim.task()), claim.sizes());
          }
        });
    decider.prepare(jobs, fleet, now);
    if (fairQueue) {
      decideFairly(jobs, fleet);
    } else {
      jobs.forEach(job -> claimAll(job, fleet));
    }
  }

  private String programOf(String task) {
    return table.job(TaskState.jobOf(task)).map(job -> job.spec().program()).orElse("");
  }

  private void decideFairly(List<JobState> jobs, Fleet fleet) {
    JobQueue order =
        new JobQueue(jobs, table.bookedByTeam(), team -> TeamQuota.DEFAULT, fleet.capacity(), now);
    Map<String, Iterator<TaskState>> waiting = new HashMap<>();
    Optional<JobState> next = order.next();
    for (int claims = 0; next.isPresent() && claims < MAX_CLAIMS_PER_ROUND; claims++) {
      JobState job = next.get();
      Iterator<TaskState> tasks =
          waiting.computeIfAbsent(job.spec().name(), name -> waitingOf(job));
      if (tasks.hasNext() && claim(job, tasks.next(), fleet)) {
        order.recordAllocation(job, decider.booking(job.spec()), tasks.hasNext());
      }
      next = order.next();
    }
  }

  private void claimAll(JobState job, Fleet fleet) {
    Iterator<TaskState> tasks = waitingOf(job);
    while (tasks.hasNext() && claim(job, tasks.next(), fleet)) {
      // Claims tasks until one does not fit.
    }
  }

  private void preempt(JobState job, TaskState task, Fleet fleet) {
    if (job.spec().urgent() && !preempting.contains(task.name())) {
      decider
          .preempt(decider.booking(job.spec()), fleet, vms, now)
          .ifPresent(
              choice -> {
                preempting.add(task.name());
                append(
                    new TaskRecord.Preempted(
                        task.name(),
                        task.attempt(),
                        choice.vm().vm(),
                        choice.vm().registration(),
                        decider.booking(job.spec()),
                        choice.victims(),
                        0,
                        "e"));
              });
    }
  }

  /** Evicts the victims of a preemption that was accepted when applied. */
  private void evictVictims(TaskRecord.Preempted preempted, long at) {
    preempting.remove(preempted.task());
    if (table.preemptions().stream().anyMatch(p -> p.position() == at)) {
      ModelVm vm = vmOf(preempted.vm());
      preempted
          .victims()
          .forEach(victim -> apply(vm, new GuardAction.Evict(victim.token(), "for urgent work")));
    }
  }

  private Iterator<TaskState> waitingOf(JobState job) {
    return table.waiting(job.spec().name(), 0, MAX_CLAIMS_PER_ROUND).stream()
        .filter(task -> !pendingClaims.containsKey(task.name()))
        .iterator();
  }

  private boolean claim(JobState job, TaskState task, Fleet fleet) {
    Sizes sizes = decider.booking(job.spec());
    Optional<CandidateVm> candidate =
        decider.place(new PlacementRequest(job.spec(), task, sizes, Map.of()), fleet);
    if (candidate.isEmpty()) {
      preempt(job, task, fleet);
      return false;
    }
    VmState vm = candidate.get().state();
    fleet.allocate(vm.registration(), job.spec().program(), sizes);
    pendingClaims.put(task.name(), sizes);
    append(
        new TaskRecord.Claimed(
            task.name(), task.attempt(), vm.vm(), vm.registration(), sizes, LEASE_MILLIS, "e"));
    return true;
  }
}
