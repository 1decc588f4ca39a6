package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.daemon.workflow.WorkerGateway.Accepted;
import io.marigoldsail.daemon.workflow.WorkerGateway.ActiveRun;
import io.marigoldsail.daemon.workflow.WorkerGateway.EndedRun;
import io.marigoldsail.daemon.workflow.WorkerGateway.IncarnationMismatch;
import io.marigoldsail.daemon.workflow.WorkerGateway.Listing;
import io.marigoldsail.daemon.workflow.WorkerGateway.ListingFailed;
import io.marigoldsail.daemon.workflow.WorkerGateway.ListingResult;
import io.marigoldsail.daemon.workflow.WorkerGateway.OrderResult;
import io.marigoldsail.daemon.workflow.WorkerGateway.Refusal;
import io.marigoldsail.daemon.workflow.WorkerGateway.Refused;
import io.marigoldsail.protocol.EndReport;
import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.workflow.Overcommit;
import io.marigoldsail.workflow.ResourceLedger;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import io.marigoldsail.workflow.WorkflowIds;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * One life of the VM's worker: carries out orders, renews its lease, and keeps its ends until an
 * owner has noted them.
 *
 * <p>A run is in here from before its order leaves until the worker has listed its end, refused it,
 * or shown several listings without it after it took the last order. So what may still be carried
 * out late keeps its room, and is never called over. Confined to the loop's thread.
 */
final class WorkerSession {
  private static final EventLog LOG = EventLog.of(WorkerSession.class);

  /** How long a listing waits for an end, in milliseconds. */
  private static final long LISTING_WAIT_MILLIS = 900;

  /** The same while tasks with a latency target run: their tails are measured each half second. */
  private static final long SERVICE_LISTING_WAIT_MILLIS = 450;

  /** The most that the next listing waits for owners to note ends, in nanoseconds. */
  private static final long ACKNOWLEDGEMENT_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
  private static final int MAX_START_TRIES = 3;

  private final LinkLoop loop;
  private final WorkerGateway gateway;
  private final String worker;
  private final int partitions;
  private final WorkerSessionListener listener;
  private final Overcommit overcommit = new Overcommit();
  private final ResourceLedger resources = new ResourceLedger(overcommit);
  private final WorkerLease lease;
  private final RunThrottler throttler;
  private final StartAdmission admission;
  private final UnacknowledgedEnds ends = new UnacknowledgedEnds();
  private final RunEndLog endLog;
  private final Map<RunKey, SideRun> runs = new LinkedHashMap<>();
  private WorkerHeartbeat heartbeat;
  private final WorkerHealth health;
  private final ListingScheduler listings;
  private boolean initialized;
  private boolean closed;

  WorkerSession(
      LinkLoop loop,
      WorkerGateway gateway,
      WorkerHeartbeat heartbeat,
      Listing first,
      int partitions,
      WorkerLeaseTerms terms,
      WorkerSessionListener listener) {
    this.loop = requireNonNull(loop, "loop");
    this.gateway = requireNonNull(gateway, "gateway");
    this.heartbeat = requireNonNull(heartbeat, "heartbeat");
    this.worker = heartbeat.worker();
    this.partitions = partitions;
    this.listener = requireNonNull(listener, "listener");
    this.lease = new WorkerLease(loop, terms, first.workerClock());
    this.throttler = new RunThrottler(loop, gateway, worker, overcommit);
    this.endLog = new RunEndLog(loop, worker);
    this.admission = new StartAdmission(lease, resources, throttler);
    this.listings = new ListingScheduler(loop, this::requestListing);
    this.health = new WorkerHealth(worker);
    resources.capacity(heartbeat.capacity());
    applyListing(first, Set.of());
    initialized = true;
  }

  void start() {
    listings.requestNow();
  }

  String worker() {
    return worker;
  }

  WorkerHeartbeat heartbeat() {
    return heartbeat;
  }

