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
  private static final double WORTH_TELLING = 0.1;

  private static final double PERMILLE = 1_000;
  private static final int LOOSE = 100;

  private final SideIdentity identity;
  private final Worker worker;
  private final SideAttempts attempts;
  private final TaskChannel channel;
  private final ServiceWatch service;
  private final MonotonicClock clock;
  private final WallClock wallClock;
  private final EventRecorder recorder;
  private final Guard guard;

  GuardLoop(
      SideIdentity identity,
      Worker worker,
      SideAttempts attempts,
      TaskChannel channel,
      ServiceWatch service,
      MonotonicClock clock,
      WallClock wallClock,
      EventRecorder recorder) {
    this.identity = requireNonNull(identity, "identity");
    this.worker = requireNonNull(worker, "worker");
    this.attempts = requireNonNull(attempts, "attempts");
    this.channel = requireNonNull(channel, "channel");
    this.service = requireNonNull(service, "service");
    this.clock = requireNonNull(clock, "clock");
    this.wallClock = requireNonNull(wallClock, "wallClock");
    this.recorder = requireNonNull(recorder, "recorder");
    this.guard = new Guard(service.terms(), clock.nanos());
  }

  /** Makes one round of decisions and carries them out. */
  void step() {
    List<GuardedTask> tasks = guarded();
    List<GuardAction> actions =
        new ArrayList<>(
            guard.decide(
                service.terms(),
                service.reading(clock.nanos()),
                tasks,
                clock.nanos(),
                wallClock.millis()));
    attempts
        .boot()
        .flatMap(boot -> MemoryGuard.decide(tasks, othersBytes(), boot.capacity().memoryBytes()))
        .ifPresent(actions::add);
    actions.forEach(this::act);
  }

  /** Reads the measurements of the worker and reports those that changed to entries. */
  void measure() {
    if (!(worker.usage() instanceof Result.Ok<List<UsageSample>> samples)) {
      return;
    }
    UsageReport.Builder report = UsageReport.newBuilder().setVm(identity.vm());
    service
        .reading(clock.nanos())
        .ifPresent(
            reading -> report.setServiceSlowdownPermille((int) (reading.pressure() * PERMILLE)));
    for (UsageSample sample : samples.value()) {
      SideTask task = attempts.find(sample.token());
      boolean changed = task != null && task.measured(sample, WORTH_TELLING);
      if (changed || (task != null && task.throttlePercent() < LOOSE)) {
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
   * Evicts an attempt that an entry has preempted for an urgent task. An attempt whose start the
   * worker has not confirmed is left alone; the entry resends the stop until the state is known.
   */
  void onStopForUrgent(String peer, StopTask stop) {
    SideTask task = attempts.find(stop.getToken());
    if (task == null || task.phase() == SideTask.Phase.ENDED) {
      attempts.onStop(peer, stop);
    } else if (task.phase() == SideTask.Phase.RUNNING) {
      guard.recordPreemption(service.terms(), clock.nanos());
      evict(task, "preempted by an urgent task");
    }
  }

  private List<GuardedTask> guarded() {
    List<GuardedTask> tasks = new ArrayList<>();
    for (SideTask task : attempts.tasks()) {
      boolean running = task.phase() == SideTask.Phase.RUNNING;
      if (running && !task.latencyCritical()) {
        tasks.add(task.guarded());
      }
    }
    return tasks;
  }

  private long othersBytes() {
    long bytes = 0;
    for (SideTask task : attempts.tasks()) {
      if (task.holdsRoom() && task.latencyCritical()) {
        bytes += task.sizes().memoryBytes();
      }
    }
    return bytes;
  }

  private void act(GuardAction action) {
    SideTask task = attempts.find(action.token());
    if (task == null || task.phase() != SideTask.Phase.RUNNING) {
      return;
    }
    if (action instanceof GuardAction.Throttle throttle) {
      if (worker.throttle(task.task(), task.token(), throttle.percent()).isOk()) {
        task.throttled(throttle.percent());
      }
      record(EventKind.TASK_THROTTLED, task, throttle.percent() + "%: " + throttle.reason());
      return;
    }
    evict(task, action.reason());
  }

  /**
   * Evicts an attempt: writes a checkpoint, then stops it. If the response to the checkpoint is lost,
   * the response to the stop still names the last checkpoint written.
   */
  private void evict(SideTask task, String reason) {
    var checkpointed = worker.checkpoint(task.task(), task.token());
    if (checkpointed.isOk()) {
      task.checkpoint(checkpointed.value().checkpoint());
      record(EventKind.TASK_CHECKPOINTED, task, task.checkpoint());
    }
    record(EventKind.TASK_EVICTED, task, reason);
    attempts.evict(task, reason);
  }

  private void record(EventKind kind, SideTask task, String detail) {
    recorder.record(Event.of(kind).withTask(task.task()).withVm(identity.vm()).withDetail(detail));
  }
}
