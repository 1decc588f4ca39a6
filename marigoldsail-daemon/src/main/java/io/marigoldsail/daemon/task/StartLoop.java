package io.marigoldsail.daemon.task;

import io.marigoldsail.error.Result;
import io.marigoldsail.job.JobSpec;
import io.marigoldsail.job.JobState;
import io.marigoldsail.job.ReleaseCause;
import io.marigoldsail.job.TaskClass;
import io.marigoldsail.job.TaskRecord;
import io.marigoldsail.job.TaskState;
import io.marigoldsail.job.VmState;
import io.marigoldsail.protocol.StartTask;
import io.marigoldsail.protocol.StopTask;
import io.marigoldsail.protocol.TaskMessage;
import io.marigoldsail.protocol.TaskReport;
import io.marigoldsail.protocol.TaskReportAck;
import io.marigoldsail.timeline.Event;
import io.marigoldsail.timeline.EventKind;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/**
 * Starts and stops claimed tasks on behalf of an entry. Resends starts until the side process
 * reports that the task runs, stops tasks of cancelled jobs, writes reports to the log and
 * acknowledges them once they are folded.
 *
 * <p>It uses the task table and not the entry's own claims, so that any entry starts the tasks of
 * an entry that crashed between claim and start.
 *
 * <p>Not thread-safe; runs under the lock of {@link EntryTaskScheduler}.
 */
final class StartLoop {
  private static final long SWEEP_MILLIS = 2_000;
  private static final double PERMILLE = 1_000;

  private final EntryContext context;
  private final VmMembership membership;
  private final ToDoubleFunction<JobSpec> expectedSlowdown;

  /** Tokens of attempts that are reported as running, with the side process's incarnation. */
  private final Map<Long, Long> running = new HashMap<>();

  private final Set<String> pendingReports = new HashSet<>();
  private long nextSweep;

  /**
   * Creates a loop.
   *
   * @param expectedSlowdown returns the expected relative increase of a service's latency when a
   *     task of the job runs on the same VM
   */
  StartLoop(
      EntryContext context, VmMembership membership, ToDoubleFunction<JobSpec> expectedSlowdown) {
    this.expectedSlowdown = expectedSlowdown;
    this.context = context;
    this.membership = membership;
    this.nextSweep = context.nanos();
  }

  void tick() {
    if (!context.hasPassed(nextSweep)) {
      return;
    }
    nextSweep = context.deadlineAfterMillis(SWEEP_MILLIS);
    Set<Long> currentTokens = new HashSet<>();
    for (VmState vm : context.table().vms()) {
      for (TaskState task : context.table().tasksOn(vm.registration())) {
        currentTokens.add(task.token());
      }
      sweep(vm);
    }
    running.keySet().retainAll(currentTokens);
  }

  /** Sends starts and stops for the tasks claimed on the VM, as far as they are due. */
  void sweep(VmState vm) {
    Optional<VmMembership.Contact> contact = membership.confirmedContact(vm.vm());
    if (vm.revoked() || contact.isEmpty()) {
      return;
    }
    for (TaskState task : context.table().tasksOn(vm.registration())) {
      Optional<JobState> job = context.table().job(task.job());
      if (job.isEmpty()) {
        continue;
      }
      if (!job.get().cancelReason().isEmpty()) {
        sendStop(contact.get(), task);
      } else if (!isRunning(task, contact.get())) {
        sendStart(contact.get(), task, job.get().spec());
      }
    }
  }

  /** Starts a task whose claim has taken effect. */
  void onClaimAccepted(TaskState task, JobSpec spec) {
    membership.confirmedContact(task.vm()).ifPresent(contact -> sendStart(contact, task, spec));
  }

  void onReport(String peer, TaskReport report) {
    Optional<TaskState> task = context.table().task(report.getTask());
    boolean isCurrent = task.isPresent() && task.get().isClaimedWith(report.getToken());
    if (!isCurrent) {
      if (report.getToken() <= context.table().appliedPosition()) {
        // The claim has been folded and is no longer current, so the report has been folded too or
        // no longer applies. A report whose claim has not been read yet must not be acknowledged,
        // because the side process would drop it.
        acknowledge(peer, report);
      }
      return;
    }
    if (report.getState() == TaskReport.State.RUNNING) {
      onRunning(task.get(), report);
      return;
    }
    Optional<TaskRecord> record = toRecord(report);
    if (record.isPresent() && pendingReports.add(report.getTask())) {
      context.append(record.get(), result -> onReportFolded(peer, report, result));
    }
  }

