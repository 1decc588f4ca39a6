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
final class AttemptSupervisor {
  private static final Logger LOGGER = System.getLogger(AttemptSupervisor.class.getName());
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Tokens of acknowledged attempts are kept so that a late StartTask cannot start one again. */
  private static final int MAX_ACKNOWLEDGED_TOKENS = 20_000;

  /** A lease is renewed only if that extends it by at least its length divided by this. */
  private static final long MIN_RENEWAL_DIVISOR = 8;

  private final SideIdentity identity;
  private final Worker worker;
  private final AttemptReporter reporter;
  private final MonotonicClock clock;
  private final EventRecorder recorder;
  private final LeaseEvidence evidence;
  private final Map<Long, SideAttempt> attempts = new TreeMap<>();
  private final RecentTokens acknowledgedTokens = new RecentTokens(MAX_ACKNOWLEDGED_TOKENS);
  private WorkerBoot boot;
  private WorkerClock workerClock;

  AttemptSupervisor(
      SideIdentity identity,
      Worker worker,
      AttemptReporter reporter,
      MonotonicClock clock,
      EventRecorder recorder) {
    this.identity = requireNonNull(identity, "identity");
    this.worker = requireNonNull(worker, "worker");
    this.reporter = requireNonNull(reporter, "reporter");
    this.clock = requireNonNull(clock, "clock");
    this.recorder = requireNonNull(recorder, "recorder");
    this.evidence = new LeaseEvidence(identity.processIncarnation());
  }

  /** Returns the worker's boot, or empty before its first response. */
  Optional<WorkerBoot> boot() {
    return Optional.ofNullable(boot);
  }

  Collection<SideAttempt> attempts() {
    return attempts.values();
  }

  /** Returns the attempt with the token, or null. */
  SideAttempt find(long token) {
    return attempts.get(token);
  }

  /** Stops an attempt as evicted. The stop is resent until the worker confirms it. */
  void evict(SideAttempt attempt, String reason) {
    attempt.markStopping(true, reason);
    stopOnWorker(attempt);
  }

  void onConfirmation(Vouch confirmation) {
    LeaseEvidence.Change change =
        evidence.confirm(
            confirmation.getRegistration(),
            confirmation.getProcessIncarnation(),
            confirmation.getAskedNanos(),
            clock.nanos());
    if (change == LeaseEvidence.Change.NEW_REGISTRATION) {
      // The VM was revoked and has joined again. Its earlier tasks may be claimed elsewhere.
      for (SideAttempt attempt : attempts.values()) {
        if (attempt.token() < evidence.registration()
            && attempt.phase() != SideAttempt.Phase.ENDED) {
          attempt.markStopping(false, "the VM has a new registration");
          stopOnWorker(attempt);
        }
      }
    }
  }

  void onStart(String peer, StartTask start) {
    SideAttempt known = attempts.get(start.getToken());
    if (known != null) {
      known.applyStart(start, clock.nanos());
      reporter.send(peer, known.toReport());
      return;
    }
    if (!isStartable(start)) {
      return;
    }
    Sizes sizes =
        new Sizes(start.getMilliProcessors(), start.getMemoryBytes(), start.getAccelerators());
    SideAttempt attempt =
        new SideAttempt(
            start.getTask(),
            start.getAttempt(),
            start.getToken(),
            sizes,
            start.getLatencyCritical(),
            start.getLeaseMillis(),
            SideAttempt.Phase.UNCERTAIN);
    attempt.applyStart(start, clock.nanos());
    attempt.setCheckpoint(start.getCheckpoint());
    Sizes occupied = occupiedCapacity().plus(sizes);
    attempts.put(attempt.token(), attempt);
    if (!occupied.fitsIn(boot.capacity())) {
      rejectStart(
          attempt, "insufficient capacity: needs %s of %s".formatted(occupied, boot.capacity()));
      return;
    }
    startOnWorker(attempt, start);
  }

  /**
   * Returns whether a start of a new attempt is valid. If not, it is ignored; entries resend it.
   */
  private boolean isStartable(StartTask start) {
    // The earlier side process may have handled a start that was sent to it: the task may have been
    // released and claimed elsewhere since. An entry that has confirmed this process has read that.
    boolean forThisProcess = start.getProcessIncarnation() == identity.processIncarnation();
    boolean current = evidence.isConfirmed() && start.getRegistration() == evidence.registration();
    if (!forThisProcess
        || !current
        || boot == null
        || acknowledgedTokens.contains(start.getToken())) {
      return false;
    }
    long deadline = evidence.deadlineNanos(start.getLeaseMillis());
    return clock.nanos() - deadline < 0;
  }

