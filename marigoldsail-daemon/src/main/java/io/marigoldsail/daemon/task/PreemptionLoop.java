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
 * One entry's part in making room for urgent tasks: writes who should go, and has those stopped
 * whom the log says go, whichever entry wrote it.
 *
 * <p>It works from the table: an entry that dies after its record was accepted leaves a preemption
 * that every other entry carries on, and the freed room is kept in the fold until the urgent task
 * is claimed. What is under way at once is bounded, so that no wave of evictions results.
 */
final class PreemptionLoop {
  /** A task may end by itself meanwhile; a tenth of what an urgent start may take. */
  private static final long PREEMPTION_DELAY_MILLIS = 300;

  /** A decision looks at every task of the fleet, so it is not taken anew at each tick. */
  private static final long RETRY_MILLIS = 1_000;

  private static final long SWEEP_MILLIS = 500;

  /** Victims that have not gone by then are given up for others. */
  private static final long VICTIM_STOP_TIMEOUT_MILLIS = 10_000;

  private static final int MIN_CONCURRENT = 3;
  private static final int VMS_PER_PREEMPTION = 50;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** An attempt's last checkpoint, and when this entry first saw it. */
  private record CheckpointAge(String checkpoint, long sinceNanos) {}

  private final EntryContext context;
  private final VmMembership membership;
  private final Preemptor preemptor = new Preemptor();
  private final Map<String, Long> notBefore = new HashMap<>();
  private final Map<Long, Long> firstSeenNanos = new HashMap<>();
  private final Map<Long, CheckpointAge> checkpoints = new HashMap<>();
  private final Set<String> pendingAppends = new HashSet<>();

  /** Filled by the thread that folds, which holds the table and so must not wait for this entry. */
  private final Queue<String> evictedVms = new ConcurrentLinkedQueue<>();

  private long nextSweep;
  private boolean decidedThisTick;

  PreemptionLoop(EntryContext context, VmMembership watch) {
    this.context = context;
    this.membership = watch;
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
    List<Preemption> underWay = context.table().preemptions();
    Set<Long> positions = new HashSet<>();
    for (Preemption preemption : underWay) {
      positions.add(preemption.position());
      firstSeenNanos.putIfAbsent(preemption.position(), now());
      stopVictims(preemption);
    }
    firstSeenNanos.keySet().retainAll(positions);
  }

  /** Makes room for an urgent task that was found none in the fleet, if that may be. */
  void onInsufficientCapacity(JobSpec spec, TaskState task, Sizes sizes, Fleet fleet) {
    long from =
        notBefore.computeIfAbsent(
            task.name(), unused -> context.deadlineAfterMillis(PREEMPTION_DELAY_MILLIS));
    if (decidedThisTick || !context.hasPassed(from) || pendingAppends.contains(task.name())) {
      return;
    }
    List<Preemption> underWay = context.table().preemptions();
    Optional<Preemption> own =
        underWay.stream().filter(p -> p.task().equals(task.name())).findFirst();
    if (own.isPresent() ? !isStuck(own.get()) : underWay.size() >= concurrencyLimit(fleet)) {
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
            choice -> preempt(spec, task, sizes, choice, own.map(Preemption::position).orElse(0L)));
  }

  private int concurrencyLimit(Fleet fleet) {
    int most = Math.max(MIN_CONCURRENT, fleet.candidates().size() / VMS_PER_PREEMPTION);
    return most - pendingAppends.size();
  }

  private boolean isStuck(Preemption preemption) {
    Long since = firstSeenNanos.get(preemption.position());
    return since != null && hasPassed(since, VICTIM_STOP_TIMEOUT_MILLIS);
  }

  private List<PreemptableVm> preemptableVms(TaskState task, Fleet fleet) {
    List<PreemptableVm> vms = new ArrayList<>();
    for (CandidateVm room : fleet.candidates()) {
      if (room.isPreempting() || task.failedVms().contains(room.vm())) {
        continue;
      }
      long registration = room.state().registration();
      List<PreemptableTask> tasks = new ArrayList<>();
      for (TaskState running : context.table().tasksOn(registration)) {
        context.table().job(running.job()).ifPresent(job -> tasks.add(preemptable(job, running)));
      }
      vms.add(new PreemptableVm(room.vm(), registration, room.free(), tasks));
    }
    return vms;
  }

  private PreemptableTask preemptable(JobState job, TaskState task) {
    JobSpec spec = job.spec();
    CheckpointAge last = checkpoints.get(task.token());
    long unsaved = last == null ? 0 : (now() - last.sinceNanos()) / NANOS_PER_MILLI;
    return new PreemptableTask(
        task.name(),
        task.token(),
        spec.taskClass(),
        spec.urgent(),
        spec.idempotent() || spec.checkpointIntervalMillis() > 0,
        task.booked(),
        unsaved,
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
    // Without an answer it may have got in all the same; the sweep finds it in the table then.
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
                .withDetail("go for it: " + record.victims()));
        stopVictims(preemption);
      }
    }
  }

  /** Has the victims stopped that still hold; sides take doubled stops for one. */
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
    Set<Long> inForce = new HashSet<>();
    Set<String> names = new HashSet<>();
    context
        .table()
        .vms()
        .forEach(
            vm -> {
              names.add(vm.vm());
              for (TaskState task : context.table().tasksOn(vm.registration())) {
                inForce.add(task.token());
                CheckpointAge last = checkpoints.get(task.token());
                if (last == null || !last.checkpoint().equals(task.checkpoint())) {
                  checkpoints.put(task.token(), new CheckpointAge(task.checkpoint(), now()));
                }
              }
            });
    checkpoints.keySet().retainAll(inForce);
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
