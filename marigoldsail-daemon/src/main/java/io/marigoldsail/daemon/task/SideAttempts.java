package io.marigoldsail.daemon.task;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.error.Failure;
import io.marigoldsail.error.Result;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.lease.LeaseEvidence;
import io.marigoldsail.lease.Worker;
import io.marigoldsail.lease.WorkerBoot;
import io.marigoldsail.lease.WorkerClock;
import io.marigoldsail.lease.WorkerListing;
import io.marigoldsail.lease.WorkerStart;
import io.marigoldsail.lease.WorkerTask;
import io.marigoldsail.protocol.StartTask;
import io.marigoldsail.protocol.StopTask;
import io.marigoldsail.protocol.TaskReport;
import io.marigoldsail.protocol.TaskReportAck;
import io.marigoldsail.protocol.Vouch;
import io.marigoldsail.time.MonotonicClock;
import io.marigoldsail.timeline.Event;
import io.marigoldsail.timeline.EventKind;
import io.marigoldsail.timeline.EventRecorder;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Starts, renews, stops and monitors the attempts of a VM at its worker. Calls to the worker block.
 *
 * <p>Not thread-safe.
 */
final class SideAttempts {
  private static final Logger LOGGER = System.getLogger(SideAttempts.class.getName());
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Tokens of acknowledged attempts are kept so that a late StartTask cannot start one again. */
  private static final int MAX_REMEMBERED = 20_000;

  /** A lease is renewed only if that extends it by at least its length divided by this. */
  private static final long RENEWAL_PARTS = 8;

  private final SideIdentity identity;
  private final Worker worker;
  private final SideReports reports;
  private final MonotonicClock clock;
  private final EventRecorder recorder;
  private final LeaseEvidence evidence;
  private final Map<Long, SideTask> tasks = new TreeMap<>();
  private final RememberedTokens acknowledged = new RememberedTokens(MAX_REMEMBERED);
  private WorkerBoot boot;
  private WorkerClock workerClock;

  SideAttempts(
      SideIdentity identity,
      Worker worker,
      SideReports reports,
      MonotonicClock clock,
      EventRecorder recorder) {
    this.identity = requireNonNull(identity, "identity");
    this.worker = requireNonNull(worker, "worker");
    this.reports = requireNonNull(reports, "reports");
    this.clock = requireNonNull(clock, "clock");
    this.recorder = requireNonNull(recorder, "recorder");
    this.evidence = new LeaseEvidence(identity.processIncarnation());
  }

  /** Returns the worker's boot, or empty before its first response. */
  Optional<WorkerBoot> boot() {
    return Optional.ofNullable(boot);
  }

  Collection<SideTask> tasks() {
    return tasks.values();
  }

  /** Returns the attempt with the token, or null. */
  SideTask find(long token) {
    return tasks.get(token);
  }

  /** Stops an attempt as evicted. The stop is resent until the worker confirms it. */
  void evict(SideTask task, String reason) {
    task.stopping(true, reason);
    stop(task);
  }

  void onVouch(Vouch confirmation) {
    LeaseEvidence.Change change =
        evidence.confirm(
            confirmation.getRegistration(),
            confirmation.getProcessIncarnation(),
            confirmation.getAskedNanos(),
            clock.nanos());
    if (change == LeaseEvidence.Change.NEW_REGISTRATION) {
      // The VM was revoked and has joined again. Its earlier tasks may be claimed elsewhere.
      for (SideTask task : tasks.values()) {
        if (task.token() < evidence.registration() && task.phase() != SideTask.Phase.ENDED) {
          task.stopping(false, "the VM has a new registration");
          stop(task);
        }
      }
    }
  }

  void onStart(String peer, StartTask start) {
    SideTask known = tasks.get(start.getToken());
    if (known != null) {
      known.told(start, clock.nanos());
      reports.send(peer, known.report());
      return;
    }
    if (!mayStart(start)) {
      return;
    }
    Sizes sizes =
        new Sizes(start.getMilliProcessors(), start.getMemoryBytes(), start.getAccelerators());
    SideTask task =
        new SideTask(
            start.getTask(),
            start.getAttempt(),
            start.getToken(),
            sizes,
            start.getLatencyCritical(),
            start.getLeaseMillis(),
            SideTask.Phase.UNCERTAIN);
    task.told(start, clock.nanos());
    task.checkpoint(start.getCheckpoint());
    Sizes occupied = heldRoom().plus(sizes);
    tasks.put(task.token(), task);
    if (!occupied.fitsIn(boot.capacity())) {
      refuse(task, "insufficient capacity: needs %s of %s".formatted(occupied, boot.capacity()));
      return;
    }
    startAtWorker(task, start);
  }