  private boolean isRunning(TaskState task, VmMembership.Contact contact) {
    Long process = running.get(task.token());
    return process != null && process == contact.request().processIncarnation();
  }

  private void onRunning(TaskState task, TaskReport report) {
    Optional<VmMembership.Contact> contact = membership.confirmedContact(task.vm());
    if (contact.isPresent()) {
      long process = contact.get().request().processIncarnation();
      if (running.put(task.token(), process) == null) {
        context.record(Event.of(EventKind.TASK_STARTED).withTask(task.name()).withVm(task.vm()));
      }
    }
    String checkpoint = report.getCheckpoint();
    boolean isNew = !checkpoint.isEmpty() && !checkpoint.equals(task.checkpoint());
    if (isNew && pendingReports.add(task.name())) {
      context.append(
          new TaskRecord.Checkpointed(task.name(), task.token(), checkpoint),
          result -> pendingReports.remove(task.name()));
    }
  }

  private static Optional<TaskRecord> toRecord(TaskReport report) {
    String task = report.getTask();
    long token = report.getToken();
    String checkpoint = report.getCheckpoint();
    String detail = report.getDetail();
    return switch (report.getState()) {
      case DONE -> Optional.of(new TaskRecord.Ended(task, token, true, checkpoint, detail));
      case FAILED -> Optional.of(new TaskRecord.Ended(task, token, false, checkpoint, detail));
      case REFUSED ->
          Optional.of(
              new TaskRecord.Released(task, token, ReleaseCause.REFUSED, checkpoint, detail));
      case RELEASED -> {
        ReleaseCause cause = report.getEvicted() ? ReleaseCause.EVICTED : ReleaseCause.LAPSED;
        yield Optional.of(new TaskRecord.Released(task, token, cause, checkpoint, detail));
      }
      default -> Optional.empty();
    };
  }

  private void onReportFolded(String peer, TaskReport report, Result<Long> result) {
    pendingReports.remove(report.getTask());
    if (!result.isOk()) {
      // The side process resends the report, and the log may be available by then.
      return;
    }
    running.remove(report.getToken());
    acknowledge(peer, report);
    EventKind kind = eventKind(report);
    context.record(
        Event.of(kind)
            .withTask(report.getTask())
            .withVm(context.table().task(report.getTask()).map(TaskState::vm).orElse(""))
            .withDetail(report.getState() + " " + report.getDetail()));
  }

  private static EventKind eventKind(TaskReport report) {
    return switch (report.getState()) {
      case DONE, FAILED -> EventKind.TASK_ENDED;
      default -> report.getEvicted() ? EventKind.TASK_EVICTED : EventKind.TASK_RELEASED;
    };
  }

  private void acknowledge(String peer, TaskReport report) {
    TaskReportAck ack =
        TaskReportAck.newBuilder()
            .setTask(report.getTask())
            .setAttempt(report.getAttempt())
            .setToken(report.getToken())
            .setState(report.getState())
            .build();
    context.channel().send(peer, TaskMessage.newBuilder().setReportAck(ack).build());
  }

  private void sendStart(VmMembership.Contact contact, TaskState task, JobSpec spec) {
    StartTask start =
        StartTask.newBuilder()
            .setTask(task.name())
            .setAttempt(task.attempt())
            .setToken(task.token())
            .setRegistration(task.registration())
            .setJob(spec.name())
            .setTeam(spec.team())
            .setLatencyCritical(spec.taskClass() == TaskClass.LATENCY_CRITICAL)
            .setMilliProcessors(task.booked().milliProcessors())
            .setMemoryBytes(task.booked().memoryBytes())
            .setAccelerators(task.booked().accelerators())
            .setCheckpoint(task.checkpoint())
            .setCheckpointIntervalMillis(spec.checkpointIntervalMillis())
            .setRunMillis(spec.runMillis())
            .setCommand(spec.command())
            .setLeaseMillis(task.leaseMillis())
            .setProcessIncarnation(contact.request().processIncarnation())
            .setFinishByMillis(spec.finishByMillis())
            .setIdempotent(spec.idempotent())
            .setNoisePermille((int) (PERMILLE * expectedSlowdown.applyAsDouble(spec)))
            .build();
    context.channel().send(contact.peer(), TaskMessage.newBuilder().setStart(start).build());
  }

  private void sendStop(VmMembership.Contact contact, TaskState task) {
    StopTask stop =
        StopTask.newBuilder()
            .setTask(task.name())
            .setAttempt(task.attempt())
            .setToken(task.token())
            .setReason(StopTask.Reason.CANCELLED)
            .build();
    context.channel().send(contact.peer(), TaskMessage.newBuilder().setStop(stop).build());
  }
}
