package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.protocol.EndReport;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.LeaseGrant;
import io.marigoldsail.protocol.PartitionEvidence;
import io.marigoldsail.protocol.RunReport;
import io.marigoldsail.protocol.VmReport;
import io.marigoldsail.workflow.ImageHarm;
import io.marigoldsail.workflow.LeaseTermsOfWorker;
import io.marigoldsail.workflow.Place;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.VmOffer;
import io.marigoldsail.workflow.Workflow;
import io.marigoldsail.workflow.WorkflowTask;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The VMs as an entry knows them, and the runs that it owns on them.
 *
 * <p>Reports tell the whole state of a VM as far as this entry owns it, so that a lost connection,
 * a restart or a new owner needs no protocol of its own: what an owner expects and a report lacks
 * is ordered again, and what a report has and no owner expects is stopped. Orders name the attempt,
 * and a worker carries out each at most once.
 *
 * <p>Confined to the loop's thread.
 */
final class EntryVms {
  private static final EventLog LOG = EventLog.of(EntryVms.class);

  /** A VM that was silent for this long gets no new work, in nanoseconds: three reports missed. */
  private static final long SILENT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

  /** Between two orders to stop the same run, in nanoseconds. */
  private static final long STOP_REPEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  /** Told what reports change; runs on the loop. */
  interface Listener {
    /** A run ended and its task may wait again. */
    void ended(OwnedPartition partition, WorkflowTask task, RunOutcome outcome);

    /** A VM has more or other room. */
    void roomChanged();
  }

  private final LinkLoop loop;
  private final Ownership ownership;
  private final LeaseTermsOfWorker terms;
  private final Listener listener;
  private final java.util.function.LongSupplier wallMillis;
  private final Map<LinkConnection, VmSession> sessions = new HashMap<>();
  private final Map<String, VmSession> newest = new LinkedHashMap<>();
  private final Map<String, Map<RunKey, OpenRun>> openRuns = new HashMap<>();
  private final Map<String, Long> lastGrant = new HashMap<>();
  private final FleetKnowledge knowledge = new FleetKnowledge();
  private boolean flushScheduled;

  EntryVms(
      LinkLoop loop,
      Ownership ownership,
      LeaseTermsOfWorker terms,
      java.util.function.LongSupplier wallMillis,
      Listener listener) {
    this.loop = requireNonNull(loop, "loop");
    this.ownership = requireNonNull(ownership, "ownership");
    this.terms = requireNonNull(terms, "terms");
    this.wallMillis = requireNonNull(wallMillis, "wallMillis");
    this.listener = requireNonNull(listener, "listener");
  }

  /** Follows the runs that former owners of the partition ordered. */
  void activated(OwnedPartition partition) {
    for (Workflow workflow : partition.workflows()) {
      workflow
          .openTasks()
          .forEach(task -> follow(new OpenRun(partition, task, loop.now(), true, false)));
    }
  }

  /** Forgets the runs of a partition that another process decides for. */
  void lost(OwnedPartition partition) {
    openRuns.values().forEach(runs -> runs.values().removeIf(run -> run.partition() == partition));
  }

  private void follow(OpenRun run) {
    String vm = run.task().place().orElseThrow().vm();
    openRuns.computeIfAbsent(vm, unused -> new LinkedHashMap<>()).put(run.task().openRun(), run);
  }

  /** Follows a run that was just decided on, and orders it once that is durable. */
  void ordered(OwnedPartition partition, WorkflowTask task, boolean starved) {
    OpenRun run = new OpenRun(partition, task, loop.now(), false, starved);
    RunKey key = task.openRun();
    follow(run);
    partition.changed(task.workflow());
    partition
        .writer()
        .afterDurable(
            () -> {
              run.becameDurable();
              if (task.isOpen() && task.openRun().equals(key)) {
                tell(run, task.place().orElseThrow());
              }
            });
  }

  private void tell(OpenRun run, Place place) {
    VmSession session = newest.get(place.vm());
    if (session == null || !session.report().getWorker().equals(place.worker())) {
      return;
    }
    if (run.isUnwanted()) {
      tellStop(session, run);
    } else {
      run.told(session, session.addStart(run.task(), run.isStarved()));
    }
    flushSoon();
  }

