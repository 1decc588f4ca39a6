package io.marigoldsail.daemon.workflow;

import io.marigoldsail.daemon.identity.WorkflowIdCodec;
import io.marigoldsail.protocol.EndReport;
import io.marigoldsail.protocol.LeaseGrant;
import io.marigoldsail.protocol.PartitionEvidence;
import io.marigoldsail.protocol.RunOrders;
import io.marigoldsail.protocol.RunReport;
import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.protocol.VmReport;
import io.marigoldsail.workflow.Place;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.TaskKey;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * An entry that owns partitions and follows the rules of owners: an intent is durable before its
 * order; an order that a report lacks is sent again; each report that asks for it is answered with
 * evidence; an end is acknowledged once it is durable; a run is lost when its worker is reported as
 * gone, or {@link WorkerLeaseTerms#takeoverMillis} after the last evidence that its worker may have
 * got. Its clock is up to one percent fast. One thread.
 */
final class SimulatedOwner {
  private static final long PERIOD_MILLIS = 50;
  private static final long RENEWAL_MILLIS = 800;
  private static final long STOP_RESEND_MILLIS = 700;
  private static final long UNRESPONSIVE_MILLIS = 2_500;
  private static final long REFUSAL_BACKOFF_MILLIS = 250;
  private static final int MAX_FAST_PER_MILLE = 10;
  private static final int MOVE_ONE_IN = 150;
  private static final int RUN_MILLI_PROCESSORS = 1_000;

  /** A connection from a side process with its last report and the orders pending for it. */
  private static final class Session {
    private final SimulatedLink link;
    private VmReport report;
    private long reportedAt;
    private RunOrders.Builder orders = RunOrders.newBuilder();
    private long lastFrame;
    private boolean pending;

    Session(SimulatedLink link) {
      this.link = link;
    }

    void update(VmReport newest, long now) {
      if (report != null && !report.getWorker().equals(newest.getWorker())) {
        dropPending();
      }
      report = newest;
      reportedAt = now;
    }

    void dropPending() {
      orders = RunOrders.newBuilder();
      pending = false;
    }
  }

  private final String name;
  private final SimulatedTime time;
  private final SplittableRandom random;
  private final SimulatedStore store;
  private final RunOracle oracle;
  private final WorkerLeaseTerms terms;
  private final int partitionCount;
  private final long fastPerMille;
  private final Map<Integer, SimulatedPartition> partitions = new TreeMap<>();
  private final Map<String, Session> sessions = new LinkedHashMap<>();
  private final Map<Place, Long> grantedAt = new HashMap<>();
  private boolean flushScheduled;
  private long storeReachableAt;

  SimulatedOwner(
      String name,
      SimulatedTime time,
      SplittableRandom random,
      SimulatedStore store,
      RunOracle oracle,
      WorkerLeaseTerms terms,
      int partitionCount) {
    this.name = name;
    this.time = time;
    this.random = random;
    this.store = store;
    this.oracle = oracle;
    this.terms = terms;
    this.partitionCount = partitionCount;
    this.fastPerMille = random.nextInt(MAX_FAST_PER_MILLE + 1);
    time.every(PERIOD_MILLIS, this::decide);
    time.every(RENEWAL_MILLIS, () -> active().forEach(each -> each.append(() -> {})));
  }

  String name() {
    return name;
  }

  private long now() {
    return time.now() + time.now() * fastPerMille / 1_000;
  }

  /** Takes a partition over under a higher epoch than any before. */
  void takeOver(int partition, long epoch) {
    oracle.note(() -> name + " takes over partition " + partition + " epoch " + epoch);
    Optional.ofNullable(partitions.remove(partition)).ifPresent(SimulatedPartition::close);
    SimulatedPartition taken =
        new SimulatedPartition(
            time,
            random.split(),
            store,
            this::now,
            () -> storeReachableAt,
            () -> lost(partition, epoch),
            partition,
            epoch);
    partitions.put(partition, taken);
    taken.open();
  }

  private void lost(int partition, long epoch) {
    oracle.note(() -> name + " hears that it is fenced in partition " + partition);
    SimulatedPartition held = partitions.get(partition);
    if (held != null && held.epoch() == epoch) {
      partitions.remove(partition);
    }
  }

  /** Loses all memory, as a process that is killed and begins anew. */
  void restart() {
    oracle.note(() -> name + " restarts");
    partitions.values().forEach(SimulatedPartition::close);
    partitions.clear();
    List.copyOf(sessions.values()).forEach(session -> session.link.close());
    sessions.clear();
    grantedAt.clear();
  }

  /** Lets appends reach the store only after the time in milliseconds. */
  void loseStore(long millis) {
    oracle.note(() -> name + " does not reach the store for " + millis);
    storeReachableAt = Math.max(storeReachableAt, time.now() + millis);
  }

  boolean holds(int partition) {
    return partitions.containsKey(partition);
  }

  void submitted(TaskKey task) {
    Optional.ofNullable(partitions.get(partitionOf(task)))
        .ifPresent(partition -> partition.submitted(task));
  }

  void disconnected(SimulatedLink link) {
    sessions.values().removeIf(session -> session.link == link);
  }

  private List<SimulatedPartition> active() {
    return partitions.values().stream().filter(SimulatedPartition::isActive).toList();
  }

  private int partitionOf(TaskKey task) {
    return task.workflow().partition(partitionCount);
  }

  private Optional<SimulatedPartition> activeOf(TaskKey task) {
    return Optional.ofNullable(partitions.get(partitionOf(task)))
        .filter(SimulatedPartition::isActive);
  }

  /** Handles a report of a side process. */
  void receive(SimulatedLink link, VmReport report) {
    Session session = sessions.get(report.getVm());
    if (session == null || session.link != link) {
      if (!link.isOpen()) {
        return;
      }
      session = new Session(link);
      sessions.put(report.getVm(), session);
    }
    session.update(report, now());
    reconcile(session);
    if (report.getWantsLease()) {
      grant(session);
    }
  }

  private void reconcile(Session session) {
    VmReport report = session.report;
    Set<RunKey> mentioned = new HashSet<>();
    for (EndReport end : report.getEndsList()) {
      mentioned.add(WorkflowIdCodec.decode(end.getTask()));
      handleEnd(session, end);
    }
    for (RunReport run : report.getRunsList()) {
      RunKey key = WorkflowIdCodec.decode(run.getTask());
      mentioned.add(key);
      activeOf(key.task()).ifPresent(partition -> reconcileRun(session, partition, key, run));
    }
    for (SimulatedPartition partition : active()) {
      for (SimulatedTask task : List.copyOf(partition.tasks())) {
        if (task.isOpen()
            && task.place().vm().equals(report.getVm())
            && !mentioned.contains(task.openRun())) {
          reconcileMissing(session, partition, task);
        }
      }
    }
  }

  private void reconcileMissing(Session session, SimulatedPartition partition, SimulatedTask task) {
    if (task.place().worker().equals(session.report.getGoneWorker())) {
      close(partition, task, RunOutcome.LOST, "worker is gone");
    } else if (task.place().worker().equals(session.report.getWorker())
        && task.isDurable()
        && task.isOrderHandled(session, session.report.getOrdersSeen())) {
      sendOrder(task);
    }
  }

  private void reconcileRun(
      Session session, SimulatedPartition partition, RunKey key, RunReport run) {
    Optional<SimulatedTask> open =
        partition
            .task(key.task())
            .filter(task -> task.isOpen() && task.openRun().equals(key))
            .filter(task -> task.place().worker().equals(session.report.getWorker()));
    if (open.isEmpty()) {
      if (!run.getStopping()) {
        session.orders.addStops(WorkflowIdCodec.encode(key));
        session.pending = true;
        scheduleFlush();
      }
    } else if (open.get().isStopRequested()) {
      sendStop(session, open.get());
    } else if (run.getSizeUnknown()
        && open.get().isDurable()
        && open.get().isOrderHandled(session, session.report.getOrdersSeen())) {
      sendOrder(open.get());
    }
  }

  private void handleEnd(Session session, EndReport end) {
    RunKey key = WorkflowIdCodec.decode(end.getTask());
    RunOutcome outcome = RunOutcome.forNumber(end.getOutcome());
    activeOf(key.task())
        .ifPresent(
            partition -> {
              Optional<SimulatedTask> task = partition.task(key.task());
              if (task.filter(each -> isOpenOn(each, key, session)).isPresent()) {
                close(partition, task.get(), outcome, end.getReason());
              } else if (outcome.completes() && task.isPresent() && task.get().completeLate(key)) {
                oracle.note(key.task(), () -> name + " hears late that " + key + " is done");
              }
              respondToEnd(session, partition, task, key, outcome, end);
            });
  }

  private static boolean isOpenOn(SimulatedTask task, RunKey run, Session session) {
    return task.isOpen()
        && task.openRun().equals(run)
        && task.place().vm().equals(session.report.getVm());
  }

  private void respondToEnd(
      Session session,
      SimulatedPartition partition,
      Optional<SimulatedTask> task,
      RunKey key,
      RunOutcome outcome,
      EndReport end) {
    if (task.isPresent()
        && task.get().lastAttempt() >= key.attempt()
        && !task.get().hasEnded(key.attempt())) {
      return;
    }
    boolean superseded = task.filter(each -> each.isSuperseded(key.attempt(), outcome)).isPresent();
    partition.append(
        () -> {
          if (superseded) {
            session.orders.addSupersededEnds(end.getTask());
          } else {
            session.orders.addNotedEnds(end.getTask());
          }
          session.pending = true;
          scheduleFlush();
        });
  }

  private void close(
      SimulatedPartition partition, SimulatedTask task, RunOutcome outcome, String reason) {
    RunKey run = task.openRun();
    oracle.note(task.key(), () -> name + " closes " + run + " " + outcome + ": " + reason);
    task.endAttempt(outcome, now() + REFUSAL_BACKOFF_MILLIS);
    partition.append(() -> {});
  }

  private void sendOrder(SimulatedTask task) {
    Session session = sessions.get(task.place().vm());
    if (session == null || !session.report.getWorker().equals(task.place().worker())) {
      return;
    }
    if (task.isStopRequested()) {
      sendStop(session, task);
      return;
    }
    session.orders.addStarts(
        StartRun.newBuilder()
            .setTask(WorkflowIdCodec.encode(task.openRun()))
            .setMilliProcessors(RUN_MILLI_PROCESSORS)
            .setDelivery(
                task.mayHaveBeenOrdered() ? StartRun.Delivery.REPEATED : StartRun.Delivery.FIRST));
    session.pending = true;
    task.orderSent(session, session.lastFrame + 1);
    scheduleFlush();
  }

  private void sendStop(Session session, SimulatedTask task) {
    if (task.tryMarkStopSent(now(), STOP_RESEND_MILLIS)) {
      session.orders.addStops(WorkflowIdCodec.encode(task.openRun()));
      session.pending = true;
      scheduleFlush();
    }
  }

  private void scheduleFlush() {
    if (!flushScheduled) {
      flushScheduled = true;
      time.after(0, this::flush);
    }
  }

  private void flush() {
    flushScheduled = false;
    sessions.values().stream().filter(session -> session.pending).forEach(this::grant);
  }

  private void grant(Session session) {
    LeaseGrant.Builder lease =
        LeaseGrant.newBuilder().setWorkerClock(session.report.getWorkerClock());
    for (SimulatedPartition partition : active()) {
      if (partition.hasEvidence()) {
        lease.addEvidence(
            PartitionEvidence.newBuilder()
                .setPartition(partition.number())
                .setEpoch(partition.epoch())
                .setAfterReportMillis((int) (partition.evidenceAt() - session.reportedAt)));
      }
    }
    RunOrders frame =
        session
            .orders
            .setNumber(++session.lastFrame)
            .setLease(lease)
            .setWorker(session.report.getWorker())
            .setTellsSupersededEnds(true)
            .build();
    session.dropPending();
    placeOf(session).ifPresent(place -> grantedAt.put(place, now()));
    noteOrders(session, frame);
    session.link.sendOrders(frame);
  }

  private void noteOrders(Session session, RunOrders frame) {
    for (StartRun start : frame.getStartsList()) {
      RunKey run = WorkflowIdCodec.decode(start.getTask());
      oracle.note(
          run.task(),
          () -> name + " orders " + run + " on " + session.link.vm() + " " + start.getDelivery());
    }
    frame.getStopsList().stream()
        .map(WorkflowIdCodec::decode)
        .forEach(
            run ->
                oracle.note(
                    run.task(),
                    () -> name + " orders stop of " + run + " on " + session.link.vm()));
  }

  private static Optional<Place> placeOf(Session session) {
    return session.report.getWorker().isEmpty()
        ? Optional.empty()
        : Optional.of(new Place(session.report.getVm(), session.report.getWorker()));
  }

  private boolean isFresh(Session session) {
    return now() - session.reportedAt < UNRESPONSIVE_MILLIS;
  }

  private void decide() {
    closeExpired();
    List<Place> offers = new ArrayList<>();
    for (Session session : sessions.values()) {
      boolean unknownSizes =
          session.report.getRunsList().stream().anyMatch(RunReport::getSizeUnknown);
      if (isFresh(session) && !session.report.getUnhealthy() && !unknownSizes) {
        placeOf(session).ifPresent(offers::add);
      }
    }
    for (SimulatedPartition partition : active()) {
      List<SimulatedTask> ordered = new ArrayList<>();
      for (SimulatedTask task : partition.tasks()) {
        if (task.isOpen() && task.isDurable() && random.nextInt(MOVE_ONE_IN) == 0) {
          oracle.note(task.key(), () -> name + " moves " + task.openRun());
          task.requestStop();
        } else if (task.isWaiting(now()) && !offers.isEmpty()) {
          task.startAttempt(offers.get(random.nextInt(offers.size())));
          ordered.add(task);
        }
      }
      if (!ordered.isEmpty()) {
        Map<RunKey, SimulatedTask> runs = new LinkedHashMap<>();
        ordered.forEach(task -> runs.put(task.openRun(), task));
        partition.append(() -> runs.forEach(this::orderDurable));
      }
    }
  }

  private void orderDurable(RunKey run, SimulatedTask task) {
    if (task.isOpen() && task.openRun().equals(run)) {
      task.markDurable();
      sendOrder(task);
    }
  }

  private void closeExpired() {
    for (SimulatedPartition partition : active()) {
      for (SimulatedTask task : partition.tasks()) {
        if (task.isOpen() && !isReported(task.place())) {
          long granted = grantedAt.getOrDefault(task.place(), Long.MIN_VALUE);
          long since = Math.max(granted, partition.openedAt());
          if (now() > since + terms.takeoverMillis()) {
            close(partition, task, RunOutcome.LOST, "every lease has expired");
          }
        }
      }
    }
  }

  private boolean isReported(Place place) {
    Session session = sessions.get(place.vm());
    return session != null && isFresh(session) && placeOf(session).equals(Optional.of(place));
  }
}