  void heartbeat(WorkerHeartbeat newest) {
    WorkerHeartbeat before = heartbeat;
    heartbeat = newest;
    resources.capacity(newest.capacity());
    if (newest.draining() && !before.draining()) {
      LOG.info(LogLine.of("worker-leaves").with("worker", worker).with("runs", runs.size()));
      listener.availabilityChanged();
    } else if (!newest.equalsIgnoringSequence(before)) {
      listener.capacityChanged();
    }
  }

  /** Returns a time that the worker's clock has surely reached, in milliseconds. */
  long workerClockLowerBound() {
    return lease.clockLowerBound();
  }

  /**
   * Returns whether the worker is given nothing now.
   *
   * <p>Guards against orders in vain: owners that do not own what is unknown here would take the VM
   * for empty and send it all that waits, while others have room.
   */
  boolean isUnhealthy() {
    return health.isUnhealthy(loop.now()) || StartAdmission.hasUnknownSizes(runs.values());
  }

  ResourceLedger resources() {
    return resources;
  }

  Collection<SideRun> runs() {
    return runs.values();
  }

  Collection<EndReport> ends() {
    return ends.all();
  }

  RunThrottler throttler() {
    return throttler;
  }

  int serviceTaskCount() {
    return StartAdmission.serviceTaskCount(runs.values());
  }

  /** Takes evidence that an owner held its partition at a time on the worker's clock. */
  boolean recordEvidence(int partition, long epoch, long workerClock) {
    return lease.recordEvidence(partition, epoch, workerClock);
  }

  int partitionOf(RunKey key) {
    return WorkflowIds.partition(key.task().workflow(), partitions);
  }

  /** Carries out an order to start, or refuses it at once. */
  void start(RunKey key, StartRun order, String program) {
    SideRun known = runs.get(key);
    if (known != null) {
      if (known.order().isEmpty()) {
        known.order(order);
        resources.book(key, StartAdmission.claim(order));
        listener.runChanged(known.partition());
      }
      return;
    }
    if (ends.contains(key)) {
      return;
    }
    int partition = partitionOf(key);
    Optional<String> refusal =
        health.isUnresponsive()
            ? Optional.of("the worker is silent")
            : admission.reserveOrRefuse(key, partition, order, heartbeat.draining(), runs.values());
    if (refusal.isPresent()) {
      recordEnd(key, RunOutcome.REFUSED, "", 0, refusal.get());
      return;
    }
    SideRun run = new SideRun(key, partition, Optional.of(order));
    run.program(program);
    runs.put(key, run);
    sendStart(run);
  }

  private void sendStart(SideRun run) {
    int tries = run.countStartTry();
    if (!health.isUnresponsive()) {
      lease.extend(activePartitions());
    }
    WorkerGateway.StartOrder start =
        new WorkerGateway.StartOrder(
            run.key(),
            run.program(),
            lease.deadline(),
            run.order().orElseThrow().getCheckpoint(),
            run.order().orElseThrow().getTicket());
    gateway
        .start(worker, start)
        .thenAccept(result -> loop.run(() -> handleStartResult(run, tries, result)));
  }

  private void handleStartResult(SideRun run, int tries, OrderResult result) {
    if (closed || runs.get(run.key()) != run || run.isStopping()) {
      return;
    }
    if (result instanceof Accepted accepted) {
      lease.recordClock(accepted.workerClock());
      run.confirm();
      throttler.throttle(run);
      listener.runChanged(run.partition());
    } else if (result instanceof IncarnationMismatch) {
      end("it answered as another one");
    } else if (result instanceof Refused refused) {
      startRefused(run, refused);
    } else {
      LOG.info(
          LogLine.of("start-unanswered")
              .with("run", run.key())
              .with("tries", tries)
              .with("reason", ((WorkerGateway.OrderOutcomeUnknown) result).reason()));
      run.markStartOutcomeUnknown();
      recordFailure();
      if (run.isListed()) {
        return;
      }
      if (tries < MAX_START_TRIES) {
        loop.schedule(() -> retryStart(run), RETRY_DELAY_NANOS);
      } else {
        stop(run.key());
      }
    }
  }

  private void retryStart(SideRun run) {
    if (closed || runs.get(run.key()) != run || run.isStopping() || run.isListed()) {
      return;
    }
    if (heartbeat.draining()) {
      // The worker would end a moment later what it takes now; the stop forbids the first order.
      stop(run.key());
      return;
    }
    sendStart(run);
  }

