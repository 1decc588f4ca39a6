package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.daemon.capacity.RetainedWork;
import io.marigoldsail.daemon.frames.ReportJoiner;
import io.marigoldsail.daemon.identity.EarlierForms;
import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.link.LinkListener;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.link.LinkServer;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.daemon.workflow.WorkflowStore.AppendResult;
import io.marigoldsail.daemon.workflow.WorkflowStore.AppendUnknown;
import io.marigoldsail.daemon.workflow.WorkflowStore.Appended;
import io.marigoldsail.daemon.workflow.WorkflowStore.KeyedRecord;
import io.marigoldsail.daemon.workflow.WorkflowStore.NotAppended;
import io.marigoldsail.daemon.workflow.WorkflowStore.Owners;
import io.marigoldsail.daemon.workflow.WorkflowStore.OwnersFull;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.OwnerMap;
import io.marigoldsail.protocol.Pong;
import io.marigoldsail.protocol.VmReport;
import io.marigoldsail.time.ClockReading;
import io.marigoldsail.workflow.QueryResult;
import io.marigoldsail.workflow.QueueTable;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.VmChooser;
import io.marigoldsail.workflow.Workflow;
import io.marigoldsail.workflow.WorkflowId;
import io.marigoldsail.workflow.WorkflowSpec;
import io.marigoldsail.workflow.WorkflowTask;
import io.marigoldsail.workflow.ZoneEvacuations;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Runs workflows in an entry: accepts submissions, answers queries, and schedules the workflows of
 * the partitions that the entry owns.
 *
 * <p>The public methods may be called from any thread; everything else runs on the loop.
 */
public final class WorkflowEntry {
  private static final EventLog LOG = EventLog.of(WorkflowEntry.class);

