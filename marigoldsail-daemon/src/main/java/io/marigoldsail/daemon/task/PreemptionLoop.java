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
  private static final long PATIENCE_MILLIS = 300;

  /** A decision looks at every task of the fleet, so it is not taken anew at each tick. */
  private static final long AGAIN_MILLIS = 1_000;

  private static final long SWEEP_MILLIS = 500;

  /** Victims that have not gone by then are given up for others. */
  private static final long STUCK_MILLIS = 10_000;

  private static final int LEAST_AT_ONCE = 3;
  private static final int VMS_PER_ONE_AT_ONCE = 50;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** An attempt's last checkpoint, and when this entry first saw it. */
  private record Saved(String checkpoint, long sinceNanos) {}

  private final EntryContext context;
  private final VmWatch watch;
  private final Preemptor preemptor = new Preemptor();
  private final Map<String, Long> patientUntil = new HashMap<>();
  private final Map<Long, Long> seenSince = new HashMap<>();
  private final Map<Long, Saved> saved = new HashMap<>();
  private final Set<String> onTheirWay = new HashSet<>();

  /** Filled by the thread that folds, which holds the table and so must not wait for this entry. */
  private final Queue<String> evictedVms = new ConcurrentLinkedQueue<>();

  private long nextSweep;
  private boolean decided;

  PreemptionLoop(EntryContext context, VmWatch watch) {
    this.context = context;
    this.watch = watch;
    this.nextSweep = context.nanos();
    context.table().addEvictionListener(evictedVms::add);
  }

  void tick() {
    decided = false;
    countEvictions();
    if (!context.passed(nextSweep)) {
      return;
    }
    nextSweep = context.afterMillis(SWEEP_MILLIS);
    patientUntil.keySet().removeIf(task -> !waits(task));
    noteCheckpoints();
    List<Preemption> underWay = context.table().preemptions();
    Set<Long> positions = new HashSet<>();
    for (Preemption preemption : underWay) {
      positions.add(preemption.position());
      seenSince.putIfAbsent(preemption.position(), now());
      stopVictims(preemption);
    }
    seenSince.keySet().retainAll(positions);
  }

  /** Makes room for an urgent task that was found none in the fleet, if that may be. */
  void noRoom(JobSpec spec, TaskState task, Sizes sizes, Fleet fleet) {
    long from =
        patientUntil.computeIfAbsent(task.name(), unused -> context.afterMillis(PATIENCE_MILLIS));
    if (decided || !context.passed(from) || onTheirWay.contains(task.name())) {
      return;
    }
    List<Preemption> underWay = context.table().preemptions();
    Optional<Preemption> own =
        underWay.stream().filter(p -> p.task().equals(task.name())).findFirst();
    if (own.isPresent() ? !stuck(own.get()) : underWay.size() >= mostAtOnce(fleet)) {
      return;
    }
    decided = true;
    patientUntil.put(task.name(), context.afterMillis(AGAIN_MILLIS));
    preemptor
        .decide(context.terms().guard(), sizes, vms(task, fleet), now(), context.wallMillis())
        .ifPresent(
            choice -> preempt(spec, task, sizes, choice, own.map(Preemption::position).orElse(0L)));
  }

  private int mostAtOnce(Fleet fleet) {
    int most = Math.max(LEAST_AT_ONCE, fleet.candidates().size() / VMS_PER_ONE_AT_ONCE);
    return most - onTheirWay.size();
  }

  private boolean stuck(Preemption preemption) {
    Long since = seenSince.get(preemption.position());
    return since != null && passed(since, STUCK_MILLIS);
  }

  private List<PreemptableVm> vms(TaskState task, Fleet fleet) {
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
    Saved last = saved.get(task.token());
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
    onTheirWay.add(task.name());
    context.append(record, result -> preempted(record, spec, result));
  }

  private void preempted(TaskRecord.Preempted record, JobSpec spec, Result<Long> result) {
    onTheirWay.remove(record.task());
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
    Optional<VmWatch.Contact> contact = watch.vouched(preemption.vm());
    if (contact.isEmpty()) {
      return;
    }
    for (Preemption.Victim victim : preemption.victims()) {
      Optional<TaskState> task = context.table().task(victim.task());
      if (task.isPresent() && task.get().holds(victim.token())) {
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

  private void noteCheckpoints() {
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
                Saved last = saved.get(task.token());
                if (last == null || !last.checkpoint().equals(task.checkpoint())) {
                  saved.put(task.token(), new Saved(task.checkpoint(), now()));
                }
              }
            });
    saved.keySet().retainAll(inForce);
    preemptor.retain(names);
  }

  private void countEvictions() {
    String vm = evictedVms.poll();
    while (vm != null) {
      preemptor.recordEviction(context.terms().guard(), vm, now());
      vm = evictedVms.poll();
    }
  }

  private boolean waits(String name) {
    return context.table().task(name).filter(t -> t.phase() == TaskState.Phase.WAITING).isPresent();
  }

  private boolean passed(long sinceNanos, long millis) {
    return now() - sinceNanos >= millis * NANOS_PER_MILLI;
  }

  private long now() {
    return context.nanos();
  }
}
