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
final class SideAttempts {
  private static final Logger LOGGER = System.getLogger(SideAttempts.class.getName());
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Ended attempts are remembered, so that a late StartTask cannot start one again. */
  private static final int MAX_REMEMBERED = 20_000;

  /** A lease is renewed when that would lengthen it by at least this part of itself. */
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

  /** Returns the worker's boot, or empty before it has answered once. */
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

  /** Stops an attempt for the sake of the VM's service; repeated until the worker confirms. */
  void evict(SideTask task, String why) {
    task.stopping(true, why);
    stop(task);
  }

  void onVouch(Vouch vouch) {
    LeaseEvidence.Change change =
        evidence.confirm(
            vouch.getRegistration(),
            vouch.getProcessIncarnation(),
            vouch.getAskedNanos(),
            clock.nanos());
    if (change == LeaseEvidence.Change.NEW_REGISTRATION) {
      // The VM was revoked and let in again. What it ran before is or may be claimed elsewhere.
      for (SideTask task : tasks.values()) {
        if (task.token() < evidence.registration() && task.phase() != SideTask.Phase.ENDED) {
          task.stopping(false, "of an earlier registration of the VM");
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
    Sizes after = heldRoom().plus(sizes);
    tasks.put(task.token(), task);
    if (!after.fitsIn(boot.capacity())) {
      refuse(task, "no room: %s would be held of %s".formatted(after, boot.capacity()));
      return;
    }
    startAtWorker(task, start);
  }

  /** Returns whether a start that is not known yet may be acted on; if not, it will come again. */
  private boolean mayStart(StartTask start) {
    // A start meant for an earlier side process may have been answered by it: released, and claimed
    // elsewhere since. An entry that vouched to this process has read all that before.
    boolean ours = start.getProcessIncarnation() == identity.processIncarnation();
    boolean current = evidence.isConfirmed() && start.getRegistration() == evidence.registration();
    if (!ours || !current || boot == null || acknowledged.contains(start.getToken())) {
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
        // It may run: found out by asking the worker, see settleUncertain.
      }
    }
  }

  /** Reports a start as refused, once the worker has confirmed that it cannot start any more. */
  private void refuse(SideTask task, String why) {
    task.stopping(false, why);
    stop(task);
  }

  void onStop(String peer, StopTask stop) {
    SideTask task = tasks.get(stop.getToken());
    if (task == null) {
      boolean unknown = !acknowledged.contains(stop.getToken()) && boot != null;
      if (unknown) {
        // Its start may be under way; the worker is told never to start it.
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
   * Asks the worker what runs: on the first look to adopt it, later to see what ended.
   *
   * @return whether the worker answered
   */
  boolean look() {
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
      tasks.values().removeIf(task -> task.phase() != SideTask.Phase.ENDED);
    }
    Set<Long> listed = new HashSet<>();
    for (WorkerTask seen : listing.tasks()) {
      listed.add(seen.token());
      SideTask task = tasks.get(seen.token());
      if (task == null && !acknowledged.contains(seen.token())) {
        task = SideTask.adopted(seen);
        tasks.put(seen.token(), task);
      }
      if (task != null && task.phase() != SideTask.Phase.ENDED) {
        observe(task, seen);
      }
    }
    stopUnlisted(listed);
    return true;
  }

  /** Settles attempts that the worker was thought to run but no longer knows. */
  private void stopUnlisted(Set<Long> listed) {
    for (SideTask task : tasks.values()) {
      if (task.phase() == SideTask.Phase.RUNNING && !listed.contains(task.token())) {
        task.stopping(false, "the worker no longer knows it");
        stop(task);
      }
    }
  }

  /** Takes in what the worker says about an attempt. */
  private void observe(SideTask task, WorkerTask seen) {
    task.checkpointSeen(seen.checkpoint(), clock.nanos());
    switch (seen.state()) {
      case RUNNING -> {
        if (task.phase() == SideTask.Phase.UNCERTAIN) {
          task.phase(SideTask.Phase.RUNNING);
        }
        if (task.phase() == SideTask.Phase.RUNNING && task.takeUntoldCheckpoint()) {
          reports.sendToOne(task.report());
        }
        return;
      }
      case DONE -> task.ended(TaskReport.State.DONE, seen.detail());
      case FAILED -> task.ended(TaskReport.State.FAILED, seen.detail());
      case LAPSED -> lapsed(task);
      case STOPPED -> {
        boolean started =
            task.phase() == SideTask.Phase.RUNNING || !seen.sizes().equals(Sizes.NONE);
        task.ended(started ? TaskReport.State.RELEASED : TaskReport.State.REFUSED, "");
      }
    }
    recorder.record(
        Event.of(EventKind.TASK_ENDED)
            .withTask(task.task())
            .withVm(identity.vm())
            .withDetail(seen.state() + " " + seen.detail()));
    reports.sendToOne(task.report());
  }

  private void lapsed(SideTask task) {
    task.ended(TaskReport.State.RELEASED, "its lease passed");
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
    long worthwhile = task.leaseMillis() * NANOS_PER_MILLI / RENEWAL_PARTS;
    boolean first = task.grantedNanos() == Long.MIN_VALUE;
    boolean gains = first || deadline - task.grantedNanos() >= worthwhile;
    if (task.leaseMillis() == 0 || !gains || clock.nanos() - deadline >= 0) {
      return;
    }
    // The deadline is one of the worker's own clock: should this process freeze right here, the
    // worker still stops the task in time, and a renewal that arrives too late is refused.
    Result<WorkerTask> result =
        worker.renew(task.task(), task.token(), workerClock.deadlineMillis(deadline));
    if (result.isOk()) {
      task.granted(deadline);
    }
  }

  void settleUncertain() {
    for (SideTask task : List.copyOf(tasks.values())) {
      boolean unsettled =
          task.phase() == SideTask.Phase.UNCERTAIN || task.phase() == SideTask.Phase.STOPPING;
      if (unsettled) {
        stop(task);
      }
    }
  }

  private Sizes heldRoom() {
    Sizes held = Sizes.NONE;
    for (SideTask task : tasks.values()) {
      if (task.holdsRoom()) {
        held = held.plus(task.sizes());
      }
    }
    return held;
  }
}
