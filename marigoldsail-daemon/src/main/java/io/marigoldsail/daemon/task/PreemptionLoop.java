package io.marigoldsail.daemon.task;

import io.marigoldsail.error.Result;
import io.marigoldsail.guard.PreemptableTask;
import io.marigoldsail.guard.PreemptableVm;
import io.marigoldsail.guard.Preemptor;
import io.marigoldsail.job.JobSpec;
import io.marigoldsail.job.JobState;
import io.marigoldsail.job.Preemption;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.job.TaskRecord;
import io.marigoldsail.job.TaskState;
import io.marigoldsail.placement.CandidateVm;
import io.marigoldsail.placement.Fleet;
import io.marigoldsail.protocol.StopTask;
import io.marigoldsail.protocol.TaskMessage;
import io.marigoldsail.timeline.Event;
import io.marigoldsail.timeline.EventKind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Frees capacity for urgent tasks on behalf of an entry: writes preemptions to the log, and stops
 * the victims of all preemptions in the log, whichever entry wrote them.
 *
 * <p>It uses the task table, so that other entries carry out the preemptions of a crashed entry.
 * The table reserves the freed capacity until the urgent task is claimed. The number of concurrent
 * preemptions is bounded to prevent a wave of evictions.
 *
 * <p>Not thread-safe; runs under the lock of {@link EntryTaskScheduler}.
 */
final class PreemptionLoop {
  /**
   * Time for which an urgent task waits for a task to end by itself before it preempts one. A tenth
   * of the time allowed for the start of an urgent task.
   */
  private static final long PREEMPTION_DELAY_MILLIS = 300;

  /** Interval between decisions for a task; each one examines every task of the fleet. */
  private static final long RETRY_MILLIS = 1_000;

  private static final long SWEEP_MILLIS = 500;

  /** Time after which victims that have not stopped are replaced by others. */
  private static final long VICTIM_STOP_TIMEOUT_MILLIS = 10_000;

  private static final int MIN_CONCURRENT = 3;
  private static final int VMS_PER_PREEMPTION = 50;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** An attempt's last checkpoint, and the time at which this entry first saw it. */
  private record CheckpointAge(String checkpoint, long sinceNanos) {}

  private final EntryContext context;
  private final VmMembership membership;
  private final Preemptor preemptor = new Preemptor();
  private final Map<String, Long> notBefore = new HashMap<>();
  private final Map<Long, Long> firstSeenNanos = new HashMap<>();
  private final Map<Long, CheckpointAge> checkpoints = new HashMap<>();
  private final Set<String> pendingAppends = new HashSet<>();

  /**
   * Filled by the folding thread, which holds the table's lock and must not wait for this entry.
   */
  private final Queue<String> evictedVms = new ConcurrentLinkedQueue<>();

  private long nextSweep;
  private boolean decidedThisTick;

  PreemptionLoop(EntryContext context, VmMembership membership) {
    this.context = context;
    this.membership = membership;
    this.nextSweep = context.nanos();
    context.table().addEvictionListener(evictedVms::add);
  }

  void tick() {
    decidedThisTick = false;
    countEvictions();
    if (!context.hasPassed(nextSweep)) {
      return;
    }
    nextSweep = context.deadlineAfterMillis(SWEEP_MILLIS);
    notBefore.keySet().removeIf(task -> !isWaiting(task));
    updateCheckpoints();
    List<Preemption> pending = context.table().preemptions();
    Set<Long> positions = new HashSet<>();
    for (Preemption preemption : pending) {
      positions.add(preemption.position());
      firstSeenNanos.putIfAbsent(preemption.position(), now());
      stopVictims(preemption);
    }
    firstSeenNanos.keySet().retainAll(positions);
  }

  /** Starts a preemption for an urgent task that does not fit, if one is due and permitted. */
  void onInsufficientCapacity(JobSpec spec, TaskState task, Sizes sizes, Fleet fleet) {
    long deadline =
        notBefore.computeIfAbsent(
            task.name(), unused -> context.deadlineAfterMillis(PREEMPTION_DELAY_MILLIS));
    if (decidedThisTick || !context.hasPassed(deadline) || pendingAppends.contains(task.name())) {
      return;
    }
    List<Preemption> pending = context.table().preemptions();
    Optional<Preemption> current =
        pending.stream().filter(p -> p.task().equals(task.name())).findFirst();
    if (current.isPresent() ? !isStuck(current.get()) : pending.size() >= concurrencyLimit(fleet)) {
      return;
    }
    decidedThisTick = true;
    notBefore.put(task.name(), context.deadlineAfterMillis(RETRY_MILLIS));
    preemptor
        .decide(
            context.policy().guard(),
            sizes,
            preemptableVms(task, fleet),
            now(),
            context.wallMillis())
        .ifPresent(
            choice ->
                preempt(spec, task, sizes, choice, current.map(Preemption::position).orElse(0L)));
  }