  private void startRefused(SideRun run, Refused refused) {
    if (refused.refusal() == Refusal.UNAVAILABLE) {
      recordFailure();
    }
    if (refused.refusal() == Refusal.STALE_ATTEMPT) {
      // It ended or was stopped here: listings show its end, or it is noted already.
      run.confirm();
      return;
    }
    if (run.isStartOutcomeUnknown()) {
      // An earlier copy of the order may be carried out yet; the stop forbids that.
      stop(run.key());
      return;
    }
    recordEnd(run.key(), RunOutcome.REFUSED, "", 0, refused.detail());
  }

  private void notifyAvailability() {
    if (health.updateReported(isUnhealthy())) {
      listener.availabilityChanged();
    }
  }

  private void recordFailure() {
    health.recordFailure(loop.now());
    notifyAvailability();
  }

  /** Stops a run, also one that is not known here: a late order for it must not be carried out. */
  void stop(RunKey key) {
    if (ends.contains(key)) {
      return;
    }
    SideRun run = runs.get(key);
    if (run == null) {
      run = new SideRun(key, partitionOf(key), Optional.empty());
      runs.put(key, run);
    }
    if (run.isStopping()) {
      return;
    }
    run.markStopping();
    sendStop(run);
  }

  private void sendStop(SideRun run) {
    gateway
        .stop(worker, run.key())
        .thenAccept(result -> loop.run(() -> handleStopResult(run, result)));
  }

  private void handleStopResult(SideRun run, OrderResult result) {
    if (closed || runs.get(run.key()) != run) {
      return;
    }
    if (result instanceof IncarnationMismatch) {
      end("it answered as another one");
    } else if (result instanceof Accepted accepted) {
      lease.recordClock(accepted.workerClock());
      run.confirm();
    } else if (result instanceof Refused refused && refused.refusal() == Refusal.STALE_ATTEMPT) {
      run.confirm();
    } else {
      LOG.info(LogLine.of("stop-retried").with("run", run.key()).with("result", result));
      loop.schedule(
          () -> {
            if (!closed && runs.get(run.key()) == run) {
              sendStop(run);
            }
          },
          RETRY_DELAY_NANOS);
    }
  }

  /** Forgets an end that its owner has made durable. */
  void acknowledgeEnd(RunKey key) {
    if (ends.acknowledge(key) && ends.isAllAcknowledged() && !health.isUnresponsive()) {
      listings.requestNow();
    }
  }

  private void recordEnd(
      RunKey key, RunOutcome outcome, String checkpoint, long sequence, String reason) {
    runs.remove(key);
    resources.release(key);
    ends.add(key, outcome, checkpoint, sequence, reason);
    endLog.runEnded(key, outcome, reason);
    listener.runChanged(partitionOf(key));
  }

  private Set<Integer> activePartitions() {
    Set<Integer> held = new HashSet<>();
    runs.values().forEach(run -> held.add(run.partition()));
    return held;
  }

  private void requestListing() {
    // A worker that did not answer may have taken the last deadline; it must be able to pass.
    OptionalLong until =
        health.isUnresponsive() ? OptionalLong.empty() : lease.extend(activePartitions());
    long wait = serviceTaskCount() > 0 ? SERVICE_LISTING_WAIT_MILLIS : LISTING_WAIT_MILLIS;
    Set<RunKey> confirmed = new HashSet<>();
    runs.values().stream().filter(SideRun::isConfirmed).forEach(run -> confirmed.add(run.key()));
    long waits = ends.isAllAcknowledged() ? wait : 0;
    ListingScheduler.resultOf(
            worker, () -> gateway.list(worker, until, ends.acknowledgedUpTo(), waits))
        .thenAccept(result -> loop.run(() -> handleListingResult(result, confirmed)));
  }

