package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.colocation.InterferenceScope;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.daemon.workflow.WorkerGateway.ActiveRun;
import io.marigoldsail.daemon.workflow.WorkerGateway.EndedRun;
import io.marigoldsail.daemon.workflow.WorkerGateway.IncarnationMismatch;
import io.marigoldsail.daemon.workflow.WorkerGateway.Listing;
import io.marigoldsail.daemon.workflow.WorkerGateway.ListingResult;
import io.marigoldsail.daemon.workflow.WorkerGateway.Refusal;
import io.marigoldsail.daemon.workflow.WorkerGateway.Refused;
import io.marigoldsail.daemon.workflow.WorkerGateway.SucceededBy;
import io.marigoldsail.protocol.EndReport;
import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.workflow.Overcommit;
import io.marigoldsail.workflow.ResourceLedger;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * The session of one worker incarnation: sends orders to the worker, renews its lease, and keeps
 * the ends of its runs until their owners have acknowledged them.
 *
 * <p>A run is kept from before its start order is sent until the worker lists its end, refuses it,
 * or omits it from several listings after it executed the last order. A run whose order may still
 * be executed late therefore keeps its resources and is not reported as ended. Confined to the
 * loop's thread.
 */
final class WorkerSession {
  private static final EventLog LOG = EventLog.of(WorkerSession.class);

  /** Maximum delay of the next listing to await acknowledgements of ends, in nanoseconds. */
  private static final long ACKNOWLEDGEMENT_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

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
  private final EndRetention retention;
  private final RunEndLog endLog;
  private final Map<RunKey, SideRun> runs = new LinkedHashMap<>();
  private WorkerHeartbeat heartbeat;
  private final WorkerHealth health;
  private final ListingScheduler listings;
  private final OrderSender orders;
  private final PredecessorOrders predecessorOrders;
  private final WorkerDeparture departure;
  private boolean initialized;
  private boolean closed;