  private static final long SWEEP_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  static final long COUNTS_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(700);
  private static final long EVICTION_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);
  private static final long MONITOR_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final int MAX_LINKS = 2_000;

  private final LinkLoop loop;
  private final EntryParameters parameters;
  private final EntryMember self;
  private final LongSupplier wallMillis;
  private final PartitionOwnership ownership;
  private final RetainedWork retained;
  private final EntryPeers peers;
  private final ReportJoiner reports = new ReportJoiner();
  private final VmTracker vms;
  private final EntryScheduler scheduler;
  private final LongRunningTaskMonitor taskMonitor;
  private final SubmissionWriter submissions;
  private final WorkflowQueries queries;
  private final LinkServer server;
  private final ConfigurationFreshness freshness;
  private final OwnerMapRateLimiter<LinkConnection> ownerMapLimiter = new OwnerMapRateLimiter<>();
  private volatile Optional<QueueTable> configuration = Optional.empty();
  private volatile boolean leaving;
  private boolean ordersWithheld;

  /**
   * Creates an entry that has not started yet.
   *
   * @param loop the process's loop
   * @param store the durable store of workflows
   * @param address address of the link server, for side processes and other entries
   * @param wallMillis the wall clock in milliseconds
   * @param adviser restricts the VMs of a step for queues whose policy requires placement advice
   * @param parameters parameters of the deployment
   */
  public WorkflowEntry(
      LinkLoop loop,
      WorkflowStore store,
      InetSocketAddress address,
      LongSupplier wallMillis,
      PlacementAdviser adviser,
      EntryParameters parameters) {
    this.loop = requireNonNull(loop, "loop");
    this.parameters = requireNonNull(parameters, "parameters");
    this.wallMillis = requireNonNull(wallMillis, "wallMillis");
    this.self =
        new EntryMember(
            address.getHostString(),
            address.getPort(),
            wallMillis.getAsLong(),
            parameters.ownerProcessorsMilli());
    this.ownership = new PartitionOwnership(store, loop, wallMillis, self, new OwnershipListener());
    this.retained = RetainedWork.ofMaximum(parameters.maxRetainedBytes());
    this.peers = new EntryPeers(loop, self, retained);
    this.vms = new VmTracker(loop, ownership, parameters.lease(), wallMillis, new VmListener());
    this.scheduler =
        new EntryScheduler(
            loop,
            wallMillis,
            ownership,
            vms,
            VmChooser.forOwner(parameters.farRackFactor(), self.toString()),
            adviser,
            () -> mayOrder() ? this.configuration : Optional.empty());
    this.taskMonitor = new LongRunningTaskMonitor(loop, wallMillis, ownership, vms, scheduler);
    this.freshness =
        new ConfigurationFreshness(
            parameters.maxConfigurationAgeMillis(), parameters.maxEvacuationsAgeMillis());
    this.submissions = new SubmissionWriter(store, loop);
    this.queries = new WorkflowQueries(loop, wallMillis, ownership, peers, vms);
    this.server = new LinkServer(loop, address, MAX_LINKS, new IncomingLinkListener());
  }

  /**
   * Starts the link server and the ownership of partitions.
   *
   * @throws IOException if the address cannot be bound
   */
  public void start() throws IOException {
    server.start();
    loop.run(ownership::start);
    loop.repeat(this::sweep, SWEEP_INTERVAL_NANOS);
    loop.repeat(this::exchangeCounts, COUNTS_INTERVAL_NANOS);
    loop.repeat(taskMonitor::check, MONITOR_INTERVAL_NANOS);
    loop.repeat(this::evictEnded, EVICTION_INTERVAL_NANOS);
  }

  /**
   * Puts a configuration in force; ignores it unless its version is higher than the current one.
   */
  public void configure(QueueTable queues) {
    Optional<QueueTable> current = configuration;
    if (current.isPresent() && current.get().version() >= queues.version()) {
      return;
    }
    configuration = Optional.of(queues);
    LOG.info(
        LogLine.of("configuration-in-force")
            .with("version", queues.version())
            .with("queues", queues.queues().size()));
    loop.run(scheduler::schedulePass);
  }

  /** Puts the evacuations of zones in force; ignores them if newer ones are. */
  public void evacuate(ZoneEvacuations evacuations) {
    loop.run(() -> vms.evacuate(evacuations));
  }

  /** Records that the configuration and the evacuations in force were the newest ones at a time. */
  public void confirmConfiguration(ClockReading asOf) {
    freshness.confirm(asOf);
  }

  /**
   * Returns whether the configuration in force may be applied to new requests: a newer one must be
   * in force some seconds after its publication, and this entry may not have learned of it.
   */
  public boolean isConfigurationFresh() {
    return freshness.mayDecideRequest(readClocks());
  }

  /** Returns how long ago the configuration was known to be the newest one, in milliseconds. */
  public long configurationAgeMillis() {
    return freshness.ageMillis(readClocks());
  }

  private boolean mayOrder() {
    return freshness.mayOrder(readClocks());
  }

  private ClockReading readClocks() {
    return new ClockReading(loop.now(), wallMillis.getAsLong(), 0);
  }

  /** Returns the configuration in force, or empty while there is none. */
  public Optional<QueueTable> configuration() {
    return configuration;
  }

  /** Returns whether this entry is ready for requests of callers. */
  public boolean isReady() {
    return !leaving && ownership.isConnected() && configuration.isPresent();
  }

  /**
   * Writes a workflow durably.
   *
   * @return completes on the loop with the result of the append; {@link OwnersFull} if none was
   *     made since the owners would keep more than fits into one process, or {@link
   *     SubmissionTooLarge}
   */
  public CompletableFuture<AppendResult> submit(WorkflowSpec spec) {
    CompletableFuture<AppendResult> appended = new CompletableFuture<>();
    loop.run(
        () -> {
          if (!ownership.isConnected()) {
            // Fails fast: the caller need not wait for an append that is expected to fail.
            completeSubmission(
                spec, new NotAppended("store did not answer the last join"), appended);
            return;
          }
          int partition = ownership.partitionOf(spec.id());
          String key = spec.id().toString();
          KeyedRecord submission = new KeyedRecord(key, WorkflowCodec.encode(spec));
          Optional<AppendResult> tooLarge = submissions.refuseIfTooLarge(submission);
          if (tooLarge.isPresent()) {
            completeSubmission(spec, tooLarge.get(), appended);
            return;
          }
          Optional<String> owner = peers.ownerOf(partition);
          if (owner.isPresent() && !retained.tryAdd(owner.get(), spec.footprintBytes())) {
            queries.query(
                spec.id(),
                spec.queue(),
                false,
                known -> completeSubmission(spec, resultWhileFull(known), appended));
            return;
          }
          submissions.write(
              partition,
              submission,
              result -> {
                if (owner.isPresent() && result instanceof NotAppended) {
                  retained.remove(owner.get(), spec.footprintBytes());
                }
                completeSubmission(spec, result, appended);
              });
        });
    return appended;
  }

  /**
   * Returns the result of a submission while owners are full, given what its owner knows of it: it
   * may repeat one that was accepted, whose caller must not be told that it never runs.
   */
  private AppendResult resultWhileFull(QueryResult known) {
    if (known.status().isPresent()) {
      return new Appended();
    }
    return known == QueryResult.UNKNOWN_WORKFLOW
        ? new OwnersFull(retained.totalBytes(), retained.maxBytes())
        : new AppendUnknown("its full owner did not answer whether it knows the workflow");
  }

  private void completeSubmission(
      WorkflowSpec spec, AppendResult result, CompletableFuture<AppendResult> appended) {
    LOG.info(
        LogLine.of("workflow-submitted")
            .with("workflow", spec.id())
            .with("partition", ownership.partitionOf(spec.id()))
            .with("queue", spec.queue())
            .with("steps", spec.steps().size())
            .with("configuration", configuration.map(QueueTable::version).orElse(0L))
            .with("result", result.getClass().getSimpleName()));
    if (result instanceof Appended) {
      // If this entry is the owner, it need not wait until it reads the submission from the store.
      ownership.active(ownership.partitionOf(spec.id())).ifPresent(owned -> owned.add(spec));
    }
    appended.complete(result);
  }

  /**
   * Queries the status of a workflow, or cancels it first.
   *
   * @return completes on the loop; {@link QueryResult#UNAVAILABLE} if the owner is not reached in
   *     time
   */
  public CompletableFuture<QueryResult> query(WorkflowId workflow, String queue, boolean cancel) {
    CompletableFuture<QueryResult> future = new CompletableFuture<>();
    loop.run(() -> queries.query(workflow, queue, cancel, future::complete));
    return future;
  }

  /**
   * Returns the number of accepted workflows of the queue of which no task has started, at all
   * entries; completes on the loop. The numbers of other entries may be some seconds old.
   */
  public CompletableFuture<Integer> waitingWorkflows(String queue) {
    CompletableFuture<Integer> count = new CompletableFuture<>();
    loop.run(
        () ->
            count.complete(waitingLocally().getOrDefault(queue, 0) + peers.waitingAtPeers(queue)));
    return count;
  }

  private void exchangeCounts() {
    long bytes =
        ownership.active().stream()
            .flatMap(partition -> partition.workflows().stream())
            .mapToLong(Workflow::footprintBytes)
            .sum();
    retained.update(self.toString(), bytes);
    peers.tick(waitingLocally());
  }

  private Map<String, Integer> waitingLocally() {
    Map<String, Integer> waiting = new HashMap<>();
    for (OwnedPartition partition : ownership.active()) {
      for (Workflow workflow : partition.workflows()) {
        if (!workflow.hasStarted() && !workflow.status().isTerminal()) {
          waiting.merge(workflow.spec().queue(), 1, Integer::sum);
        }
      }
    }
    return waiting;
  }

  private void sweep() {
    logChangeOfOrdering();
    vms.closeExpiredRuns();
    scheduler.moveRuns();
    scheduler.schedulePass();
  }

  /** Logs when this entry stops or resumes ordering runs, as it may miss an evacuation. */
  private void logChangeOfOrdering() {
    boolean withheld = !mayOrder();
    if (withheld != ordersWithheld) {
      ordersWithheld = withheld;
      LOG.info(
          LogLine.of(withheld ? "orders-withheld" : "orders-resumed")
              .with("configuration", configuration.map(QueueTable::version).orElse(0L))
              .with("evacuations_revision", vms.view().evacuations().revision())
              .with("age_ms", configurationAgeMillis())
              .with("partitions", ownership.active().size()));
    }
  }

  private void evictEnded() {
    long endedBefore = wallMillis.getAsLong() - parameters.endedRetentionMillis();
    for (OwnedPartition partition : ownership.active()) {
      partition.dropTombstones(endedBefore);
      for (Workflow workflow : ImmutableList.copyOf(partition.workflows())) {
        boolean expired =
            workflow.durableStatus().isTerminal() && workflow.endedMillis() < endedBefore;
        if (expired && !workflow.hasOpenTasks()) {
          partition.evict(workflow);
        }
      }
    }
  }

  /**
   * Releases all partitions and stops scheduling; queries are still answered through their new
   * owners.
   *
   * @return completes on any thread when the store has responded
   */
  public CompletableFuture<Boolean> leave() {
    leaving = true;
    CompletableFuture<Boolean> left = new CompletableFuture<>();
    loop.run(() -> ownership.leave().thenAccept(left::complete));
    return left;
  }

  /** Closes all links. */
  public void close() {
    server.close();
  }

  /** Handles changes of the ownership of partitions. */
  private final class OwnershipListener implements PartitionOwnership.Listener {
    @Override
    public void ownersRead(long asOfGeneration, Owners owners) {
      if (peers.updateOwners(asOfGeneration, owners)) {
        vms.connections().forEach(WorkflowEntry.this::sendOwnerMap);
      }
    }

    @Override
    public void activated(OwnedPartition partition) {
      vms.partitionActivated(partition);
      scheduler.schedulePass();
    }

    @Override
    public void submitted(OwnedPartition partition, Workflow workflow) {
      scheduler.schedulePass();
    }

    @Override
    public void lost(OwnedPartition partition) {
      vms.partitionLost(partition);
    }

    @Override
    public boolean isConnected(String member) {
      return peers.isConnected(member);
    }
  }

  /** Handles changes on the VMs. */
  private final class VmListener implements VmTracker.Listener {
    @Override
    public void runEnded(OwnedPartition partition, WorkflowTask task, RunOutcome outcome) {
      if (task.workflow().status().isTerminal()) {
        partition.writer().afterDurable(() -> vms.stopUnwanted(task.workflow()));
      }
      scheduler.runEnded(task, outcome);
    }

    @Override
    public void capacityChanged() {
      scheduler.capacityChanged();
    }

    @Override
    public boolean mayOrder() {
      return WorkflowEntry.this.mayOrder();
    }
  }

  /** Handles connections from side processes and other entries. */
  private final class IncomingLinkListener implements LinkListener {
    @Override
    public void opened(LinkConnection connection) {
      // A side process reports at once; its report shows which form of the owner map it reads.
    }

    @Override
    public void received(LinkConnection connection, Frame frame) {
      switch (frame.getBodyCase()) {
        case VM_REPORT ->
            reports
                .add(connection, frame.getVmReport())
                .map(EarlierForms::join)
                .ifPresent(each -> report(connection, each));
        case WORKFLOW_QUERY -> queries.answerPeer(connection, frame.getWorkflowQuery());
        case WAITING_COUNTS -> peers.updateCounts(connection, frame.getWaitingCounts());
        case PING ->
            connection.send(
                Frame.newBuilder().setPong(Pong.newBuilder().setReadsTextIds(true)).build());
        default ->
            LOG.warning(
                LogLine.of("frame-passed-over")
                    .with("peer", connection)
                    .with("body", frame.getBodyCase()));
      }
    }

    private void report(LinkConnection connection, VmReport report) {
      vms.handleReport(connection, report);
      sendOwnerMapIfNeeded(connection, report);
    }

    @Override
    public void closed(LinkConnection connection, String reason) {
      reports.disconnected(connection);
      ownerMapLimiter.remove(connection);
      peers.disconnected(connection);
      vms.disconnected(connection, reason);
    }
  }

  /**
   * Sends the owner map if the side process uses another one, since it may have missed a change, or
   * if it has received none on this connection: it may have read the owners from the store, without
   * the generation by which it ignores older maps.
   */
  private void sendOwnerMapIfNeeded(LinkConnection connection, VmReport report) {
    boolean stale =
        peers.usesOtherOwners(report) && ownerMapLimiter.maySend(connection, loop.now());
    if (stale || !ownerMapLimiter.hasSent(connection)) {
      sendOwnerMap(connection);
    }
  }

  private void sendOwnerMap(LinkConnection connection) {
    ownerMapLimiter.recordSent(connection, loop.now());
    OwnerMap map = peers.ownerMap(vms.readsMemberLists(connection));
    connection.send(Frame.newBuilder().setOwnerMap(map).build());
  }
}