  private void handleListingResult(ListingResult result, Set<RunKey> confirmed) {
    listings.completed();
    if (closed) {
      return;
    }
    if (result instanceof IncarnationMismatch) {
      end("it answered as another one");
      return;
    }
    // Planned first: without a next listing owners would believe for good that all this runs.
    listings.scheduleAfter(RETRY_DELAY_NANOS);
    if (result instanceof ListingFailed failed) {
      health.recordListingFailure(failed.reason(), loop.now()).ifPresent(LOG::info);
      notifyAvailability();
      if (lease.isExpired()) {
        recordLapsedRuns();
      }
      return;
    }
    health.recordListing(loop.now()).ifPresent(LOG::info);
    Listing shown = (Listing) result;
    lease.recordClock(shown.workerClock());
    applyListing(shown, confirmed);
    notifyAvailability();
    stopRunsOfUnresponsiveOwners();
    if (throttler.observe(runs.values(), resources.capacity().milliProcessors())) {
      listener.capacityChanged();
    }
    if (ends.isAllAcknowledged()) {
      listings.requestNow();
    } else {
      listings.scheduleAfter(ACKNOWLEDGEMENT_WAIT_NANOS);
    }
  }

  /**
   * Counts everything as over on a worker that has been silent past every deadline it was given.
   *
   * <p>Guards against tasks that are nowhere: a worker that is gone for good and that no other one
   * replaces answers nothing, so nobody ever tells the end of what it ran. A worker that is only
   * cut off has ended it by itself by then, and takes no order that was sent before.
   */
  private void recordLapsedRuns() {
    for (SideRun run : List.copyOf(runs.values())) {
      recordEnd(run.key(), RunOutcome.LAPSED, "", 0, "the worker is silent and its lease over");
    }
  }

  private void applyListing(Listing shown, Set<RunKey> confirmed) {
    Set<RunKey> mentioned = new HashSet<>();
    for (EndedRun end : shown.ended()) {
      mentioned.add(end.run());
      applyEnd(end);
    }
    for (ActiveRun row : shown.running()) {
      mentioned.add(row.run());
      applyActiveRun(row);
    }
    if (shown.isTruncated()) {
      return;
    }
    for (SideRun run : List.copyOf(runs.values())) {
      boolean missing = !mentioned.contains(run.key()) && confirmed.contains(run.key());
      if (missing && run.countMissedListing()) {
        recordEnd(run.key(), RunOutcome.FORGOTTEN, "", 0, "the worker lists it no more");
      }
    }
  }

  private void applyEnd(EndedRun end) {
    if (!ends.recordSequence(end.sequence())) {
      return;
    }
    recordEnd(end.run(), end.outcome(), end.checkpoint(), end.sequence(), "listed by the worker");
  }

  private void applyActiveRun(ActiveRun row) {
    SideRun run = runs.get(row.run());
    if (run == null) {
      if (ends.contains(row.run())) {
        return;
      }
      LOG.info(
          LogLine.of(initialized ? "run-appeared" : "run-adopted")
              .with("run", row.run())
              .with("worker", worker));
      run = new SideRun(row.run(), partitionOf(row.run()), Optional.empty());
      runs.put(row.run(), run);
    }
    boolean first = !run.isListed();
    run.listed(row.checkpoint(), row.percent(), row.measurement());
    if (first) {
      listener.runChanged(run.partition());
    }
  }

  /** Stops what belongs to owners that are silent for long, so that it does not end the others. */
  private void stopRunsOfUnresponsiveOwners() {
    Set<Integer> overdue = lease.overduePartitions(activePartitions());
    for (SideRun run : new ArrayList<>(runs.values())) {
      if (overdue.contains(run.partition()) && !run.isStopping()) {
        LOG.warning(
            LogLine.of("run-overdue")
                .with("run", run.key())
                .with("partition", run.partition())
                .with("reason", "its owner is silent"));
        stop(run.key());
      }
    }
  }

  /** Ends this life: what ran is over, since the worker that ran it is. */
  void end(String reason) {
    if (closed) {
      return;
    }
    closed = true;
    listings.close();
    LOG.info(
        LogLine.of("worker-gone")
            .with("worker", worker)
            .with("runs", runs.size())
            .with("reason", reason));
    listener.sessionEnded(this);
  }
}
