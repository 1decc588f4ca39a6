package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.daemon.workflow.WorkerGateway.Accepted;
import io.marigoldsail.daemon.workflow.WorkerGateway.Ended;
import io.marigoldsail.daemon.workflow.WorkerGateway.Listing;
import io.marigoldsail.daemon.workflow.WorkerGateway.ListingResult;
import io.marigoldsail.daemon.workflow.WorkerGateway.NoListing;
import io.marigoldsail.daemon.workflow.WorkerGateway.OrderResult;
import io.marigoldsail.daemon.workflow.WorkerGateway.OtherWorker;
import io.marigoldsail.daemon.workflow.WorkerGateway.Refusal;
import io.marigoldsail.daemon.workflow.WorkerGateway.Refused;
import io.marigoldsail.daemon.workflow.WorkerGateway.Running;
import io.marigoldsail.protocol.EndReport;
import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.workflow.LeaseTermsOfWorker;
import io.marigoldsail.workflow.Overcommit;
import io.marigoldsail.workflow.RoomLedger;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
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
 * The session of one worker incarnation: sends orders to the worker, renews its lease, and keeps the
 * ends of its runs until their owners have acknowledged them.
 *
 * <p>A run is kept from before its start order is sent until the worker lists its end, refuses it, or
 * omits it from several listings after it executed the last order. A run whose order may still be
 * executed late therefore keeps its resources and is not reported as ended. Confined to the loop's
 * thread.
 */
final class WorkerSession {
  private static final EventLog LOG = EventLog.of(WorkerSession.class);

  /** How long a listing request waits at the worker for a run to end, in milliseconds. */
  private static final long WAIT_MILLIS = 900;

  /**
   * The same while service tasks run, in milliseconds: their tail latencies are measured
   * every half second.
   */
  private static final long WAIT_SERVING_MILLIS = 450;

  /** Maximum delay of the next listing to await acknowledgements of ends, in nanoseconds. */
  private static final long NOTE_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /** Delay before an order or a listing request is retried, in nanoseconds. */
  private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
  private static final int MAX_START_TRIES = 3;

  private final LinkLoop loop;
  private final WorkerGateway gateway;
  private final String worker;
  private final int partitions;
  private final WorkerListener listener;
  private final Overcommit overcommit = new Overcommit();
  private final RoomLedger room = new RoomLedger(overcommit);
  private final WorkerTime time;
  private final RunPacing pacing;
  private final StartAdmission admission;
  private final EndLedger ends = new EndLedger();
  private final RunOverLog overs;
  private final Map<RunKey, SideRun> runs = new LinkedHashMap<>();
  private WorkerHeartbeat heartbeat;
  private final WorkerHealth health;
  private final ListingTurns turns;
  private boolean adopted;
  private boolean closed;

  WorkerSession(
      LinkLoop loop,
      WorkerGateway gateway,
      WorkerHeartbeat heartbeat,
      Listing first,
      int partitions,
      LeaseTermsOfWorker terms,
      WorkerListener listener) {
    this.loop = requireNonNull(loop, "loop");
    this.gateway = requireNonNull(gateway, "gateway");
    this.heartbeat = requireNonNull(heartbeat, "heartbeat");
    this.worker = heartbeat.worker();
    this.partitions = partitions;
    this.listener = requireNonNull(listener, "listener");
    this.time = new WorkerTime(loop, terms, first.workerClock());
    this.pacing = new RunPacing(loop, gateway, worker, overcommit);
    this.overs = new RunOverLog(loop, worker);
    this.admission = new StartAdmission(time, room, pacing);
    this.turns = new ListingTurns(loop, this::look);
    this.health = new WorkerHealth(worker);
    room.capacity(heartbeat.capacity());
    takeListing(first, Set.of());
    adopted = true;
  }

  void start() {
    turns.now();
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
    room.capacity(newest.capacity());
    if (newest.draining() && !before.draining()) {
      LOG.info(LogLine.of("worker-leaves").with("worker", worker).with("runs", runs.size()));
      listener.standingChanged();
    } else if (!newest.saysTheSameAs(before)) {
      listener.roomChanged();
    }
  }

  /** Returns a time that the worker's clock has certainly reached, in milliseconds. */
  long workerClock() {
    return time.reached();
  }

  /**
   * Returns whether the worker must not get new work now.
   *
   * <p>This includes a worker with runs of unknown resource sizes. Entries that do not own these runs
   * would otherwise take the VM for empty and send it all waiting tasks, only to be refused, while
   * other VMs have free resources.
   */
  boolean isUnhealthy() {
    return health.isBad(loop.now()) || StartAdmission.isAnyUnknown(runs.values());
  }

  RoomLedger room() {
    return room;
  }

  Collection<SideRun> runs() {
    return runs.values();
  }

  Collection<EndReport> ends() {
    return ends.all();
  }

  RunPacing pacing() {
    return pacing;
  }

  /** Returns the number of runs with a latency target. */
  int serving() {
    return StartAdmission.serving(runs.values());
  }