  private void startOnWorker(SideAttempt attempt, StartTask start) {
    long deadline = evidence.deadlineNanos(attempt.leaseMillis());
    WorkerStart request =
        new WorkerStart(
            attempt.task(),
            attempt.attempt(),
            attempt.token(),
            workerClock.deadlineMillis(deadline),
            attempt.sizes(),
            start.getCommand(),
            start.getCheckpoint(),
            start.getCheckpointIntervalMillis(),
            start.getRunMillis());
    attempt.setGrantedDeadline(deadline);
    Result<WorkerTask> result = worker.start(request);
    if (result instanceof Result.Ok<WorkerTask> ok) {
      attempt.setPhase(SideAttempt.Phase.RUNNING);
      recorder.record(
          Event.of(EventKind.TASK_STARTED).withTask(attempt.task()).withVm(identity.vm()));
      applyWorkerState(attempt, ok.value());
      reporter.sendToAll(attempt.toReport());
      return;
    }
    Failure failure = ((Result.Failed<WorkerTask>) result).failure();
    LOGGER.log(
        Level.WARNING,
        "event=task-start-failed task={0} kind={1} detail=\"{2}\"",
        attempt.task(),
        failure.kind().code(),
        failure.detail());
    switch (failure.kind()) {
      case CONFLICT, TARGET_UNREACHABLE -> rejectStart(attempt, failure.detail());
      default -> {
        // The attempt may run. It is stopped later unless the worker lists it as running.
      }
    }
  }

  /** Reports a start as refused once the worker has confirmed that it will not run the attempt. */
  private void rejectStart(SideAttempt attempt, String reason) {
    attempt.markStopping(false, reason);
    stopOnWorker(attempt);
  }

  void onStop(String peer, StopTask stop) {
    SideAttempt attempt = attempts.get(stop.getToken());
    if (attempt == null) {
      boolean neverStarted = !acknowledgedTokens.contains(stop.getToken()) && boot != null;
      if (neverStarted) {
        // The start may still arrive; stopping the attempt at the worker prevents it.
        attempt =
            new SideAttempt(
                stop.getTask(),
                stop.getAttempt(),
                stop.getToken(),
                Sizes.NONE,
                false,
                0,
                SideAttempt.Phase.UNCERTAIN);
        attempts.put(attempt.token(), attempt);
        rejectStart(attempt, "stopped before its start");
      }
      return;
    }
    if (attempt.phase() == SideAttempt.Phase.ENDED) {
      reporter.send(peer, attempt.toReport());
      return;
    }
    if (attempt.phase() != SideAttempt.Phase.STOPPING) {
      attempt.markStopping(false, "cancelled");
      stopOnWorker(attempt);
    }
  }

  private void stopOnWorker(SideAttempt attempt) {
    if (worker.stop(attempt.task(), attempt.token()) instanceof Result.Ok<WorkerTask> ok) {
      applyWorkerState(attempt, ok.value());
    }
  }

  void onAck(TaskReportAck ack) {
    SideAttempt attempt = attempts.get(ack.getToken());
    if (attempt != null && attempt.phase() == SideAttempt.Phase.ENDED) {
      attempts.remove(ack.getToken());
      acknowledgedTokens.add(ack.getToken());
    }
  }