  private int concurrencyLimit(Fleet fleet) {
    int limit = Math.max(MIN_CONCURRENT, fleet.candidates().size() / VMS_PER_PREEMPTION);
    return limit - pendingAppends.size();
  }

  private boolean isStuck(Preemption preemption) {
    Long since = firstSeenNanos.get(preemption.position());
    return since != null && hasPassed(since, VICTIM_STOP_TIMEOUT_MILLIS);
  }

  private List<PreemptableVm> preemptableVms(TaskState task, Fleet fleet) {
    List<PreemptableVm> vms = new ArrayList<>();
    for (CandidateVm candidate : fleet.candidates()) {
      if (candidate.isPreempting() || task.failedVms().contains(candidate.vm())) {
        continue;
      }
      long registration = candidate.state().registration();
      List<PreemptableTask> tasks = new ArrayList<>();
      for (TaskState running : context.table().tasksOn(registration)) {
        context.table().job(running.job()).ifPresent(job -> tasks.add(preemptable(job, running)));
      }
      vms.add(new PreemptableVm(candidate.vm(), registration, candidate.free(), tasks));
    }
    return vms;
  }

  private PreemptableTask preemptable(JobState job, TaskState task) {
    JobSpec spec = job.spec();
    CheckpointAge last = checkpoints.get(task.token());
    long unsavedMillis = last == null ? 0 : (now() - last.sinceNanos()) / NANOS_PER_MILLI;
    return new PreemptableTask(
        task.name(),
        task.token(),
        spec.taskClass(),
        spec.urgent(),
        spec.idempotent() || spec.checkpointIntervalMillis() > 0,
        task.booked(),
        unsavedMillis,
        spec.finishByMillis(),
        task.evictions());
  }

  private void preempt(
      JobSpec spec, TaskState task, Sizes sizes, Preemptor.Choice choice, long replaces) {
    TaskRecord.Preempted record =
        new TaskRecord.Preempted(
            task.name(),
            task.attempt(),
            choice.vm().vm(),
            choice.vm().registration(),
            sizes,
            choice.victims(),
            replaces,
            context.identity().name());
    pendingAppends.add(task.name());
    context.append(record, result -> onPreemptionAppended(record, spec, result));
  }

  private void onPreemptionAppended(
      TaskRecord.Preempted record, JobSpec spec, Result<Long> result) {
    pendingAppends.remove(record.task());
    // If the outcome is unknown but the record took effect, the sweep finds it in the table.
    if (!(result instanceof Result.Ok<Long> ok)) {
      return;
    }
    for (Preemption preemption : context.table().preemptions()) {
      if (preemption.position() == ok.value()) {
        context.record(
            Event.of(EventKind.TASK_PREEMPTING)
                .withTask(record.task())
                .withVm(record.vm())
                .withTeam(spec.team())
                .withDetail("victims: " + record.victims()));
        stopVictims(preemption);
      }
    }
  }

  /** Sends stops for the victims that are still claimed; duplicate stops have no effect. */
  private void stopVictims(Preemption preemption) {
    Optional<VmMembership.Contact> contact = membership.confirmedContact(preemption.vm());
    if (contact.isEmpty()) {
      return;
    }
    for (Preemption.Victim victim : preemption.victims()) {
      Optional<TaskState> task = context.table().task(victim.task());
      if (task.isPresent() && task.get().isClaimedWith(victim.token())) {
        StopTask stop =
            StopTask.newBuilder()
                .setTask(victim.task())
                .setAttempt(task.get().attempt())
                .setToken(victim.token())
                .setReason(StopTask.Reason.EVICTED)
                .build();
        TaskMessage message = TaskMessage.newBuilder().setStop(stop).build();
        context.channel().send(contact.get().peer(), message);
      }
    }
  }

  private void updateCheckpoints() {
    Set<Long> currentTokens = new HashSet<>();
    Set<String> names = new HashSet<>();
    context
        .table()
        .vms()
        .forEach(
            vm -> {
              names.add(vm.vm());
              for (TaskState task : context.table().tasksOn(vm.registration())) {
                currentTokens.add(task.token());
                CheckpointAge last = checkpoints.get(task.token());
                if (last == null || !last.checkpoint().equals(task.checkpoint())) {
                  checkpoints.put(task.token(), new CheckpointAge(task.checkpoint(), now()));
                }
              }
            });
    checkpoints.keySet().retainAll(currentTokens);
    preemptor.retain(names);
  }

  private void countEvictions() {
    String vm = evictedVms.poll();
    while (vm != null) {
      preemptor.recordEviction(context.policy().guard(), vm, now());
      vm = evictedVms.poll();
    }
  }

  private boolean isWaiting(String name) {
    return context.table().task(name).filter(t -> t.phase() == TaskState.Phase.WAITING).isPresent();
  }

  private boolean hasPassed(long sinceNanos, long millis) {
    return now() - sinceNanos >= millis * NANOS_PER_MILLI;
  }

  private long now() {
    return context.nanos();
  }
}