  private void tellStop(VmSession session, OpenRun run) {
    if (run.mayTellStop(loop.now(), STOP_REPEAT_NANOS)) {
      session.addStop(run.task().openRun());
      flushSoon();
    }
  }

  /** Stops the open runs of the workflow that are not wanted any more. */
  void stopUnwanted(Workflow workflow) {
    for (WorkflowTask task : workflow.openTasks()) {
      Place place = task.place().orElseThrow();
      OpenRun run = openRuns.getOrDefault(place.vm(), Map.of()).get(task.openRun());
      VmSession session = newest.get(place.vm());
      if (run != null && run.isDurable() && run.isUnwanted() && session != null) {
        tellStop(session, run);
      }
    }
  }

  /** Takes a report from a side process. */
  void reported(LinkConnection connection, VmReport report) {
    if (report.getVm().isEmpty()) {
      LOG.warning(LogLine.of("report-without-vm").with("peer", connection));
      return;
    }
    VmSession session = sessions.get(connection);
    if (session == null) {
      session = new VmSession(connection, report, loop.now());
      sessions.put(connection, session);
      newest.put(report.getVm(), session);
      LOG.info(
          LogLine.of("vm-connected")
              .with("vm", report.getVm())
              .with("worker", report.getWorker())
              .with("peer", connection));
    } else {
      if (!session.report().getWorker().equals(report.getWorker())) {
        knowledge.renewed(report.getVm());
      }
      session.take(report, loop.now());
    }
    if (newest.get(report.getVm()) != session) {
      return;
    }
    reconcile(session, report);
    if (report.getWantsLease()) {
      knowledge.imagesSeen(report.getVm(), ImageRecords.decode(report.getImagesList()));
      grant(session);
    }
    listener.roomChanged();
  }

  private void reconcile(VmSession session, VmReport report) {
    Map<RunKey, OpenRun> expected = openRuns.getOrDefault(report.getVm(), Map.of());
    Set<RunKey> mentioned = new HashSet<>();
    for (EndReport end : report.getEndsList()) {
      mentioned.add(WorkflowRecords.decode(end.getTask()));
      takeEnd(session, end);
    }
    for (RunReport run : report.getRunsList()) {
      RunKey key = WorkflowRecords.decode(run.getTask());
      mentioned.add(key);
      takeRun(session, report, expected.get(key), key, run);
    }
    for (OpenRun run : List.copyOf(expected.values())) {
      if (!run.task().isOpen() || mentioned.contains(run.task().openRun())) {
        continue;
      }
      Place place = run.task().place().orElseThrow();
      if (isGone(place, report)) {
        close(run, RunOutcome.LOST, "", "its worker is gone");
      } else if (place.worker().equals(report.getWorker())
          && run.isDurable()
          && run.isUnansweredBy(session, report.getOrdersSeen())) {
        tell(run, place);
      }
    }
  }

  private static boolean isGone(Place place, VmReport report) {
    return place.worker().equals(report.getGoneWorker())
        || (!report.getWorker().isEmpty() && !place.worker().equals(report.getWorker()));
  }

  private void takeRun(
      VmSession session, VmReport report, OpenRun open, RunKey key, RunReport run) {
    if (open == null || !open.task().place().orElseThrow().worker().equals(report.getWorker())) {
      stopUnknown(session, key, run.getStopping());
      return;
    }
    if (run.getStarted()) {
      boolean first = !open.task().workflow().hasBegun();
      open.task().observe(run.getCheckpoint(), run.getPercent());
      knowledge.progressed(open, report.getVm(), run.getPercent(), loop.now());
      if (first) {
        open.partition().changed(open.task().workflow());
      }
    }
    if (open.isUnwanted()) {
      tellStop(session, open);
    } else if (run.getSizeUnknown()
        && open.isDurable()
        && open.isUnansweredBy(session, report.getOrdersSeen())) {
      // A restarted side process finds the run on its worker and cannot know what to book for it.
      tell(open, open.task().place().orElseThrow());
    }
  }

  private void stopUnknown(VmSession session, RunKey key, boolean stopping) {
    Optional<OwnedPartition> partition = ownership.active(partitionOf(key));
    if (partition.isEmpty() || !partition.get().isFresh() || stopping) {
      return;
    }
    LOG.info(LogLine.of("run-unexpected").with("run", key).with("vm", session.vm()));
    session.addStop(key);
    flushSoon();
  }