  /** Returns whether a start of a new attempt is valid. If not, it is ignored; entries resend it. */
  private boolean mayStart(StartTask start) {
    // The earlier side process may have handled a start that was sent to it: the task may have been
    // released and claimed elsewhere since. An entry that has confirmed this process has read that.
    boolean forThisProcess = start.getProcessIncarnation() == identity.processIncarnation();
    boolean current = evidence.isConfirmed() && start.getRegistration() == evidence.registration();
    if (!forThisProcess || !current || boot == null || acknowledged.contains(start.getToken())) {
      return false;
    }
    long deadline = evidence.deadlineNanos(start.getLeaseMillis());
    return clock.nanos() - deadline < 0;
  }

  private void startAtWorker(SideTask task, StartTask start) {
    long deadline = evidence.deadlineNanos(task.leaseMillis());
    WorkerStart order =
        new WorkerStart(
            task.task(),
            task.attempt(),
            task.token(),
            workerClock.deadlineMillis(deadline),
            task.sizes(),
            start.getCommand(),
            start.getCheckpoint(),
            start.getCheckpointIntervalMillis(),
            start.getRunMillis());
    task.granted(deadline);
    Result<WorkerTask> result = worker.start(order);
    if (result instanceof Result.Ok<WorkerTask> ok) {
      task.phase(SideTask.Phase.RUNNING);
      recorder.record(Event.of(EventKind.TASK_STARTED).withTask(task.task()).withVm(identity.vm()));
      observe(task, ok.value());
      reports.sendToAll(task.report());
      return;
    }
    Failure failure = ((Result.Failed<WorkerTask>) result).failure();
    LOGGER.log(
        Level.WARNING,
        "event=task-start-failed task={0} kind={1} detail=\"{2}\"",
        task.task(),
        failure.kind().code(),
        failure.detail());
    switch (failure.kind()) {
      case CONFLICT, TARGET_UNREACHABLE -> refuse(task, failure.detail());
      default -> {
        // The attempt may run. It is stopped later, unless the worker's list shows that it runs.
      }
    }
  }

  /** Reports a start as refused once the worker has confirmed that it will not run the attempt. */
  private void refuse(SideTask task, String reason) {
    task.stopping(false, reason);
    stop(task);
  }

  void onStop(String peer, StopTask stop) {
    SideTask task = tasks.get(stop.getToken());
    if (task == null) {
      boolean neverStarted = !acknowledged.contains(stop.getToken()) && boot != null;
      if (neverStarted) {
        // The start may still arrive; stopping the attempt at the worker prevents it.
        task =
            new SideTask(
                stop.getTask(),
                stop.getAttempt(),
                stop.getToken(),
                Sizes.NONE,
                false,
                0,
                SideTask.Phase.UNCERTAIN);
        tasks.put(task.token(), task);
        refuse(task, "stopped before its start");
      }
      return;
    }
    if (task.phase() == SideTask.Phase.ENDED) {
      reports.send(peer, task.report());
      return;
    }
    if (task.phase() != SideTask.Phase.STOPPING) {
      task.stopping(false, "cancelled");
      stop(task);
    }
  }

  private void stop(SideTask task) {
    if (worker.stop(task.task(), task.token()) instanceof Result.Ok<WorkerTask> ok) {
      observe(task, ok.value());
    }
  }

  void onAck(TaskReportAck ack) {
    SideTask task = tasks.get(ack.getToken());
    if (task != null && task.phase() == SideTask.Phase.ENDED) {
      tasks.remove(ack.getToken());
      acknowledged.add(ack.getToken());
    }
  }

