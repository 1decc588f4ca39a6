package io.marigoldsail.daemon.task;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.error.Result;
import io.marigoldsail.guard.Guard;
import io.marigoldsail.guard.GuardAction;
import io.marigoldsail.guard.GuardedTask;
import io.marigoldsail.guard.MemoryGuard;
import io.marigoldsail.lease.UsageSample;
import io.marigoldsail.lease.Worker;
import io.marigoldsail.protocol.StopTask;
import io.marigoldsail.protocol.TaskMessage;
import io.marigoldsail.protocol.TaskUsage;
import io.marigoldsail.protocol.UsageReport;
import io.marigoldsail.time.MonotonicClock;
import io.marigoldsail.time.WallClock;
import io.marigoldsail.timeline.Event;
import io.marigoldsail.timeline.EventKind;
import io.marigoldsail.timeline.EventRecorder;
import java.util.ArrayList;
import java.util.List;

/**
 * Carries out what the guard of this VM decides, and passes measured usage on to entries.
 *
 * <p>Not safe for use by several threads.
 */
final class GuardLoop {
  /** A change of usage below this part is not worth telling. */
  private static final double MIN_REPORTED_CHANGE = 0.1;

  private static final double PERMILLE = 1_000;
  private static final int UNTHROTTLED_PERCENT = 100;

  private final SideIdentity identity;
  private final Worker worker;
  private final AttemptSupervisor supervisor;
  private final TaskChannel channel;
  private final ServiceMonitor service;
  private final MonotonicClock clock;
  private final WallClock wallClock;
  private final EventRecorder recorder;
  private final Guard guard;

  GuardLoop(
      SideIdentity identity,
      Worker worker,
      AttemptSupervisor attempts,
      TaskChannel channel,
      ServiceMonitor service,
      MonotonicClock clock,
      WallClock wallClock,
      EventRecorder recorder) {
    this.identity = requireNonNull(identity, "identity");
    this.worker = requireNonNull(worker, "worker");
    this.supervisor = requireNonNull(attempts, "attempts");
    this.channel = requireNonNull(channel, "channel");
    this.service = requireNonNull(service, "service");
    this.clock = requireNonNull(clock, "clock");
    this.wallClock = requireNonNull(wallClock, "wallClock");
    this.recorder = requireNonNull(recorder, "recorder");
    this.guard = new Guard(service.policy(), clock.nanos());
  }

  /** Decides once and acts. */
  void step() {
    List<GuardedTask> tasks = guardedTasks();
    List<GuardAction> actions =
        new ArrayList<>(
            guard.decide(
                service.policy(),
                service.reading(clock.nanos()),
                tasks,
                clock.nanos(),
                wallClock.millis()));
    supervisor
        .boot()
        .flatMap(
            boot ->
                MemoryGuard.decide(tasks, latencyCriticalBytes(), boot.capacity().memoryBytes()))
        .ifPresent(actions::add);
    actions.forEach(this::perform);
  }

  /** Takes in what the worker measured, and tells entries what changed. */
  void reportUsage() {
    if (!(worker.usage() instanceof Result.Ok<List<UsageSample>> samples)) {
      return;
    }
    UsageReport.Builder report = UsageReport.newBuilder().setVm(identity.vm());
    service
        .reading(clock.nanos())
        .ifPresent(
            reading -> report.setServiceSlowdownPermille((int) (reading.pressure() * PERMILLE)));
    for (UsageSample sample : samples.value()) {
      SideAttempt task = supervisor.find(sample.token());
      boolean changed = task != null && task.recordUsage(sample, MIN_REPORTED_CHANGE);
      if (changed || (task != null && task.throttlePercent() < UNTHROTTLED_PERCENT)) {
        report.addTasks(
            TaskUsage.newBuilder()
                .setTask(sample.task())
                .setToken(sample.token())
                .setMilliProcessors(sample.used().milliProcessors())
                .setMemoryBytes(sample.used().memoryBytes())
                .setSlowdownPermille((int) (sample.slowdown() * PERMILLE))
                .setThrottlePercent(task.throttlePercent()));
      }
    }
    if (report.getTasksCount() > 0 || report.getServiceSlowdownPermille() > 0) {
      TaskMessage message = TaskMessage.newBuilder().setUsage(report).build();
      channel.peers().forEach(peer -> channel.send(peer, message));
    }
  }

  /**
   * Evicts an attempt for urgent work, as an entry asks. One whose start the worker has not
   * confirmed may have begun; it is asked for again and goes once that is known.
   */
  void onPreempted(String peer, StopTask stop) {
    SideAttempt task = supervisor.find(stop.getToken());
    if (task == null || task.phase() == SideAttempt.Phase.ENDED) {
      supervisor.onStop(peer, stop);
    } else if (task.phase() == SideAttempt.Phase.RUNNING) {
      guard.recordPreemption(service.policy(), clock.nanos());
      evict(task, "to make room for urgent work");
    }
  }

  private List<GuardedTask> guardedTasks() {
    List<GuardedTask> tasks = new ArrayList<>();
    for (SideAttempt task : supervisor.attempts()) {
      boolean running = task.phase() == SideAttempt.Phase.RUNNING;
      if (running && !task.latencyCritical()) {
        tasks.add(task.toGuardedTask());
      }
    }
    return tasks;
  }

  private long latencyCriticalBytes() {
    long bytes = 0;
    for (SideAttempt task : supervisor.attempts()) {
      if (task.occupiesCapacity() && task.latencyCritical()) {
        bytes += task.sizes().memoryBytes();
      }
    }
    return bytes;
  }

  private void perform(GuardAction action) {
    SideAttempt task = supervisor.find(action.token());
    if (task == null || task.phase() != SideAttempt.Phase.RUNNING) {
      return;
    }
    if (action instanceof GuardAction.Throttle throttle) {
      if (worker.throttle(task.task(), task.token(), throttle.percent()).isOk()) {
        task.recordThrottle(throttle.percent());
      }
      record(EventKind.TASK_THROTTLED, task, throttle.percent() + "%: " + throttle.reason());
      return;
    }
    evict(task, action.reason());
  }

  /**
   * Checkpoint first, then stop. The checkpoint's answer may be lost; the answer to the stop names
   * the last one that was written, whatever became of this process in between.
   */
  private void evict(SideAttempt task, String why) {
    var checkpointed = worker.checkpoint(task.task(), task.token());
    if (checkpointed.isOk()) {
      task.checkpoint(checkpointed.value().checkpoint());
      record(EventKind.TASK_CHECKPOINTED, task, task.checkpoint());
    }
    record(EventKind.TASK_EVICTED, task, why);
    supervisor.evict(task, why);
  }

  private void record(EventKind kind, SideAttempt task, String detail) {
    recorder.record(Event.of(kind).withTask(task.task()).withVm(identity.vm()).withDetail(detail));
  }
}
