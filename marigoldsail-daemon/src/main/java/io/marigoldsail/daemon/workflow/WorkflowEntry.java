package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.link.LinkListener;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.link.LinkServer;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.daemon.workflow.WorkflowStore.AppendResult;
import io.marigoldsail.daemon.workflow.WorkflowStore.Appended;
import io.marigoldsail.daemon.workflow.WorkflowStore.KeyedRecord;
import io.marigoldsail.daemon.workflow.WorkflowStore.NotAppended;
import io.marigoldsail.daemon.workflow.WorkflowStore.Owners;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.Pong;
import io.marigoldsail.protocol.WorkflowQuery;
import io.marigoldsail.protocol.WorkflowQueryAnswer;
import io.marigoldsail.workflow.QueryResult;
import io.marigoldsail.workflow.QueueTable;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.VmChooser;
import io.marigoldsail.workflow.Workflow;
import io.marigoldsail.workflow.WorkflowIds;
import io.marigoldsail.workflow.WorkflowSpec;
import io.marigoldsail.workflow.WorkflowTask;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * An entry's part in workflows: accepts them, answers for them, and decides for those whose
 * partitions it owns.
 *
 * <p>The public methods may be called from any thread; everything else runs on the loop.
 */
public final class WorkflowEntry {
  private static final EventLog LOG = EventLog.of(WorkflowEntry.class);

