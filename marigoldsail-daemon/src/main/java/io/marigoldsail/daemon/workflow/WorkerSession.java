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
  private static final long WAIT_MILLIS = 900;

  /** The same while tasks with a latency target run: their tails are measured each half second. */
  private static final long WAIT_SERVING_MILLIS = 450;

  /** The most that the next listing waits for owners to note ends, in nanoseconds. */
  private static final long NOTE_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
  private static final int MAX_START_TRIES = 3;

  private final LinkLoop loop;
  private final WorkerGateway gateway;
  private final String worker;
  private final int partitions;
  private final WorkerListener listener;
  private final Overcommit overcommit = new Overcommit();
  private final ResourceLedger room = new ResourceLedger(overcommit);
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
      WorkerLeaseTerms terms,
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

  /** Returns a time that the worker's clock has surely reached, in milliseconds. */
  long workerClock() {
    return time.reached();
  }

  /**
   * Returns whether the worker is given nothing now.
   *
   * <p>Guards against orders in vain: owners that do not own what is unknown here would take the VM
   * for empty and send it all that waits, while others have room.
   */
  boolean isUnhealthy() {
    return health.isBad(loop.now()) || StartAdmission.isAnyUnknown(runs.values());
  }

  ResourceLedger room() {
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

  int serving() {
    return StartAdmission.serving(runs.values());
  }

  /** Takes evidence that an owner held its partition at a time on the worker's clock. */
  boolean evidence(int partition, long epoch, long workerClock) {
    return time.evidence(partition, epoch, workerClock);
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
            ? Optional.of("the worker is silent")
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
      gone("it answered as another one");
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
      // The worker would end a moment later what it takes now; the stop forbids the first order.
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
      // It ended or was stopped here: listings show its end, or it is noted already.
      run.confirm();
      return;
    }
    if (run.isUncertain()) {
      // An earlier copy of the order may be carried out yet; the stop forbids that.
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

  /** Stops a run, also one that is not known here: a late order for it must not be carried out. */
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
      gone("it answered as another one");
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

  /** Forgets an end that its owner has made durable. */
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
    Set<Integer> held = new HashSet<>();
    runs.values().forEach(run -> held.add(run.partition()));
    return held;
  }

  private void look() {
    // A worker that did not answer may have taken the last deadline; it must be able to pass.
    OptionalLong until = health.isSilent() ? OptionalLong.empty() : time.extend(held());
    long wait = serving() > 0 ? WAIT_SERVING_MILLIS : WAIT_MILLIS;
    Set<RunKey> confirmed = new HashSet<>();
    runs.values().stream().filter(SideRun::isConfirmed).forEach(run -> confirmed.add(run.key()));
    long waits = ends.isAllNoted() ? wait : 0;
    ListingTurns.answer(worker, () -> gateway.list(worker, until, ends.noted(), waits))
        .thenAccept(result -> loop.run(() -> listed(result, confirmed)));
  }

  private void listed(ListingResult result, Set<RunKey> confirmed) {
    turns.ended();
    if (closed) {
      return;
    }
    if (result instanceof OtherWorker) {
      gone("it answered as another one");
      return;
    }
    // Planned first: without a next listing owners would believe for good that all this runs.
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
    Listing shown = (Listing) result;
    time.read(shown.workerClock());
    takeListing(shown, confirmed);
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
   * Counts everything as over on a worker that has been silent past every deadline it was given.
   *
   * <p>Guards against tasks that are nowhere: a worker that is gone for good and that no other one
   * replaces answers nothing, so nobody ever tells the end of what it ran. A worker that is only
   * cut off has ended it by itself by then, and takes no order that was sent before.
   */
  private void leaseIsOver() {
    for (SideRun run : List.copyOf(runs.values())) {
      finish(run.key(), RunOutcome.LAPSED, "", 0, "the worker is silent and its lease over");
    }
  }

  private void takeListing(Listing shown, Set<RunKey> confirmed) {
    Set<RunKey> mentioned = new HashSet<>();
    for (Ended end : shown.ended()) {
      mentioned.add(end.run());
      takeEnd(end);
    }
    for (Running row : shown.running()) {
      mentioned.add(row.run());
      takeRunning(row);
    }
    if (shown.isCut()) {
      return;
    }
    for (SideRun run : List.copyOf(runs.values())) {
      boolean missing = !mentioned.contains(run.key()) && confirmed.contains(run.key());
      if (missing && run.missedTooOften()) {
        finish(run.key(), RunOutcome.FORGOTTEN, "", 0, "the worker lists it no more");
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

  /** Stops what belongs to owners that are silent for long, so that it does not end the others. */
  private void stopOverdue() {
    Set<Integer> overdue = time.overdue(held());
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
