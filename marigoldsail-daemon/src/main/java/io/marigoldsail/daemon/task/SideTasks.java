package io.marigoldsail.daemon.task;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.lease.Worker;
import io.marigoldsail.lease.WorkerBoot;
import io.marigoldsail.protocol.AskVouch;
import io.marigoldsail.protocol.StopTask;
import io.marigoldsail.protocol.TaskMessage;
import io.marigoldsail.time.MonotonicClock;
import io.marigoldsail.time.WallClock;
import io.marigoldsail.timeline.EventRecorder;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * Task execution of a side process: runs claimed tasks on the VM's worker, renews their leases only
 * while entries confirm the VM's registration, and resends reports until they are acknowledged.
 *
 * <p>The owner passes every TaskMessage of an entry to {@link #onMessage}, provides a {@link
 * TaskChannel} to the entries and calls {@link #start}. One thread does all work, because calls to the
 * worker block. Messages wait in a bounded queue; those that do not fit are dropped, and their senders
 * resend them.
 *
 * <p>Has no persistent state: after a restart it adopts the attempts that the worker lists.
 */
public final class SideTasks implements AutoCloseable {
  private static final Logger LOGGER = System.getLogger(SideTasks.class.getName());
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final int MAX_QUEUED = 4_096;
  private static final long POLL_MILLIS = 50;
  private static final long ASK_MILLIS = 1_000;
  private static final long LIST_MILLIS = 500;
  private static final long REPORT_MILLIS = 1_000;
  private static final long MEASURE_MILLIS = 2_000;
  private static final long GUARD_MILLIS = 500;

  /**
   * Time without a response of the worker after which no confirmations are requested, so that entries
   * revoke the VM.
   */
  private static final long WORKER_SILENT_MILLIS = 10_000;

  private record Incoming(String peer, TaskMessage message) {}

  private final SideIdentity identity;
  private final TaskChannel channel;
  private final MonotonicClock clock;
  private final SideReports reports;
  private final SideAttempts attempts;
  private final GuardLoop guard;
  private final BlockingQueue<Incoming> queue = new LinkedBlockingQueue<>(MAX_QUEUED);
  private long workerSilentAt;
  private long nextAsk;
  private long nextList;
  private long nextReport;
  private long nextMeasure;
  private long nextGuard;
  private volatile boolean leaving;
  private volatile boolean closed;
  private Thread thread;

  /**
   * Creates a runner for a VM without a service; nothing runs before {@link #start}.
   *
   * @param identity the identity of this side process
   * @param worker the VM's worker
   * @param channel sends messages to entries
   * @param clock the monotonic clock of this process
   * @param recorder receives events
   */
  public SideTasks(
      SideIdentity identity,
      Worker worker,
      TaskChannel channel,
      MonotonicClock clock,
      EventRecorder recorder) {
    this(identity, worker, channel, ServiceWatch.none(), clock, WallClock.system(), recorder);
  }

  /**
   * Creates a runner for a VM that also has a service; nothing runs before {@link #start}.
   *
   * @param identity the identity of this side process
   * @param worker the VM's worker
   * @param channel sends messages to entries
   * @param service monitors the service that the guard protects
   * @param clock the monotonic clock of this process
   * @param wallClock the wall clock, used only for the deadlines of tasks
   * @param recorder receives events
   */
  public SideTasks(
      SideIdentity identity,
      Worker worker,
      TaskChannel channel,
      ServiceWatch service,
      MonotonicClock clock,
      WallClock wallClock,
      EventRecorder recorder) {
    this.identity = requireNonNull(identity, "identity");
    this.channel = requireNonNull(channel, "channel");
    this.clock = requireNonNull(clock, "clock");
    this.reports = new SideReports(channel);
    this.attempts = new SideAttempts(identity, worker, reports, clock, recorder);
    this.guard =
        new GuardLoop(identity, worker, attempts, channel, service, clock, wallClock, recorder);
    this.workerSilentAt = clock.nanos();
    this.nextAsk = clock.nanos();
    this.nextList = clock.nanos();
    this.nextReport = clock.nanos();
    this.nextMeasure = clock.nanos();
    this.nextGuard = clock.nanos();
  }

  /** Starts the thread. */
  public void start() {
    thread = new Thread(this::run, "side-tasks");
    thread.setDaemon(true);
    thread.start();
  }

  /** Queues a message of an entry. Does not block. */
  public void onMessage(String peer, TaskMessage message) {
    // A full queue drops the message. Entries resend starts, stops and confirmations.
    boolean unused = queue.offer(new Incoming(peer, message));
  }

  /** Reports from now on that this VM takes no new tasks. Running tasks go on. */
  public void leave() {
    leaving = true;
  }

  /** Stops the thread. Attempts run on until their leases expire or a new side process adopts them. */
  @Override
  public void close() {
    closed = true;
    if (thread != null) {
      thread.interrupt();
    }
  }

  /** Handles the queued messages and does all work that is due. Called by the thread and tests. */
  void step() {
    Incoming next = queue.poll();
    while (next != null) {
      handle(next);
      next = queue.poll();
    }
    if (passed(nextList)) {
      nextList = afterMillis(LIST_MILLIS);
      if (attempts.look()) {
        workerSilentAt = afterMillis(WORKER_SILENT_MILLIS);
      }
    }
    if (passed(nextAsk)) {
      nextAsk = afterMillis(ASK_MILLIS);
      ask();
    }
    attempts.renewAll();
    if (passed(nextMeasure)) {
      nextMeasure = afterMillis(MEASURE_MILLIS);
      guard.measure();
    }
    if (passed(nextGuard)) {
      nextGuard = afterMillis(GUARD_MILLIS);
      guard.step();
    }
    if (passed(nextReport)) {
      nextReport = afterMillis(REPORT_MILLIS);
      attempts.settleUncertain();
      reports.repeat(attempts.tasks());
    }
  }

  private void run() {
    while (!closed) {
      try {
        Incoming next = queue.poll(idleNanos(), TimeUnit.NANOSECONDS);
        if (next != null) {
          handle(next);
        }
        step();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      } catch (RuntimeException e) {
        // If the thread ended, every lease on this VM would expire.
        LOGGER.log(Level.ERROR, "event=side-tasks-step-failed", e);
      }
    }
  }

  /**
   * Returns the time to wait for a message: the poll interval if there are attempts, else the time
   * until the next timer. Leases need no timer, because confirmations arrive as messages.
   */
  private long idleNanos() {
    long poll = POLL_MILLIS * NANOS_PER_MILLI;
    if (!attempts.tasks().isEmpty()) {
      return poll;
    }
    long now = clock.nanos();
    long next = Math.min(nextList - now, nextAsk - now);
    next = Math.min(next, Math.min(nextMeasure - now, nextGuard - now));
    next = Math.min(next, nextReport - now);
    return Math.max(poll, next);
  }

  private void handle(Incoming incoming) {
    TaskMessage message = incoming.message();
    switch (message.getKindCase()) {
      case VOUCH -> attempts.onVouch(message.getVouch());
      case START -> attempts.onStart(incoming.peer(), message.getStart());
      case STOP -> stop(incoming.peer(), message.getStop());
      case REPORT_ACK -> attempts.onAck(message.getReportAck());
      default -> {
        // A kind that only side processes send, or one of a newer version.
      }
    }
  }

  private void stop(String peer, StopTask stop) {
    if (stop.getReason() == StopTask.Reason.EVICTED) {
      guard.onStopForUrgent(peer, stop);
    } else {
      attempts.onStop(peer, stop);
    }
  }

  private void ask() {
    if (attempts.boot().isEmpty() || passed(workerSilentAt)) {
      return;
    }
    WorkerBoot boot = attempts.boot().get();
    AskVouch request =
        AskVouch.newBuilder()
            .setVm(identity.vm())
            .setBootIncarnation(boot.incarnation())
            .setProcessIncarnation(identity.processIncarnation())
            .setAskedNanos(clock.nanos())
            .setZone(identity.zone())
            .setRack(identity.rack())
            .setMilliProcessors(boot.capacity().milliProcessors())
            .setMemoryBytes(boot.capacity().memoryBytes())
            .setAccelerators(boot.capacity().accelerators())
            .setLeaving(leaving)
            .build();
    TaskMessage message = TaskMessage.newBuilder().setAskVouch(request).build();
    channel.peers().forEach(peer -> channel.send(peer, message));
  }

  private long afterMillis(long millis) {
    return clock.nanos() + millis * NANOS_PER_MILLI;
  }

  private boolean passed(long deadlineNanos) {
    return clock.nanos() - deadlineNanos >= 0;
  }
}