  private int partitionOf(RunKey key) {
    return ownership.partitionOf(key.task().workflow());
  }

  private void takeEnd(VmSession session, EndReport end) {
    RunKey key = WorkflowRecords.decode(end.getTask());
    Optional<OwnedPartition> found = ownership.active(partitionOf(key));
    if (found.isEmpty()) {
      return;
    }
    OwnedPartition partition = found.get();
    OpenRun run = openRuns.getOrDefault(session.vm(), Map.of()).get(key);
    if (run != null && run.task().isOpen()) {
      close(run, RunOutcome.forNumber(end.getOutcome()), end.getCheckpoint(), end.getReason());
    }
    // Also for one seen before: it may have changed what is not durable yet.
    partition
        .writer()
        .afterDurable(
            () -> {
              session.addNotedEnd(end.getTask());
              flushSoon();
            });
  }

  private void close(OpenRun run, RunOutcome outcome, String checkpoint, String reason) {
    WorkflowTask task = run.task();
    RunKey key = task.openRun();
    Place place = task.place().orElseThrow();
    Workflow workflow = task.workflow();
    Optional.ofNullable(openRuns.get(place.vm())).ifPresent(runs -> runs.remove(key));
    knowledge.ended(run, place.vm(), outcome, loop.now());
    if (!workflow.ended(key, outcome, checkpoint, wallMillis.getAsLong())) {
      return;
    }
    LOG.info(
        LogLine.of("run-ended")
            .with("run", key)
            .with("vm", place.vm())
            .with("outcome", outcome)
            .with("reason", reason)
            .with("ms", TimeUnit.NANOSECONDS.toMillis(loop.now() - run.orderedAt()))
            .with("status", workflow.status()));
    run.partition().changed(workflow);
    listener.ended(run.partition(), task, outcome);
  }

  private void grant(VmSession session) {
    LeaseGrant grant =
        lease(session).toBuilder()
            .addAllImages(ImageRecords.encode(knowledge.imagesSeenElsewhere(session.vm())))
            .build();
    session.connection().send(Frame.newBuilder().setLeaseGrant(grant).build());
  }

  private LeaseGrant lease(VmSession session) {
    LeaseGrant.Builder lease =
        LeaseGrant.newBuilder().setWorkerClock(session.report().getWorkerClock());
    for (OwnedPartition partition : ownership.active()) {
      if (partition.writer().hasEvidence()) {
        long after = partition.writer().evidence() - session.reportedAt();
        lease.addEvidence(
            PartitionEvidence.newBuilder()
                .setPartition(partition.number())
                .setEpoch(partition.epoch())
                .setAfterReportMillis((int) Math.floorDiv(after, 1_000_000L)));
      }
    }
    lastGrant.put(session.vm(), loop.now());
    return lease.build();
  }

  private void flushSoon() {
    if (!flushScheduled) {
      flushScheduled = true;
      loop.runLater(this::flush);
    }
  }

  private void flush() {
    flushScheduled = false;
    for (VmSession session : sessions.values()) {
      if (session.hasPending()) {
        session.flush(lease(session));
      }
    }
  }

  /** Forgets a connection. */
  void disconnected(LinkConnection connection, String reason) {
    VmSession session = sessions.remove(connection);
    if (session == null) {
      return;
    }
    newest.remove(session.vm(), session);
    LOG.info(LogLine.of("vm-disconnected").with("vm", session.vm()).with("reason", reason));
  }

  /**
   * Counts runs as over on VMs that are out of reach, once every lease that they can have is.
   *
   * <p>Guards against a task in two places: a VM that is cut off goes on with what it runs until
   * its worker's deadline, which rests on what this entry last sent it, or a former owner before
   * this one shut it out.
   */
  void sweep() {
    long now = loop.now();
    for (Map.Entry<String, Map<RunKey, OpenRun>> entry : openRuns.entrySet()) {
      VmSession session = newest.get(entry.getKey());
      if (session != null && now - session.reportedAt() < SILENT_NANOS) {
        continue;
      }
      long granted = lastGrant.getOrDefault(entry.getKey(), Long.MIN_VALUE);
      for (OpenRun run : List.copyOf(entry.getValue().values())) {
        long since = Math.max(granted, run.partition().writer().openedAt());
        long over = since + TimeUnit.MILLISECONDS.toNanos(terms.takeoverMillis());
        if (run.task().isOpen() && now > Math.max(over, run.orderedAt())) {
          close(run, RunOutcome.LOST, "", "its VM is out of reach and its lease over");
        }
      }
    }
  }

