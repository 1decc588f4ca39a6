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
 * The tasks' part of a side process: runs what accepted claims say on the VM's worker, renews
 * leases on evidence only, and reports until acknowledged.
 *
 * <p>Wiring: feed {@link #onMessage} with every TaskMessage that an entry sends, give a {@link
 * TaskChannel} to the entries, call {@link #start}. One thread does all the work, because calls to
 * the worker block; messages wait in a bounded queue, and what overflows it is sent again by its
 * sender.
 *
 * <p>Keeps nothing that it cannot learn again: after a restart it asks the worker what runs.
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

  /** A worker silent for so long is as good as dead: the VM stops asking and so gets revoked. */
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
   * Creates the tasks' part of a side process; nothing runs before {@link #start}.
   *
   * @param identity which side process this is
   * @param worker the VM's worker
   * @param channel the way to entries
   * @param clock this process's clock
   * @param recorder the time line
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
   * Creates the tasks' part of a side process whose VM also serves; nothing runs before {@link
   * #start}.
   *
   * @param identity which side process this is
   * @param worker the VM's worker
   * @param channel the way to entries
   * @param service the service that the guard protects
   * @param clock this process's clock
   * @param wallClock this VM's clock, for the tasks' deadlines only
   * @param recorder the time line
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

  /** Begins to work in a thread of its own. */
  public void start() {
    thread = new Thread(this::run, "side-tasks");
    thread.setDaemon(true);
    thread.start();
  }

  /** Takes in a message of an entry. Never blocks. */
  public void onMessage(String peer, TaskMessage message) {
    // A full queue drops the message; entries repeat starts and stops, and vouch every second.
    boolean unused = queue.offer(new ReceivedMessage(peer, message));
  }

  /** Announces from now on that this VM takes no new tasks; running ones go on. */
  public void drain() {
    draining = true;
  }

  /** Stops the thread. What runs goes on under its lease, for the next side process to adopt. */
  @Override
  public void close() {
    closed = true;
    if (thread != null) {
      thread.interrupt();
    }
  }

  /** Handles what has arrived and what is due. Called by the thread; tests call it. */
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
        // Ending the thread would let every lease on this VM run out.
        LOGGER.log(Level.ERROR, "event=side-tasks-step-failed", e);
      }
    }
  }

  /**
   * Returns how long there is nothing to do unless a message comes: with no task on the VM, until
   * the next timer. Leases are renewed on evidence, which comes as a message.
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
        // Kinds that only side processes send, or that a newer version added.
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
    AskVouch ask =
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
    TaskMessage message = TaskMessage.newBuilder().setAskVouch(ask).build();
    channel.peers().forEach(peer -> channel.send(peer, message));
  }

  private long deadlineAfterMillis(long millis) {
    return clock.nanos() + millis * NANOS_PER_MILLI;
  }

  private boolean hasPassed(long deadlineNanos) {
    return clock.nanos() - deadlineNanos >= 0;
  }
}