  WorkerSession(
      LinkLoop loop,
      WorkerGateway gateway,
      WorkerHeartbeat heartbeat,
      Listing first,
      int partitions,
      WorkerLeaseTerms terms,
      InterferenceScope scope,
      WorkerSessionListener listener) {
    this.loop = requireNonNull(loop, "loop");
    this.gateway = requireNonNull(gateway, "gateway");
    this.heartbeat = requireNonNull(heartbeat, "heartbeat");
    this.worker = heartbeat.worker();
    this.partitions = partitions;
    this.listener = requireNonNull(listener, "listener");
    this.lease = new WorkerLease(loop, terms, first.workerClock());
    this.throttler = new RunThrottler(loop, gateway, worker, overcommit, scope);
    this.retention = new EndRetention(worker, lease, ends);
    this.endLog = new RunEndLog(loop, worker);
    this.admission = new StartAdmission(lease, resources, throttler);
    this.listings = new ListingScheduler(loop, this::requestListing);
    this.orders = new OrderSender(loop, gateway, worker, lease, new OrderListener());
    this.health = new WorkerHealth(worker);
    this.predecessorOrders = new PredecessorOrders(lease, first);
    this.departure = new WorkerDeparture(loop, this, lease, ends);
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

  void heartbeat(WorkerHeartbeat received) {
    WorkerHeartbeat newest = departure.applyTo(received);
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

  /** Handles a deregistration, see {@link WorkerDeparture#announce}. */
  CompletableFuture<Boolean> deregister() {
    return departure.announce();
  }

  /** Returns a time that the worker's clock has certainly reached, in milliseconds. */
  long workerClockLowerBound() {
    return lease.clockLowerBound();
  }

  /** Returns whether the worker must not get new work now. */
  boolean isUnhealthy() {
    return health.isUnhealthy(loop.now())
        || retention.mustLeaseExpire()
        || StartAdmission.hasUnknownSizes(runs.values())
        || listener.isEvacuated(heartbeat.zone());
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

  EndRetention retention() {
    return retention;
  }

  RunThrottler throttler() {
    return throttler;
  }

  WorkerHealth health() {
    return health;
  }

  int serviceTaskCount() {
    return StartAdmission.serviceTaskCount(runs.values());
  }

  /** Records ownership evidence, see {@link WorkerLease#recordEvidence}. */
  boolean recordEvidence(int partition, long epoch, long workerClock) {
    return lease.recordEvidence(partition, epoch, workerClock);
  }

  int partitionOf(RunKey key) {
    return key.task().workflow().partition(partitions);
  }

  /** Sends a start order to the worker, or refuses it; orders for known runs are not repeated. */
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
    int partition = partitionOf(key);
    if (ends.contains(key) || predecessorOrders.mayBeOutdated(key, partition, order)) {
      return;
    }
    Optional<String> refusal = reserveOrRefuse(key, partition, order);
    if (refusal.isPresent()) {
      refuse(key, order, refusal.get());
      return;
    }
    SideRun run = new SideRun(key, partition, Optional.of(order), lease.mark(partition));
    run.program(program);
    if (predecessorOrders.mayInclude(order)) {
      run.markStartOutcomeUnknown();
    }
    runs.put(key, run);
    orders.sendStart(run);
  }

  private void refuse(RunKey key, StartRun order, String reason) {
    if (!predecessorOrders.mayInclude(order)) {
      recordEnd(key, RunOutcome.REFUSED, "", 0, reason);
      return;
    }
    int partition = partitionOf(key);
    SideRun run = SideRun.toBeRefused(key, partition, lease.mark(partition));
    runs.put(key, run);
    refuseOnceStopped(run, RunOutcome.REFUSED, reason);
  }

  /** Reports a run as refused only when the worker can no longer execute any copy of its start. */
  private void refuseOnceStopped(SideRun run, RunOutcome outcome, String reason) {
    LOG.info(
        LogLine.of("refusal-deferred")
            .with("run", run.key())
            .with("worker", worker)
            .with("reason", reason));
    run.refuse(outcome, reason);
    stop(run.key());
  }

  private Optional<String> reserveOrRefuse(RunKey key, int partition, StartRun order) {
    if (departure.isAnnounced()) {
      return Optional.of("the worker has deregistered");
    }
    if (listener.isEvacuated(heartbeat.zone())) {
      return Optional.of("the availability zone is evacuated");
    }
    if (health.isUnresponsive()) {
      return Optional.of("the worker is not responding");
    }
    if (retention.mustLeaseExpire()) {
      return Optional.of("the worker's lease is about to expire");
    }
    return admission.reserveOrRefuse(key, partition, order, heartbeat.draining(), runs.values());
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

  /** Stops a run, even an unknown one: a delayed start order for it must not be executed. */
  void stop(RunKey key) {
    if (ends.contains(key)) {
      return;
    }
    SideRun run = runs.computeIfAbsent(key, this::newRunWithoutOrder);
    if (run.isStopping()) {
      return;
    }
    run.markStopping();
    orders.sendStop(run);
  }

  /** Applies the response of an owner to an end; does nothing if the end is not kept. */
  void respondToEnd(RunKey key, EndResponse response) {
    if (!ends.contains(key)) {
      return;
    }
    response.apply(retention, key, partitionOf(key));
    if (!ends.isAwaitingOwners() && !health.isUnresponsive()) {
      listings.requestNow();
    }
  }

  private OptionalLong extendLease() {
    // A worker that is unresponsive or ends may still receive the last deadline; its lease must be
    // able to expire.
    return health.isUnresponsive() || retention.mustLeaseExpire() || departure.isAnnounced()
        ? OptionalLong.empty()
        : lease.extend(SideRun.partitions(runs.values()));
  }

  private SideRun newRunWithoutOrder(RunKey key) {
    int partition = partitionOf(key);
    return new SideRun(key, partition, Optional.empty(), lease.mark(partition));
  }

  private void recordEnd(
      RunKey key, RunOutcome outcome, String checkpoint, long sequence, String reason) {
    Optional<SideRun> run = Optional.ofNullable(runs.remove(key));
    resources.release(key);
    WorkerLease.Mark orderedAt =
        run.map(SideRun::orderedAt).orElseGet(() -> lease.mark(partitionOf(key)));
    ends.add(key, outcome, checkpoint, sequence, reason, orderedAt);
    endLog.runEnded(key, outcome, reason);
    listener.runChanged(partitionOf(key));
  }

  private void requestListing() {
    retention.releaseAfterExpiry();
    OptionalLong newDeadline = extendLease();
    Set<RunKey> confirmed = SideRun.confirmed(runs.values());
    boolean urgent = ends.isAwaitingOwners() || awaitsProof();
    long wait = urgent ? 0 : ListingScheduler.waitMillis(serviceTaskCount() > 0);
    // After a failure another incarnation may respond, which numbers its ends anew.
    long acknowledged = health.isUnresponsive() ? 0 : ends.acknowledgedUpTo();
    departure.listingRequested(acknowledged);
    ListingScheduler.resultOf(worker, () -> gateway.list(worker, newDeadline, acknowledged, wait))
        .thenAccept(result -> loop.run(() -> onListingResult(result, confirmed)));
  }

  /** Returns whether something waits for the next listing, not only for the end of a run. */
  private boolean awaitsProof() {
    return SideRun.anyRefused(runs.values()) || departure.isAnnounced();
  }

  private void onListingResult(ListingResult result, Set<RunKey> confirmed) {
    listings.completed();
    if (closed) {
      return;
    }
    if (result instanceof IncarnationMismatch) {
      end("another incarnation of the worker responded", "the response to a listing");
      return;
    }
    // Scheduled first: without another listing, owners would consider the runs active forever.
    listings.scheduleAfter(RETRY_DELAY_NANOS);
    if (result instanceof SucceededBy succeeded) {
      listener.workerSucceeded(this, succeeded.successor());
    }
    if (!(result instanceof Listing listing)) {
      health.recordListingFailure(result, loop.now()).ifPresent(LOG::info);
      notifyAvailability();
      // A successor that responds may still run what was ordered here, until it is cleared.
      if (lease.isExpired() && !(result instanceof SucceededBy)) {
        lapseRuns("the unresponsive worker's lease expired");
      }
      departure.listingCompleted(false);
      return;
    }
    health.recordListing(loop.now()).ifPresent(LOG::info);
    lease.recordClock(listing.workerClock());
    applyListing(listing, confirmed);
    notifyAvailability();
    OverdueRuns.find(lease, runs.values()).forEach(run -> stop(run.key()));
    if (throttler.observe(runs.values(), resources.capacity().milliProcessors())) {
      listener.capacityChanged();
    }
    boolean pause = !ends.isAllAcknowledged() || awaitsProof();
    listings.scheduleAfter(pause ? ACKNOWLEDGEMENT_WAIT_NANOS : 0);
    departure.listingCompleted(true);
  }

  /**
   * Records all runs as lapsed: the lease of a worker that is unresponsive or ends has expired.
   *
   * <p>A worker that has failed permanently and is not replaced never lists the ends of its runs,
   * so their tasks would count as active forever. A worker that is only disconnected has ended its
   * runs by then, and refuses start orders whose deadline has passed.
   */
  void lapseRuns(String reason) {
    for (SideRun run : List.copyOf(runs.values())) {
      recordEnd(run.key(), RunOutcome.LAPSED, "", 0, reason);
    }
  }

  private void applyListing(Listing listing, Set<RunKey> confirmed) {
    Set<RunKey> listed = new HashSet<>();
    for (EndedRun end : listing.ended()) {
      listed.add(end.run());
      if (ends.recordSequence(end.sequence())) {
        recordEnd(end.run(), end.outcome(), end.checkpoint(), end.sequence(), RunEndLog.LISTED);
      }
    }
    for (ActiveRun active : listing.running()) {
      listed.add(active.run());
      applyActiveRun(active);
    }
    if (listing.isTruncated()) {
      return;
    }
    for (SideRun run : List.copyOf(runs.values())) {
      boolean missing = !listed.contains(run.key()) && confirmed.contains(run.key());
      if (missing && run.isRefused() && !run.isListed()) {
        recordEnd(run.key(), run.refusalOutcome(), "", 0, run.refusal());
      } else if (missing && run.countMissedListing()) {
        recordEnd(run.key(), RunOutcome.FORGOTTEN, "", 0, "the worker no longer lists the run");
      }
    }
  }

  private void applyActiveRun(ActiveRun active) {
    SideRun run = runs.get(active.run());
    if (run == null) {
      if (ends.contains(active.run())) {
        return;
      }
      LOG.info(
          LogLine.of(initialized ? "run-appeared" : "run-adopted")
              .with("run", active.run())
              .with("worker", worker));
      run = newRunWithoutOrder(active.run());
      runs.put(active.run(), run);
    }
    boolean first = !run.isListed();
    run.applyListing(active.checkpoint(), active.percent(), active.measurement());
    if (first) {
      listener.runChanged(run.partition());
    }
  }

  /**
   * Ends the session: the worker incarnation has ended, and all its runs with it.
   *
   * @param evidence what proves that none of its runs is active or can start
   */
  void end(String reason, String evidence) {
    if (closed) {
      return;
    }
    closed = true;
    listings.close();
    LOG.info(
        LogLine.of("worker-gone")
            .with("worker", worker)
            .with("runs", runs.size())
            .with("reason", reason)
            .with("evidence", evidence));
    departure.close();
    listener.sessionEnded(this);
  }

  /** Applies the results of orders. */
  private final class OrderListener implements OrderSender.Listener {
    @Override
    public boolean isCurrent(SideRun run) {
      return !closed && runs.get(run.key()) == run;
    }

    @Override
    public long extendedDeadline() {
      extendLease();
      return lease.sentDeadline();
    }

    @Override
    public boolean acceptsNoStarts() {
      return heartbeat.draining() || listener.isEvacuated(heartbeat.zone());
    }

    @Override
    public void startExecuted(SideRun run) {
      throttler.throttle(run);
      listener.runChanged(run.partition());
    }

    @Override
    public void startRefused(SideRun run, Refused refused) {
      if (refused.refusal() == Refusal.UNAVAILABLE) {
        recordFailure();
      }
      if (refused.refusal() == Refusal.STALE_ATTEMPT) {
        // The attempt ended or was stopped; its end is listed or already acknowledged.
        run.confirm();
      } else if (run.isStartOutcomeUnknown()) {
        refuseOnceStopped(run, refused.refusal().outcome(), refused.detail());
      } else {
        recordEnd(run.key(), refused.refusal().outcome(), "", 0, refused.detail());
      }
    }

    @Override
    public void startUnanswered() {
      recordFailure();
    }

    @Override
    public void startAbandoned(SideRun run) {
      stop(run.key());
    }

    @Override
    public void incarnationChanged() {
      end("another incarnation of the worker responded", "the response to an order");
    }
  }
}