  /** Returns the VMs that may be given work now. */
  List<VmOffer> offers() {
    List<VmOffer> offers = new ArrayList<>();
    for (VmSession session : newest.values()) {
      VmReport report = session.report();
      boolean usable =
          !report.getWorker().isEmpty()
              && !report.getDraining()
              && !report.getUnhealthy()
              && !session.hasRunsOfUnknownSize()
              && !knowledge.rests(report.getVm(), loop.now())
              && loop.now() - session.reportedAt() < SILENT_NANOS;
      if (usable) {
        offers.add(offer(session, report));
      }
    }
    return offers;
  }

  private VmOffer offer(VmSession session, VmReport report) {
    Sizes free = session.free();
    long fill = report.getFillMilliProcessors();
    long suspect = report.getSuspectMilliProcessors();
    int serving = report.getServing();
    for (Map.Entry<RunKey, OpenRun> open :
        openRuns.getOrDefault(report.getVm(), Map.of()).entrySet()) {
      WorkflowTask task = open.getValue().task();
      if (!session.runs().contains(open.getKey())) {
        free = free.minus(task.step().booked());
        long fills = task.step().nature().fills() ? task.step().sizes().milliProcessors() : 0;
        fill += fills;
        suspect += isSuspect(task) ? fills : 0;
        serving += task.step().nature().serves() ? 1 : 0;
      }
    }
    return new VmOffer(
        session.place().orElseThrow(),
        report.getService(),
        session.labels(),
        session.capacity(),
        free,
        fill,
        suspect,
        serving,
        knowledge.slowness(report.getVm(), loop.now()));
  }

  /** Returns how harmful the image is believed to be to tasks that serve, from 0 to 1. */
  double harmOf(String image) {
    return knowledge.harmOf(image);
  }

  private boolean isSuspect(WorkflowTask task) {
    return ImageHarm.isSuspect(harmOf(task.step().nature().image()));
  }

  /** Returns how many open runs of the step and occurrence are on the VM. */
  int ofStepOn(String vm, WorkflowTask task) {
    int count = 0;
    for (RunKey key : openRuns.getOrDefault(vm, Map.of()).keySet()) {
      if (key.task().workflow() == task.key().workflow()
          && key.task().occurrence() == task.key().occurrence()
          && key.task().step() == task.key().step()) {
        count++;
      }
    }
    return count;
  }

  /** Returns all open runs on VMs whose workers leave. */
  ImmutableList<OpenRun> onDrainingVms() {
    return runsOn(VmReport::getDraining);
  }

  /** Returns the open runs that are too many beside the services of their VMs. */
  ImmutableList<OpenRun> crowded() {
    ImmutableList.Builder<OpenRun> crowded = ImmutableList.builder();
    for (VmSession session : newest.values()) {
      Map<RunKey, OpenRun> open = openRuns.getOrDefault(session.vm(), Map.of());
      for (RunReport run : session.report().getRunsList()) {
        OpenRun ours = run.getCrowded() ? open.get(WorkflowRecords.decode(run.getTask())) : null;
        if (ours != null) {
          crowded.add(ours);
        }
      }
    }
    return crowded.build();
  }

  /** Returns all open runs that fill on VMs where such tasks may work at the share at most. */
  ImmutableList<OpenRun> slowedDownTo(int percent) {
    return runsOn(report -> report.getServing() > 0 && report.getFillPercent() <= percent).stream()
        .filter(run -> run.task().step().nature().fills())
        .filter(run -> isSuspect(run.task()))
        .collect(ImmutableList.toImmutableList());
  }

  private ImmutableList<OpenRun> runsOn(java.util.function.Predicate<VmReport> vms) {
    ImmutableList.Builder<OpenRun> runs = ImmutableList.builder();
    for (VmSession session : newest.values()) {
      if (vms.test(session.report())) {
        runs.addAll(openRuns.getOrDefault(session.vm(), Map.of()).values());
      }
    }
    return runs.build();
  }

  /** Returns the connections of all side processes. */
  Set<LinkConnection> connections() {
    return sessions.keySet();
  }
}