  private static final long EVIDENCE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(800);
  private static final long SWEEP_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final long COUNTS_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(700);
  private static final long EVICTION_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);
  private static final long MONITOR_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** How long a cancel may take to become durable before its caller is told to ask again. */
  private static final long CANCEL_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

  private static final int MAX_LINKS = 2_000;

  private final LinkLoop loop;
  private final EntryParameters parameters;
  private final EntryMember self;
  private final LongSupplier wallMillis;
  private final PartitionOwnership ownership;
  private final EntryPeers peers;
  private final VmTracker vms;
  private final EntryScheduler scheduler;
  private final LongRunningTaskMonitor taskMonitor;
  private final SubmissionWriter submissions;
  private final LinkServer server;
  private final OwnerMapRateLimiter<LinkConnection> ownerMapLimiter = new OwnerMapRateLimiter<>();
  private volatile Optional<QueueTable> configuration = Optional.empty();
  private volatile boolean leaving;

  /**
   * Creates an entry that does nothing yet.
   *
   * @param loop the process's loop
   * @param store where workflows last
   * @param address where side processes and other entries reach this one
   * @param wallMillis the time of day in milliseconds
   * @param adviser asked where a queue's policy says which VMs may run a step
   * @param terms what the deployment allows
   */
  public WorkflowEntry(
      LinkLoop loop,
      WorkflowStore store,
      InetSocketAddress address,
      LongSupplier wallMillis,
      PlacementAdviser adviser,
      EntryParameters terms) {
    this.loop = requireNonNull(loop, "loop");
    this.parameters = requireNonNull(terms, "terms");
    this.wallMillis = requireNonNull(wallMillis, "wallMillis");
    this.self = new EntryMember(address.getHostString(), address.getPort(), wallMillis.getAsLong());
    this.ownership = new PartitionOwnership(store, loop, self, new OwnershipListener());
    this.peers = new EntryPeers(loop, self);
    this.vms = new VmTracker(loop, ownership, terms.lease(), wallMillis, new VmListener());
    this.scheduler =
        new EntryScheduler(
            loop,
            wallMillis,
            ownership,
            vms,
            VmChooser.of(terms.farRackFactor()),
            adviser,
            () -> this.configuration);
    this.taskMonitor = new LongRunningTaskMonitor(loop, wallMillis, ownership, vms, scheduler);
    this.submissions = new SubmissionWriter(store, loop);
    this.server = new LinkServer(loop, address, MAX_LINKS, new IncomingLinkListener());
  }

  /**
   * Begins to listen and to join the owners.
   *
   * @throws IOException if the address cannot be had
   */
  public void start() throws IOException {
    server.start();
    loop.run(ownership::start);
    loop.repeat(this::renewEvidence, EVIDENCE_INTERVAL_NANOS);
    loop.repeat(this::sweep, SWEEP_INTERVAL_NANOS);
    loop.repeat(() -> peers.tick(waitingLocally()), COUNTS_INTERVAL_NANOS);
    loop.repeat(taskMonitor::check, MONITOR_INTERVAL_NANOS);
    loop.repeat(this::evictEnded, EVICTION_INTERVAL_NANOS);
  }

  /** Puts a configuration in force; older versions than the one in force are passed over. */
  public void configure(QueueTable queues) {
    Optional<QueueTable> before = configuration;
    if (before.isPresent() && before.get().version() >= queues.version()) {
      return;
    }
    configuration = Optional.of(queues);
    LOG.info(
        LogLine.of("configuration-in-force")
            .with("version", queues.version())
            .with("queues", queues.queues().size()));
    loop.run(scheduler::schedulePass);
  }

  /** Returns the configuration in force, or empty while none is known. */
  public Optional<QueueTable> configuration() {
    return configuration;
  }

  /** Returns whether this entry should be given callers. */
  public boolean isReady() {
    return !leaving && ownership.isConnected() && configuration.isPresent();
  }

  /**
   * Writes a workflow durably.
   *
   * @return completes on the loop with how the append ended
   */
  public CompletableFuture<AppendResult> submit(WorkflowSpec spec) {
    CompletableFuture<AppendResult> told = new CompletableFuture<>();
    loop.run(
        () -> {
          if (!ownership.isConnected()) {
            // Spares the caller the wait for an append that is known to fail.
            completeSubmission(
                spec, new NotAppended("the store did not answer the last call"), told);
            return;
          }
          int partition = ownership.partitionOf(spec.id());
          String key = WorkflowIds.format(spec.id());
          KeyedRecord submission = new KeyedRecord(key, WorkflowCodec.encode(spec));
          submissions.write(
              partition, submission, result -> completeSubmission(spec, result, told));
        });
    return told;
  }

  private void completeSubmission(
      WorkflowSpec spec, AppendResult result, CompletableFuture<AppendResult> told) {
    LOG.info(
        LogLine.of("workflow-submitted")
            .with("workflow", WorkflowIds.format(spec.id()))
            .with("partition", ownership.partitionOf(spec.id()))
            .with("queue", spec.queue())
            .with("steps", spec.steps().size())
            .with("configuration", configuration.map(QueueTable::version).orElse(0L))
            .with("result", result.getClass().getSimpleName()));
    if (result instanceof Appended) {
      // Spares the owner, if it is this entry, the wait for its own reading.
      ownership.active(ownership.partitionOf(spec.id())).ifPresent(own -> own.add(spec));
    }
    told.complete(result);
  }

  /**
   * Asks for the status of a workflow, or cancels it.
   *
   * @return completes on the loop
   */
  public CompletableFuture<QueryResult> query(long workflow, String queue, boolean cancel) {
    CompletableFuture<QueryResult> told = new CompletableFuture<>();
    loop.run(() -> handleQuery(workflow, queue, cancel, true, told::complete));
    return told;
  }

  private void handleQuery(
      long workflow, String queue, boolean cancel, boolean mayAsk, Consumer<QueryResult> told) {
    int partition = ownership.partitionOf(workflow);
    Optional<OwnedPartition> own = ownership.active(partition);
    if (own.isPresent()) {
      queryOwned(own.get(), workflow, cancel, told);
    } else if (mayAsk) {
      WorkflowQuery question =
          WorkflowQuery.newBuilder()
              .setWorkflow(workflow)
              .setQueue(queue)
              .setCancel(cancel)
              .build();
      peers.query(partition, question, told);
    } else {
      told.accept(QueryResult.UNAVAILABLE);
    }
  }

  private void queryOwned(OwnedPartition own, long id, boolean cancel, Consumer<QueryResult> told) {
    Optional<Workflow> found = own.workflow(id);
    if (found.isEmpty()) {
      told.accept(own.isCaughtUp() ? QueryResult.UNKNOWN_WORKFLOW : QueryResult.UNAVAILABLE);
      return;
    }
    Workflow workflow = found.get();
    if (!cancel) {
      told.accept(QueryResult.of(workflow.durableStatus()));
      return;
    }
    cancelOwned(own, workflow).thenAccept(told);
  }

  private CompletableFuture<QueryResult> cancelOwned(OwnedPartition own, Workflow workflow) {
    if (workflow.cancel(wallMillis.getAsLong())) {
      LOG.info(
          LogLine.of("workflow-cancelled")
              .with("workflow", WorkflowIds.format(workflow.spec().id()))
              .with("open_runs", workflow.openTasks().size()));
      own.persist(workflow);
    }
    CompletableFuture<QueryResult> told = new CompletableFuture<>();
    own.writer()
        .afterDurable(
            () -> {
              vms.stopUnwanted(workflow);
              told.complete(QueryResult.of(workflow.durableStatus()));
            });
    // The partition may have another owner, or the store may be out of reach.
    loop.schedule(() -> told.complete(QueryResult.UNAVAILABLE), CANCEL_TIMEOUT_NANOS);
    return told;
  }

  /** Returns how many accepted workflows of the queue have no task begun; completes on the loop. */
  public CompletableFuture<Integer> waitingWorkflows(String queue) {
    CompletableFuture<Integer> told = new CompletableFuture<>();
    loop.run(
        () -> told.complete(waitingLocally().getOrDefault(queue, 0) + peers.waitingAtPeers(queue)));
    return told;
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

  private void renewEvidence() {
    for (OwnedPartition partition : ownership.active()) {
      boolean old = loop.now() - partition.writer().evidenceAt() > EVIDENCE_INTERVAL_NANOS;
      if (old && partition.workflows().stream().anyMatch(Workflow::hasOpenTasks)) {
        partition.writer().renewEvidence();
      }
    }
  }

  private void sweep() {
    vms.closeExpiredRuns();
    scheduler.evacuateRuns();
    scheduler.schedulePass();
  }

  private void evictEnded() {
    long before = wallMillis.getAsLong() - parameters.endedRetentionMillis();
    for (OwnedPartition partition : ownership.active()) {
      for (Workflow workflow : ImmutableList.copyOf(partition.workflows())) {
        boolean over = workflow.durableStatus().isTerminal() && workflow.endedMillis() < before;
        if (over && !workflow.hasOpenTasks()) {
          partition.evict(workflow);
        }
      }
    }
  }

  /** Gives all partitions back and stops deciding; callers are still answered by other owners. */
  public CompletableFuture<Boolean> leave() {
    leaving = true;
    CompletableFuture<Boolean> left = new CompletableFuture<>();
    loop.run(() -> ownership.leave().thenAccept(left::complete));
    return left;
  }

  /** Ends all links. */
  public void close() {
    server.close();
  }

  /** What changes in the partitions. */
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
  }

  /** What changes on the VMs. */
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
  }

  /** Connections from side processes and other entries. */
  private final class IncomingLinkListener implements LinkListener {
    @Override
    public void opened(LinkConnection connection) {
      sendOwnerMap(connection);
    }

    @Override
    public void received(LinkConnection connection, Frame frame) {
      switch (frame.getBodyCase()) {
        case VM_REPORT -> {
          vms.handleReport(connection, frame.getVmReport());
          sendOwnerMap(connection, frame.getVmReport().getOwnersDigest());
        }
        case WORKFLOW_QUERY -> handlePeerQuery(connection, frame.getWorkflowQuery());
        case WAITING_COUNTS -> peers.updateCounts(frame.getWaitingCounts());
        case PING -> connection.send(Frame.newBuilder().setPong(Pong.getDefaultInstance()).build());
        default ->
            LOG.warning(
                LogLine.of("frame-passed-over")
                    .with("peer", connection)
                    .with("body", frame.getBodyCase()));
      }
    }

    @Override
    public void closed(LinkConnection connection, String reason) {
      ownerMapLimiter.remove(connection);
      vms.disconnected(connection, reason);
    }
  }

  /** Guards against a side process that missed a change and goes on with a map of its own. */
  private void sendOwnerMap(LinkConnection connection, int digestThere) {
    if (digestThere != peers.ownerMap().getDigest()
        && ownerMapLimiter.maySend(connection, loop.now())) {
      sendOwnerMap(connection);
    }
  }

  private void sendOwnerMap(LinkConnection connection) {
    ownerMapLimiter.recordSent(connection, loop.now());
    connection.send(Frame.newBuilder().setOwnerMap(peers.ownerMap()).build());
  }

  private void handlePeerQuery(LinkConnection connection, WorkflowQuery question) {
    handleQuery(
        question.getWorkflow(),
        question.getQueue(),
        question.getCancel(),
        false,
        result ->
            connection.send(
                Frame.newBuilder()
                    .setWorkflowQueryAnswer(
                        WorkflowQueryAnswer.newBuilder()
                            .setId(question.getId())
                            .setResult(result.number()))
                    .build()));
  }
}
