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
 * Carries out the decisions of the VM's guard, and reports measured usage to entries.
 *
 * <p>Not thread-safe.
 */
final class GuardLoop {
  /** Relative change of usage below which a measurement is not reported. */
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
      AttemptSupervisor supervisor,
      TaskChannel channel,
      ServiceMonitor service,
      MonotonicClock clock,
      WallClock wallClock,
      EventRecorder recorder) {
    this.identity = requireNonNull(identity, "identity");
    this.worker = requireNonNull(worker, "worker");
    this.supervisor = requireNonNull(supervisor, "supervisor");
    this.channel = requireNonNull(channel, "channel");
    this.service = requireNonNull(service, "service");
    this.clock = requireNonNull(clock, "clock");
    this.wallClock = requireNonNull(wallClock, "wallClock");
    this.recorder = requireNonNull(recorder, "recorder");
    this.guard = new Guard(service.policy(), clock.nanos());
  }

  /** Makes one round of decisions and carries them out. */
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

  /** Reads the measurements of the worker and reports those that changed to entries. */
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
      SideAttempt attempt = supervisor.find(sample.token());
      boolean changed = attempt != null && attempt.recordUsage(sample, MIN_REPORTED_CHANGE);
      if (changed || (attempt != null && attempt.throttlePercent() < UNTHROTTLED_PERCENT)) {
        report.addTasks(
            TaskUsage.newBuilder()
                .setTask(sample.task())
                .setToken(sample.token())
                .setMilliProcessors(sample.used().milliProcessors())
                .setMemoryBytes(sample.used().memoryBytes())
                .setSlowdownPermille((int) (sample.slowdown() * PERMILLE))
                .setThrottlePercent(attempt.throttlePercent()));
      }
    }
    if (report.getTasksCount() > 0 || report.getServiceSlowdownPermille() > 0) {
      TaskMessage message = TaskMessage.newBuilder().setUsage(report).build();
      channel.peers().forEach(peer -> channel.send(peer, message));
    }
  }

  /**
   * Evicts an attempt that an entry has preempted for an urgent task. An attempt whose start the
   * worker has not confirmed is left alone; the entry resends the stop until the state is known.
   */
  void onPreempted(String peer, StopTask stop) {
    SideAttempt attempt = supervisor.find(stop.getToken());
    if (attempt == null || attempt.phase() == SideAttempt.Phase.ENDED) {
      supervisor.onStop(peer, stop);
    } else if (attempt.phase() == SideAttempt.Phase.RUNNING) {
      guard.recordPreemption(service.policy(), clock.nanos());
      evict(attempt, "preempted by an urgent task");
    }
  }

  private List<GuardedTask> guardedTasks() {
    List<GuardedTask> tasks = new ArrayList<>();
    for (SideAttempt attempt : supervisor.attempts()) {
      boolean running = attempt.phase() == SideAttempt.Phase.RUNNING;
      if (running && !attempt.latencyCritical()) {
        tasks.add(attempt.toGuardedTask());
      }
    }
    return tasks;
  }

  private long latencyCriticalBytes() {
    long bytes = 0;
    for (SideAttempt attempt : supervisor.attempts()) {
      if (attempt.occupiesCapacity() && attempt.latencyCritical()) {
        bytes += attempt.sizes().memoryBytes();
      }
    }
    return bytes;
  }

  private void perform(GuardAction action) {
    SideAttempt attempt = supervisor.find(action.token());
    if (attempt == null || attempt.phase() != SideAttempt.Phase.RUNNING) {
      return;
    }
    if (action instanceof GuardAction.Throttle throttle) {
      if (worker.throttle(attempt.task(), attempt.token(), throttle.percent()).isOk()) {
        attempt.recordThrottle(throttle.percent());
      }
      record(EventKind.TASK_THROTTLED, attempt, throttle.percent() + "%: " + throttle.reason());
      return;
    }
    evict(attempt, action.reason());
  }

  /**
   * Evicts an attempt: writes a checkpoint, then stops it. If the response to the checkpoint is
   * lost, the response to the stop still names the last checkpoint written.
   */
  private void evict(SideAttempt attempt, String reason) {
    var checkpointed = worker.checkpoint(attempt.task(), attempt.token());
    if (checkpointed.isOk()) {
      attempt.setCheckpoint(checkpointed.value().checkpoint());
      record(EventKind.TASK_CHECKPOINTED, attempt, attempt.checkpoint());
    }
    record(EventKind.TASK_EVICTED, attempt, reason);
    supervisor.evict(attempt, reason);
  }

  private void record(EventKind kind, SideAttempt attempt, String detail) {
    recorder.record(
        Event.of(kind).withTask(attempt.task()).withVm(identity.vm()).withDetail(detail));
  }
}
