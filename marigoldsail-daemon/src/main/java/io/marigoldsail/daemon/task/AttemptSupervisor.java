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
 * The attempts of one VM: started, renewed, stopped and watched at the worker, whose calls block.
 *
 * <p>Not safe for use by several threads.
 */
final class AttemptSupervisor {
  private static final Logger LOGGER = System.getLogger(AttemptSupervisor.class.getName());
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Ended attempts are remembered, so that a late StartTask cannot start one again. */
  private static final int MAX_ACKNOWLEDGED_TOKENS = 20_000;

  /** A lease is renewed when that would lengthen it by at least this part of itself. */
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
      AttemptReporter reports,
      MonotonicClock clock,
      EventRecorder recorder) {
    this.identity = requireNonNull(identity, "identity");
    this.worker = requireNonNull(worker, "worker");
    this.reporter = requireNonNull(reports, "reports");
    this.clock = requireNonNull(clock, "clock");
    this.recorder = requireNonNull(recorder, "recorder");
    this.evidence = new LeaseEvidence(identity.processIncarnation());
  }

  /** Returns the worker's boot, or empty before it has answered once. */
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

  /** Stops an attempt for the sake of the VM's service; repeated until the worker confirms. */
  void evict(SideAttempt task, String why) {
    task.markStopping(true, why);
    stopOnWorker(task);
  }

  void onConfirmation(Vouch vouch) {
    LeaseEvidence.Change change =
        evidence.confirm(
            vouch.getRegistration(),
            vouch.getProcessIncarnation(),
            vouch.getAskedNanos(),
            clock.nanos());
    if (change == LeaseEvidence.Change.NEW_REGISTRATION) {
      // The VM was revoked and let in again. What it ran before is or may be claimed elsewhere.
      for (SideAttempt task : attempts.values()) {
        if (task.token() < evidence.registration() && task.phase() != SideAttempt.Phase.ENDED) {
          task.markStopping(false, "of an earlier registration of the VM");
          stopOnWorker(task);
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
    SideAttempt task =
        new SideAttempt(
            start.getTask(),
            start.getAttempt(),
            start.getToken(),
            sizes,
            start.getLatencyCritical(),
            start.getLeaseMillis(),
            SideAttempt.Phase.UNCERTAIN);
    task.applyStart(start, clock.nanos());
    task.checkpoint(start.getCheckpoint());
    Sizes after = occupiedCapacity().plus(sizes);
    attempts.put(task.token(), task);
    if (!after.fitsIn(boot.capacity())) {
      rejectStart(task, "no room: %s would be held of %s".formatted(after, boot.capacity()));
      return;
    }
    startOnWorker(task, start);
  }

  /** Returns whether a start that is not known yet may be acted on; if not, it will come again. */
  private boolean isStartable(StartTask start) {
    // A start meant for an earlier side process may have been answered by it: released, and claimed
    // elsewhere since. An entry that vouched to this process has read all that before.
    boolean ours = start.getProcessIncarnation() == identity.processIncarnation();
    boolean current = evidence.isConfirmed() && start.getRegistration() == evidence.registration();
    if (!ours || !current || boot == null || acknowledgedTokens.contains(start.getToken())) {
      return false;
    }
    long deadline = evidence.deadlineNanos(start.getLeaseMillis());
    return clock.nanos() - deadline < 0;
  }

  private void startOnWorker(SideAttempt task, StartTask start) {
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
    task.setGrantedDeadline(deadline);
    Result<WorkerTask> result = worker.start(order);
    if (result instanceof Result.Ok<WorkerTask> ok) {
      task.phase(SideAttempt.Phase.RUNNING);
      recorder.record(Event.of(EventKind.TASK_STARTED).withTask(task.task()).withVm(identity.vm()));
      applyWorkerState(task, ok.value());
      reporter.sendToAll(task.toReport());
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
      case CONFLICT, TARGET_UNREACHABLE -> rejectStart(task, failure.detail());
      default -> {
        // It may run: found out by asking the worker, see settleUncertain.
      }
    }
  }

  /** Reports a start as refused, once the worker has confirmed that it cannot start any more. */
  private void rejectStart(SideAttempt task, String why) {
    task.markStopping(false, why);
    stopOnWorker(task);
  }

  void onStop(String peer, StopTask stop) {
    SideAttempt task = attempts.get(stop.getToken());
    if (task == null) {
      boolean unknown = !acknowledgedTokens.contains(stop.getToken()) && boot != null;
      if (unknown) {
        // Its start may be under way; the worker is told never to start it.
        task =
            new SideAttempt(
                stop.getTask(),
                stop.getAttempt(),
                stop.getToken(),
                Sizes.NONE,
                false,
                0,
                SideAttempt.Phase.UNCERTAIN);
        attempts.put(task.token(), task);
        rejectStart(task, "stopped before its start");
      }
      return;
    }
    if (task.phase() == SideAttempt.Phase.ENDED) {
      reporter.send(peer, task.toReport());
      return;
    }
    if (task.phase() != SideAttempt.Phase.STOPPING) {
      task.markStopping(false, "cancelled");
      stopOnWorker(task);
    }
  }

  private void stopOnWorker(SideAttempt task) {
    if (worker.stop(task.task(), task.token()) instanceof Result.Ok<WorkerTask> ok) {
      applyWorkerState(task, ok.value());
    }
  }

  void onAck(TaskReportAck ack) {
    SideAttempt task = attempts.get(ack.getToken());
    if (task != null && task.phase() == SideAttempt.Phase.ENDED) {
      attempts.remove(ack.getToken());
      acknowledgedTokens.add(ack.getToken());
    }
  }

  /**
   * Asks the worker what runs: on the first look to adopt it, later to see what ended.
   *
   * @return whether the worker answered
   */
  boolean pollWorker() {
    long called = clock.nanos();
    if (!(worker.list() instanceof Result.Ok<WorkerListing> ok)) {
      return false;
    }
    WorkerListing listing = ok.value();
    workerClock = WorkerClock.of(listing.boot().clockMillis(), called, clock.nanos());
    boolean reborn = boot != null && boot.incarnation() != listing.boot().incarnation();
    boot = listing.boot();
    if (reborn) {
      // Nothing of the earlier boot runs; the entries see the new boot and clear its tasks. What
      // had
      // ended before is still to be reported.
      attempts.values().removeIf(task -> task.phase() != SideAttempt.Phase.ENDED);
    }
    Set<Long> listed = new HashSet<>();
    for (WorkerTask seen : listing.tasks()) {
      listed.add(seen.token());
      SideAttempt task = attempts.get(seen.token());
      if (task == null && !acknowledgedTokens.contains(seen.token())) {
        task = SideAttempt.adopted(seen);
        attempts.put(seen.token(), task);
      }
      if (task != null && task.phase() != SideAttempt.Phase.ENDED) {
        applyWorkerState(task, seen);
      }
    }
    stopUnlisted(listed);
    return true;
  }

  /** Settles attempts that the worker was thought to run but no longer knows. */
  private void stopUnlisted(Set<Long> listed) {
    for (SideAttempt task : attempts.values()) {
      if (task.phase() == SideAttempt.Phase.RUNNING && !listed.contains(task.token())) {
        task.markStopping(false, "the worker no longer knows it");
        stopOnWorker(task);
      }
    }
  }

  /** Takes in what the worker says about an attempt. */
  private void applyWorkerState(SideAttempt task, WorkerTask seen) {
    task.observeCheckpoint(seen.checkpoint(), clock.nanos());
    switch (seen.state()) {
      case RUNNING -> {
        if (task.phase() == SideAttempt.Phase.UNCERTAIN) {
          task.phase(SideAttempt.Phase.RUNNING);
        }
        if (task.phase() == SideAttempt.Phase.RUNNING && task.takeUnreportedCheckpoint()) {
          reporter.sendToOne(task.toReport());
        }
        return;
      }
      case DONE -> task.markEnded(TaskReport.State.DONE, seen.detail());
      case FAILED -> task.markEnded(TaskReport.State.FAILED, seen.detail());
      case LAPSED -> markLapsed(task);
      case STOPPED -> {
        boolean started =
            task.phase() == SideAttempt.Phase.RUNNING || !seen.sizes().equals(Sizes.NONE);
        task.markEnded(started ? TaskReport.State.RELEASED : TaskReport.State.REFUSED, "");
      }
    }
    recorder.record(
        Event.of(EventKind.TASK_ENDED)
            .withTask(task.task())
            .withVm(identity.vm())
            .withDetail(seen.state() + " " + seen.detail()));
    reporter.sendToOne(task.toReport());
  }

  private void markLapsed(SideAttempt task) {
    task.markEnded(TaskReport.State.RELEASED, "its lease passed");
    recorder.record(Event.of(EventKind.LEASE_LAPSED).withTask(task.task()).withVm(identity.vm()));
  }

  void renewAll() {
    if (!evidence.isConfirmed() || workerClock == null) {
      return;
    }
    for (SideAttempt task : attempts.values()) {
      if (task.phase() == SideAttempt.Phase.RUNNING && task.token() > evidence.registration()) {
        renew(task);
      }
    }
  }

  private void renew(SideAttempt task) {
    long deadline = evidence.deadlineNanos(task.leaseMillis());
    long worthwhile = task.leaseMillis() * NANOS_PER_MILLI / MIN_RENEWAL_DIVISOR;
    boolean first = task.grantedDeadlineNanos() == Long.MIN_VALUE;
    boolean gains = first || deadline - task.grantedDeadlineNanos() >= worthwhile;
    if (task.leaseMillis() == 0 || !gains || clock.nanos() - deadline >= 0) {
      return;
    }
    // The deadline is one of the worker's own clock: should this process freeze right here, the
    // worker still stops the task in time, and a renewal that arrives too late is refused.
    Result<WorkerTask> result =
        worker.renew(task.task(), task.token(), workerClock.deadlineMillis(deadline));
    if (result.isOk()) {
      task.setGrantedDeadline(deadline);
    }
  }

  void stopUnconfirmed() {
    for (SideAttempt task : List.copyOf(attempts.values())) {
      boolean unsettled =
          task.phase() == SideAttempt.Phase.UNCERTAIN || task.phase() == SideAttempt.Phase.STOPPING;
      if (unsettled) {
        stopOnWorker(task);
      }
    }
  }

  private Sizes occupiedCapacity() {
    Sizes held = Sizes.NONE;
    for (SideAttempt task : attempts.values()) {
      if (task.occupiesCapacity()) {
        held = held.plus(task.sizes());
      }
    }
    return held;
  }
}
