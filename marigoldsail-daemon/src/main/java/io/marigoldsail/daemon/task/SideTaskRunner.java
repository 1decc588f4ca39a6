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
 * TaskChannel} to the entries and calls {@link #start}. One thread does all work, because calls to
 * the worker block. Messages wait in a bounded queue; those that do not fit are dropped, and their
 * senders resend them.
 *
 * <p>Has no persistent state: after a restart it adopts the attempts that the worker lists.
 */
public final class SideTaskRunner implements AutoCloseable {
  private static final Logger LOGGER = System.getLogger(SideTaskRunner.class.getName());
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final int MAX_QUEUED = 4_096;
  private static final long POLL_MILLIS = 50;
  private static final long CONFIRMATION_REQUEST_MILLIS = 1_000;
  private static final long LIST_MILLIS = 500;
  private static final long REPORT_MILLIS = 1_000;
  private static final long MEASURE_MILLIS = 2_000;
  private static final long GUARD_MILLIS = 500;

  /**
   * Time without a response of the worker after which no confirmations are requested, so that
   * entries revoke the VM.
   */
  private static final long WORKER_TIMEOUT_MILLIS = 10_000;

  private record ReceivedMessage(String peer, TaskMessage message) {}

  private final SideIdentity identity;
  private final TaskChannel channel;
  private final MonotonicClock clock;
  private final AttemptReporter reporter;
  private final AttemptSupervisor supervisor;
  private final GuardLoop guard;
  private final BlockingQueue<ReceivedMessage> queue = new LinkedBlockingQueue<>(MAX_QUEUED);
  private long workerTimeoutAt;
  private long nextConfirmationRequest;
  private long nextList;
  private long nextReport;
  private long nextMeasure;
  private long nextGuard;
  private volatile boolean draining;
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
  public SideTaskRunner(
      SideIdentity identity,
      Worker worker,
      TaskChannel channel,
      MonotonicClock clock,
      EventRecorder recorder) {
    this(identity, worker, channel, ServiceMonitor.none(), clock, WallClock.system(), recorder);
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
  public SideTaskRunner(
      SideIdentity identity,
      Worker worker,
      TaskChannel channel,
      ServiceMonitor service,
      MonotonicClock clock,
      WallClock wallClock,
      EventRecorder recorder) {
    this.identity = requireNonNull(identity, "identity");
    this.channel = requireNonNull(channel, "channel");
    this.clock = requireNonNull(clock, "clock");
    this.reporter = new AttemptReporter(channel);
    this.supervisor = new AttemptSupervisor(identity, worker, reporter, clock, recorder);
    this.guard =
        new GuardLoop(identity, worker, supervisor, channel, service, clock, wallClock, recorder);
    this.workerTimeoutAt = clock.nanos();
    this.nextConfirmationRequest = clock.nanos();
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
    // A full queue drops the message. Entries resend starts and stops, and confirm every second.
    boolean unused = queue.offer(new ReceivedMessage(peer, message));
  }

  /** Reports from now on that this VM takes no new tasks. Running tasks go on. */
  public void drain() {
    draining = true;
  }

  /**
   * Stops the thread. Attempts run on until their leases expire or a new side process adopts them.
   */
  @Override
  public void close() {
    closed = true;
    if (thread != null) {
      thread.interrupt();
    }
  }

  /** Handles the queued messages and does all work that is due. Called by the thread and tests. */
  void step() {
    ReceivedMessage next = queue.poll();
    while (next != null) {
      handle(next);
      next = queue.poll();
    }
    if (hasPassed(nextList)) {
      nextList = deadlineAfterMillis(LIST_MILLIS);
      if (supervisor.pollWorker()) {
        workerTimeoutAt = deadlineAfterMillis(WORKER_TIMEOUT_MILLIS);
      }
    }
    if (hasPassed(nextConfirmationRequest)) {
      nextConfirmationRequest = deadlineAfterMillis(CONFIRMATION_REQUEST_MILLIS);
      requestConfirmation();
    }
    supervisor.renewAll();
    if (hasPassed(nextMeasure)) {
      nextMeasure = deadlineAfterMillis(MEASURE_MILLIS);
      guard.reportUsage();
    }
    if (hasPassed(nextGuard)) {
      nextGuard = deadlineAfterMillis(GUARD_MILLIS);
      guard.step();
    }
    if (hasPassed(nextReport)) {
      nextReport = deadlineAfterMillis(REPORT_MILLIS);
      supervisor.stopUnconfirmed();
      reporter.resendEnded(supervisor.attempts());
    }
  }

  private void run() {
    while (!closed) {
      try {
        ReceivedMessage next = queue.poll(idleNanos(), TimeUnit.NANOSECONDS);
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
    if (!supervisor.attempts().isEmpty()) {
      return poll;
    }
    long now = clock.nanos();
    long next = Math.min(nextList - now, nextConfirmationRequest - now);
    next = Math.min(next, Math.min(nextMeasure - now, nextGuard - now));
    next = Math.min(next, nextReport - now);
    return Math.max(poll, next);
  }

  private void handle(ReceivedMessage incoming) {
    TaskMessage message = incoming.message();
    switch (message.getKindCase()) {
      case VOUCH -> supervisor.onConfirmation(message.getVouch());
      case START -> supervisor.onStart(incoming.peer(), message.getStart());
      case STOP -> stop(incoming.peer(), message.getStop());
      case REPORT_ACK -> supervisor.onAck(message.getReportAck());
      default -> {
        // A kind that only side processes send, or one of a newer version.
      }
    }
  }

  private void stop(String peer, StopTask stop) {
    if (stop.getReason() == StopTask.Reason.EVICTED) {
      guard.onPreempted(peer, stop);
    } else {
      supervisor.onStop(peer, stop);
    }
  }

  private void requestConfirmation() {
    if (supervisor.boot().isEmpty() || hasPassed(workerTimeoutAt)) {
      return;
    }
    WorkerBoot boot = supervisor.boot().get();
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
            .setLeaving(draining)
            .build();
    TaskMessage message = TaskMessage.newBuilder().setAskVouch(request).build();
    channel.peers().forEach(peer -> channel.send(peer, message));
  }

  private long deadlineAfterMillis(long millis) {
    return clock.nanos() + millis * NANOS_PER_MILLI;
  }

  private boolean hasPassed(long deadlineNanos) {
    return clock.nanos() - deadlineNanos >= 0;
  }
}
