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
 * One entry's part in running claimed tasks: sends starts until the side process says that the task
 * runs, stops tasks of cancelled jobs, writes reports to the log and acknowledges them once folded.
 *
 * <p>It works from the table, not from memory of its own claims: an entry that dies between claim
 * and start leaves a claimed task that any other entry's next sweep starts.
 */
final class StartLoop {
  private static final long SWEEP_MILLIS = 2_000;
  private static final double PERMILLE = 1_000;

  private final EntryContext context;
  private final VmMembership membership;
  private final ToDoubleFunction<JobSpec> expectedSlowdown;

  /** Tokens that a side process said it runs, with that process's incarnation. */
  private final Map<Long, Long> running = new HashMap<>();

  private final Set<String> pendingReports = new HashSet<>();
  private long nextSweep;

  /**
   * Creates a loop that has started nothing.
   *
   * @param noise how much longer a task of a job is expected to make a service take
   */
  StartLoop(EntryContext context, VmMembership watch, ToDoubleFunction<JobSpec> noise) {
    this.expectedSlowdown = noise;
    this.context = context;
    this.membership = watch;
    this.nextSweep = context.nanos();
  }

  void tick() {
    if (!context.hasPassed(nextSweep)) {
      return;
    }
    nextSweep = context.deadlineAfterMillis(SWEEP_MILLIS);
    Set<Long> inForce = new HashSet<>();
    for (VmState vm : context.table().vms()) {
      for (TaskState task : context.table().tasksOn(vm.registration())) {
        inForce.add(task.token());
      }
      sweep(vm);
    }
    running.keySet().retainAll(inForce);
  }

  /** Sends what the VM's side process should know about the tasks claimed on it. */
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

  /** Starts a task whose claim was just read back as accepted. */
  void onClaimAccepted(TaskState task, JobSpec spec) {
    membership.confirmedContact(task.vm()).ifPresent(contact -> sendStart(contact, task, spec));
  }

  void onReport(String peer, TaskReport report) {
    Optional<TaskState> task = context.table().task(report.getTask());
    boolean inForce = task.isPresent() && task.get().isClaimedWith(report.getToken());
    if (!inForce) {
      if (report.getToken() <= context.table().appliedPosition()) {
        // Its claim has been folded and is no longer in force, so the report has been too, or is
        // late for good. A claim not read yet must not be acknowledged: the report would be lost.
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
    boolean fresh = !checkpoint.isEmpty() && !checkpoint.equals(task.checkpoint());
    if (fresh && pendingReports.add(task.name())) {
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
      // The side process repeats the report; the log may be back by then.
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