  /**
   * Records evidence that an owner held the partition at a time on the worker's clock, in
   * milliseconds; returns whether its epoch is the highest so far.
   */
  boolean evidence(int partition, long epoch, long workerClock) {
    return time.evidence(partition, epoch, workerClock);
  }

  int partitionOf(RunKey key) {
    return WorkflowIds.partition(key.task().workflow(), partitions);
  }

  /**
   * Sends a start order to the worker, or refuses it at once. An order for a known run is not sent
   * again; for a run of unknown sizes it supplies them.
   */
  void start(RunKey key, StartRun order, String program) {
    SideRun known = runs.get(key);
    if (known != null) {
      if (known.order().isEmpty()) {
        known.order(order);
        room.book(key, StartAdmission.claim(order));
        listener.runChanged(known.partition());
      }
      return;
    }
    if (ends.has(key)) {
      return;
    }
    int partition = partitionOf(key);
    Optional<String> refusal =
        health.isSilent()
            ? Optional.of("the worker is not responding")
            : admission.refusal(key, partition, order, heartbeat.draining(), runs.values());
    if (refusal.isPresent()) {
      finish(key, RunOutcome.REFUSED, "", 0, refusal.get());
      return;
    }
    SideRun run = new SideRun(key, partition, Optional.of(order));
    run.program(program);
    runs.put(key, run);
    sendStart(run);
  }

  private void sendStart(SideRun run) {
    int tries = run.tried();
    if (!health.isSilent()) {
      time.extend(held());
    }
    WorkerGateway.Start start =
        new WorkerGateway.Start(
            run.key(),
            run.program(),
            time.deadline(),
            run.order().orElseThrow().getCheckpoint(),
            run.order().orElseThrow().getTicket());
    gateway
        .start(worker, start)
        .thenAccept(result -> loop.run(() -> startAnswered(run, tries, result)));
  }