  /**
   * Lists the worker's attempts, adopts those that are unknown and applies the state of the others.
   *
   * @return whether the worker responded
   */
  boolean pollWorker() {
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
      attempts.values().removeIf(attempt -> attempt.phase() != SideAttempt.Phase.ENDED);
    }
    Set<Long> listedTokens = new HashSet<>();
    for (WorkerTask workerTask : listing.tasks()) {
      listedTokens.add(workerTask.token());
      SideAttempt attempt = attempts.get(workerTask.token());
      if (attempt == null && !acknowledgedTokens.contains(workerTask.token())) {
        attempt = SideAttempt.adopted(workerTask);
        attempts.put(workerTask.token(), attempt);
      }
      if (attempt != null && attempt.phase() != SideAttempt.Phase.ENDED) {
        applyWorkerState(attempt, workerTask);
      }
    }
    stopUnlisted(listedTokens);
    return true;
  }

  /** Stops running attempts that the worker no longer lists. */
  private void stopUnlisted(Set<Long> listedTokens) {
    for (SideAttempt attempt : attempts.values()) {
      if (attempt.phase() == SideAttempt.Phase.RUNNING && !listedTokens.contains(attempt.token())) {
        attempt.markStopping(false, "the worker no longer lists it");
        stopOnWorker(attempt);
      }
    }
  }

  /** Applies the state of an attempt as the worker reported it. */
  private void applyWorkerState(SideAttempt attempt, WorkerTask workerTask) {
    attempt.observeCheckpoint(workerTask.checkpoint(), clock.nanos());
    switch (workerTask.state()) {
      case RUNNING -> {
        if (attempt.phase() == SideAttempt.Phase.UNCERTAIN) {
          attempt.setPhase(SideAttempt.Phase.RUNNING);
        }
        if (attempt.phase() == SideAttempt.Phase.RUNNING && attempt.takeUnreportedCheckpoint()) {
          reporter.sendToOne(attempt.toReport());
        }
        return;
      }
      case DONE -> attempt.markEnded(TaskReport.State.DONE, workerTask.detail());
      case FAILED -> attempt.markEnded(TaskReport.State.FAILED, workerTask.detail());
      case LAPSED -> markLapsed(attempt);
      case STOPPED -> {
        boolean started =
            attempt.phase() == SideAttempt.Phase.RUNNING || !workerTask.sizes().equals(Sizes.NONE);
        attempt.markEnded(started ? TaskReport.State.RELEASED : TaskReport.State.REFUSED, "");
      }
    }
    recorder.record(
        Event.of(EventKind.TASK_ENDED)
            .withTask(attempt.task())
            .withVm(identity.vm())
            .withDetail(workerTask.state() + " " + workerTask.detail()));
    reporter.sendToOne(attempt.toReport());
  }

  private void markLapsed(SideAttempt attempt) {
    attempt.markEnded(TaskReport.State.RELEASED, "its lease expired");
    recorder.record(
        Event.of(EventKind.LEASE_LAPSED).withTask(attempt.task()).withVm(identity.vm()));
  }

  void renewAll() {
    if (!evidence.isConfirmed() || workerClock == null) {
      return;
    }
    for (SideAttempt attempt : attempts.values()) {
      if (attempt.phase() == SideAttempt.Phase.RUNNING
          && attempt.token() > evidence.registration()) {
        renew(attempt);
      }
    }
  }

  private void renew(SideAttempt attempt) {
    long deadline = evidence.deadlineNanos(attempt.leaseMillis());
    long minExtensionNanos = attempt.leaseMillis() * NANOS_PER_MILLI / MIN_RENEWAL_DIVISOR;
    boolean first = attempt.grantedDeadlineNanos() == Long.MIN_VALUE;
    boolean worthwhile = first || deadline - attempt.grantedDeadlineNanos() >= minExtensionNanos;
    if (attempt.leaseMillis() == 0 || !worthwhile || clock.nanos() - deadline >= 0) {
      return;
    }
    // The deadline is given on the worker's clock. If this process is paused at this point, the
    // worker still stops the task in time, and it refuses a renewal that arrives too late.
    Result<WorkerTask> result =
        worker.renew(attempt.task(), attempt.token(), workerClock.deadlineMillis(deadline));
    if (result.isOk()) {
      attempt.setGrantedDeadline(deadline);
    }
  }

  void stopUnconfirmed() {
    for (SideAttempt attempt : List.copyOf(attempts.values())) {
      boolean unconfirmed =
          attempt.phase() == SideAttempt.Phase.UNCERTAIN
              || attempt.phase() == SideAttempt.Phase.STOPPING;
      if (unconfirmed) {
        stopOnWorker(attempt);
      }
    }
  }

  private Sizes occupiedCapacity() {
    Sizes occupied = Sizes.NONE;
    for (SideAttempt attempt : attempts.values()) {
      if (attempt.occupiesCapacity()) {
        occupied = occupied.plus(attempt.sizes());
      }
    }
    return occupied;
  }
}