  /**
   * Lists the worker's attempts, adopts those that are unknown and applies the state of the others.
   *
   * @return whether the worker responded
   */
  boolean look() {
    long requestedNanos = clock.nanos();
    if (!(worker.list() instanceof Result.Ok<WorkerListing> ok)) {
      return false;
    }
    WorkerListing listing = ok.value();
    workerClock = WorkerClock.of(listing.boot().clockMillis(), requestedNanos, clock.nanos());
    boolean rebooted = boot != null && boot.incarnation() != listing.boot().incarnation();
    boot = listing.boot();
    if (rebooted) {
      // No attempt of the earlier boot runs any more; entries see the new boot and clear its tasks.
      // Attempts that had ended before are still reported.
      tasks.values().removeIf(task -> task.phase() != SideTask.Phase.ENDED);
    }
    Set<Long> listedTokens = new HashSet<>();
    for (WorkerTask workerTask : listing.tasks()) {
      listedTokens.add(workerTask.token());
      SideTask task = tasks.get(workerTask.token());
      if (task == null && !acknowledged.contains(workerTask.token())) {
        task = SideTask.adopted(workerTask);
        tasks.put(workerTask.token(), task);
      }
      if (task != null && task.phase() != SideTask.Phase.ENDED) {
        observe(task, workerTask);
      }
    }
    stopUnlisted(listedTokens);
    return true;
  }

  /** Stops running attempts that the worker no longer lists. */
  private void stopUnlisted(Set<Long> listedTokens) {
    for (SideTask task : tasks.values()) {
      if (task.phase() == SideTask.Phase.RUNNING && !listedTokens.contains(task.token())) {
        task.stopping(false, "the worker no longer lists it");
        stop(task);
      }
    }
  }

  /** Applies the state of an attempt as the worker reported it. */
  private void observe(SideTask task, WorkerTask workerTask) {
    task.checkpointSeen(workerTask.checkpoint(), clock.nanos());
    switch (workerTask.state()) {
      case RUNNING -> {
        if (task.phase() == SideTask.Phase.UNCERTAIN) {
          task.phase(SideTask.Phase.RUNNING);
        }
        if (task.phase() == SideTask.Phase.RUNNING && task.takeUntoldCheckpoint()) {
          reports.sendToOne(task.report());
        }
        return;
      }
      case DONE -> task.ended(TaskReport.State.DONE, workerTask.detail());
      case FAILED -> task.ended(TaskReport.State.FAILED, workerTask.detail());
      case LAPSED -> lapsed(task);
      case STOPPED -> {
        boolean started =
            task.phase() == SideTask.Phase.RUNNING || !workerTask.sizes().equals(Sizes.NONE);
        task.ended(started ? TaskReport.State.RELEASED : TaskReport.State.REFUSED, "");
      }
    }
    recorder.record(
        Event.of(EventKind.TASK_ENDED)
            .withTask(task.task())
            .withVm(identity.vm())
            .withDetail(workerTask.state() + " " + workerTask.detail()));
    reports.sendToOne(task.report());
  }

  private void lapsed(SideTask task) {
    task.ended(TaskReport.State.RELEASED, "its lease expired");
    recorder.record(Event.of(EventKind.LEASE_LAPSED).withTask(task.task()).withVm(identity.vm()));
  }

  void renewAll() {
    if (!evidence.isConfirmed() || workerClock == null) {
      return;
    }
    for (SideTask task : tasks.values()) {
      if (task.phase() == SideTask.Phase.RUNNING && task.token() > evidence.registration()) {
        renew(task);
      }
    }
  }

  private void renew(SideTask task) {
    long deadline = evidence.deadlineNanos(task.leaseMillis());
    long minExtensionNanos = task.leaseMillis() * NANOS_PER_MILLI / RENEWAL_PARTS;
    boolean first = task.grantedNanos() == Long.MIN_VALUE;
    boolean worthwhile = first || deadline - task.grantedNanos() >= minExtensionNanos;
    if (task.leaseMillis() == 0 || !worthwhile || clock.nanos() - deadline >= 0) {
      return;
    }
    // The deadline is given on the worker's clock. If this process is paused at this point, the worker
    // still stops the task in time, and it refuses a renewal that arrives too late.
    Result<WorkerTask> result =
        worker.renew(task.task(), task.token(), workerClock.deadlineMillis(deadline));
    if (result.isOk()) {
      task.granted(deadline);
    }
  }

  void settleUncertain() {
    for (SideTask task : List.copyOf(tasks.values())) {
      boolean unconfirmed =
          task.phase() == SideTask.Phase.UNCERTAIN || task.phase() == SideTask.Phase.STOPPING;
      if (unconfirmed) {
        stop(task);
      }
    }
  }

  private Sizes heldRoom() {
    Sizes occupied = Sizes.NONE;
    for (SideTask task : tasks.values()) {
      if (task.holdsRoom()) {
        occupied = occupied.plus(task.sizes());
      }
    }
    return occupied;
  }
}