  private void startAnswered(SideRun run, int tries, OrderResult result) {
    if (closed || runs.get(run.key()) != run || run.isStopping()) {
      return;
    }
    if (result instanceof Accepted accepted) {
      time.read(accepted.workerClock());
      run.confirm();
      pacing.pace(run);
      listener.runChanged(run.partition());
    } else if (result instanceof OtherWorker) {
      gone("another incarnation of the worker responded");
    } else if (result instanceof Refused refused) {
      startRefused(run, refused);
    } else {
      LOG.info(
          LogLine.of("start-unanswered")
              .with("run", run.key())
              .with("tries", tries)
              .with("reason", ((WorkerGateway.OrderUnknown) result).reason()));
      run.becameUncertain();
      unhealthy();
      if (run.isListed()) {
        return;
      }
      if (tries < MAX_START_TRIES) {
        loop.schedule(() -> retryStart(run), RETRY_NANOS);
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
      // A draining worker would end the run shortly; the stop invalidates the first start order.
      stop(run.key());
      return;
    }
    sendStart(run);
  }

  private void startRefused(SideRun run, Refused refused) {
    if (refused.refusal() == Refusal.BUSY) {
      unhealthy();
    }
    if (refused.refusal() == Refusal.OLD_ATTEMPT) {
      // The attempt ended or was stopped; its end is listed or already acknowledged.
      run.confirm();
      return;
    }
    if (run.isUncertain()) {
      // An earlier copy of the order may still be executed; the stop prevents that.
      stop(run.key());
      return;
    }
    finish(run.key(), RunOutcome.REFUSED, "", 0, refused.detail());
  }

  private void tellStanding() {
    if (health.changes(isUnhealthy())) {
      listener.standingChanged();
    }
  }

  private void unhealthy() {
    health.failed(loop.now());
    tellStanding();
  }

  /**
   * Stops a run. An unknown run is stopped as well, so that the worker does not execute a delayed
   * start order for it.
   */
  void stop(RunKey key) {
    if (ends.has(key)) {
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
    run.stop();
    sendStop(run);
  }

  private void sendStop(SideRun run) {
    gateway.stop(worker, run.key()).thenAccept(result -> loop.run(() -> stopAnswered(run, result)));
  }

  private void stopAnswered(SideRun run, OrderResult result) {
    if (closed || runs.get(run.key()) != run) {
      return;
    }
    if (result instanceof OtherWorker) {
      gone("another incarnation of the worker responded");
    } else if (result instanceof Accepted accepted) {
      time.read(accepted.workerClock());
      run.confirm();
    } else if (result instanceof Refused refused && refused.refusal() == Refusal.OLD_ATTEMPT) {
      run.confirm();
    } else {
      LOG.info(LogLine.of("stop-retried").with("run", run.key()).with("result", result));
      loop.schedule(
          () -> {
            if (!closed && runs.get(run.key()) == run) {
              sendStop(run);
            }
          },
          RETRY_NANOS);
    }
  }

  /** Drops an end that its owner has made durable. */
  void noted(RunKey key) {
    if (ends.note(key) && ends.isAllNoted() && !health.isSilent()) {
      turns.now();
    }
  }

  private void finish(
      RunKey key, RunOutcome outcome, String checkpoint, long sequence, String reason) {
    runs.remove(key);
    room.release(key);
    ends.add(key, outcome, checkpoint, sequence, reason);
    overs.over(key, outcome, reason);
    listener.runChanged(partitionOf(key));
  }

  private Set<Integer> held() {
    Set<Integer> active = new HashSet<>();
    runs.values().forEach(run -> active.add(run.partition()));
    return active;
  }

  private void look() {
    // An unresponsive worker may still receive the last deadline; its lease must be able to expire.
    OptionalLong until = health.isSilent() ? OptionalLong.empty() : time.extend(held());
    long maxWait = serving() > 0 ? WAIT_SERVING_MILLIS : WAIT_MILLIS;
    Set<RunKey> confirmed = new HashSet<>();
    runs.values().stream().filter(SideRun::isConfirmed).forEach(run -> confirmed.add(run.key()));
    long wait = ends.isAllNoted() ? maxWait : 0;
    ListingTurns.answer(worker, () -> gateway.list(worker, until, ends.noted(), wait))
        .thenAccept(result -> loop.run(() -> listed(result, confirmed)));
  }

  private void listed(ListingResult result, Set<RunKey> confirmed) {
    turns.ended();
    if (closed) {
      return;
    }
    if (result instanceof OtherWorker) {
      gone("another incarnation of the worker responded");
      return;
    }
    // Scheduled first, so that an exception below cannot end the polling of the worker: owners would
    // then consider its runs active forever.
    turns.after(RETRY_NANOS);
    if (result instanceof NoListing failed) {
      health.unanswered(failed.reason(), loop.now()).ifPresent(LOG::info);
      tellStanding();
      if (time.isOver()) {
        leaseIsOver();
      }
      return;
    }
    health.answered(loop.now()).ifPresent(LOG::info);
    Listing listing = (Listing) result;
    time.read(listing.workerClock());
    takeListing(listing, confirmed);
    tellStanding();
    stopOverdue();
    if (pacing.observe(runs.values(), room.capacity().milliProcessors())) {
      listener.roomChanged();
    }
    if (ends.isAllNoted()) {
      turns.now();
    } else {
      turns.after(NOTE_WAIT_NANOS);
    }
  }

  /**
   * Records all runs as lapsed once the lease of an unresponsive worker has expired.
   *
   * <p>A worker that has failed permanently and is not replaced never lists the ends of its runs, so
   * their tasks would count as active forever. A worker that is only disconnected has ended its runs
   * by then, and refuses start orders whose deadline has passed.
   */
  private void leaseIsOver() {
    for (SideRun run : List.copyOf(runs.values())) {
      finish(run.key(), RunOutcome.LAPSED, "", 0, "the worker is not responding and its lease has expired");
    }
  }

  private void takeListing(Listing listing, Set<RunKey> confirmed) {
    Set<RunKey> mentioned = new HashSet<>();
    for (Ended end : listing.ended()) {
      mentioned.add(end.run());
      takeEnd(end);
    }
    for (Running row : listing.running()) {
      mentioned.add(row.run());
      takeRunning(row);
    }
    if (listing.isCut()) {
      return;
    }
    for (SideRun run : List.copyOf(runs.values())) {
      boolean missing = !mentioned.contains(run.key()) && confirmed.contains(run.key());
      if (missing && run.missedTooOften()) {
        finish(run.key(), RunOutcome.FORGOTTEN, "", 0, "the worker no longer lists the run");
      }
    }
  }

  private void takeEnd(Ended end) {
    if (!ends.isNew(end.sequence())) {
      return;
    }
    finish(end.run(), end.outcome(), end.checkpoint(), end.sequence(), "listed by the worker");
  }

  private void takeRunning(Running row) {
    SideRun run = runs.get(row.run());
    if (run == null) {
      if (ends.has(row.run())) {
        return;
      }
      LOG.info(
          LogLine.of(adopted ? "run-appeared" : "run-adopted")
              .with("run", row.run())
              .with("worker", worker));
      run = new SideRun(row.run(), partitionOf(row.run()), Optional.empty());
      runs.put(row.run(), run);
    }
    boolean first = !run.isListed();
    run.listed(row.checkpoint(), row.percent(), row.gauge());
    if (first) {
      listener.runChanged(run.partition());
    }
  }

  /**
   * Stops the runs of owners without recent evidence. The worker has one lease deadline for all its
   * runs, so these would otherwise hold it back until it ends the other runs, too.
   */
  private void stopOverdue() {
    Set<Integer> overdue = time.overdue(held());
    for (SideRun run : new ArrayList<>(runs.values())) {
      if (overdue.contains(run.partition()) && !run.isStopping()) {
        LOG.warning(
            LogLine.of("run-overdue")
                .with("run", run.key())
                .with("partition", run.partition())
                .with("reason", "no recent ownership evidence for the partition"));
        stop(run.key());
      }
    }
  }

  /** Ends the session: the worker incarnation has ended, and all its runs with it. */
  void gone(String reason) {
    if (closed) {
      return;
    }
    closed = true;
    turns.close();
    LOG.info(
        LogLine.of("worker-gone")
            .with("worker", worker)
            .with("runs", runs.size())
            .with("reason", reason));
    listener.gone(this);
  }
}
