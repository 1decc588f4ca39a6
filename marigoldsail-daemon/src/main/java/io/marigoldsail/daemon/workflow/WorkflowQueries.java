package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.identity.WorkflowIdCodec;
import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.WorkflowQuery;
import io.marigoldsail.protocol.WorkflowQueryAnswer;
import io.marigoldsail.workflow.QueryResult;
import io.marigoldsail.workflow.TaskKey;
import io.marigoldsail.workflow.Workflow;
import io.marigoldsail.workflow.WorkflowId;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Answers queries about workflows, and cancels them first where the caller asks for it.
 *
 * <p>The owner of a workflow's partition decides; any other entry forwards the query to it.
 * Confined to the loop's thread.
 */
final class WorkflowQueries {
  private static final EventLog LOG = EventLog.of(WorkflowQueries.class);

  /** Time in which the owner reads submissions and makes a cancel durable, in nanoseconds. */
  private static final long TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

  private final LinkLoop loop;
  private final LongSupplier wallMillis;
  private final PartitionOwnership ownership;
  private final EntryPeers peers;
  private final VmTracker vms;

  WorkflowQueries(
      LinkLoop loop,
      LongSupplier wallMillis,
      PartitionOwnership ownership,
      EntryPeers peers,
      VmTracker vms) {
    this.loop = requireNonNull(loop, "loop");
    this.wallMillis = requireNonNull(wallMillis, "wallMillis");
    this.ownership = requireNonNull(ownership, "ownership");
    this.peers = requireNonNull(peers, "peers");
    this.vms = requireNonNull(vms, "vms");
  }

  /**
   * Answers the query of a caller, through the owner if that is another entry.
   *
   * @param onResult runs on the loop, once
   */
  void query(WorkflowId workflow, String queue, boolean cancel, Consumer<QueryResult> onResult) {
    int partition = ownership.partitionOf(workflow);
    if (ownership.active(partition).isPresent()) {
      queryAsOwner(workflow, cancel, onResult);
      return;
    }
    WorkflowQuery.Builder forwarded = WorkflowQuery.newBuilder().setQueue(queue).setCancel(cancel);
    peers.query(partition, workflow, forwarded, onResult);
  }

  /** Answers the query of another entry, which considers this one the owner of the partition. */
  void answerPeer(LinkConnection connection, WorkflowQuery query) {
    queryAsOwner(
        WorkflowIdCodec.decode(query.getWorkflowId(), query.getWorkflow()),
        query.getCancel(),
        result ->
            connection.send(
                Frame.newBuilder()
                    .setWorkflowQueryAnswer(
                        WorkflowQueryAnswer.newBuilder()
                            .setId(query.getId())
                            .setResult(result.number()))
                    .build()));
  }

  /**
   * Answers a query if this entry owns the partition, else {@link QueryResult#UNAVAILABLE}.
   *
   * @param onResult runs on the loop, once
   */
  private void queryAsOwner(WorkflowId workflow, boolean cancel, Consumer<QueryResult> onResult) {
    Optional<OwnedPartition> owned = ownership.active(ownership.partitionOf(workflow));
    if (owned.isEmpty()) {
      onResult.accept(QueryResult.UNAVAILABLE);
      return;
    }
    queryOwned(owned.get(), workflow, cancel, onResult);
  }

  private void queryOwned(
      OwnedPartition owned, WorkflowId id, boolean cancel, Consumer<QueryResult> onResult) {
    long askedAt = loop.now();
    long deadline = askedAt + TIMEOUT_NANOS;
    Optional<Workflow> found = owned.workflow(id);
    if (found.isPresent()) {
      answerKnown(owned, found.get(), cancel, deadline, onResult);
      return;
    }
    if (!ownership.isConnected()) {
      logNotKnown(owned, id, cancel, askedAt, QueryResult.UNAVAILABLE);
      onResult.accept(QueryResult.UNAVAILABLE);
      return;
    }
    // The submission may have been accepted by another entry and not have been read yet.
    owned
        .confirmSubmissions(deadline)
        .thenAccept(
            confirmed -> {
              Optional<Workflow> read = owned.workflow(id).filter(unused -> owned.isActive());
              if (read.isPresent()) {
                answerKnown(owned, read.get(), cancel, deadline, onResult);
                return;
              }
              boolean unknown = confirmed && owned.isActive() && !owned.mayExist(id);
              if (unknown && cancel) {
                cancelUnknown(owned, id, askedAt, deadline, onResult);
                return;
              }
              QueryResult result = unknown ? QueryResult.UNKNOWN_WORKFLOW : QueryResult.UNAVAILABLE;
              logNotKnown(owned, id, cancel, askedAt, result);
              onResult.accept(result);
            });
  }

  private void answerKnown(
      OwnedPartition owned,
      Workflow workflow,
      boolean cancel,
      long deadline,
      Consumer<QueryResult> onResult) {
    if (cancel) {
      cancelOwned(owned, workflow, deadline).thenAccept(onResult);
    } else {
      onResult.accept(QueryResult.of(workflow.durableStatus()));
    }
  }

  private CompletableFuture<QueryResult> cancelOwned(
      OwnedPartition owned, Workflow workflow, long deadline) {
    if (workflow.cancel(wallMillis.getAsLong())) {
      LOG.info(
          LogLine.of("workflow-cancelled")
              .with("workflow", workflow.spec().id())
              .with("partition", owned.number())
              .with("epoch", owned.epoch())
              .with("open_runs", workflow.openTasks().size()));
      owned.persist(workflow);
    }
    CompletableFuture<QueryResult> cancelled = new CompletableFuture<>();
    owned
        .writer()
        .afterDurable(
            () -> {
              vms.stopUnwanted(workflow);
              cancelled.complete(
                  isStatusDurable(owned, workflow.spec().id())
                      ? QueryResult.of(workflow.durableStatus())
                      : QueryResult.UNAVAILABLE);
            });
    // The cancel may never become durable if the partition has another owner or the store is
    // unreachable.
    loop.schedule(() -> cancelled.complete(QueryResult.UNAVAILABLE), deadline - loop.now());
    return cancelled;
  }

  /** The status is recorded with the first task, also of a workflow that is not known. */
  private static boolean isStatusDurable(OwnedPartition owned, WorkflowId id) {
    return owned.isDurable(new TaskKey(id, 0, 0, 0));
  }

  /**
   * Reports that the workflow does not exist once its cancel is durable: the store may still take a
   * submission that it received before, or one that the caller repeats.
   */
  private void cancelUnknown(
      OwnedPartition owned,
      WorkflowId id,
      long askedAt,
      long deadline,
      Consumer<QueryResult> onResult) {
    CompletableFuture<QueryResult> answered = new CompletableFuture<>();
    answered.thenAccept(
        result -> {
          logNotKnown(owned, id, true, askedAt, result);
          onResult.accept(result);
        });
    if (!owned.cancelUnknown(id, wallMillis.getAsLong())) {
      answered.complete(QueryResult.UNAVAILABLE);
      return;
    }
    owned
        .writer()
        .afterDurable(
            () -> {
              Optional<Workflow> submitted = owned.workflow(id);
              if (submitted.isPresent()) {
                cancelOwned(owned, submitted.get(), deadline).thenAccept(answered::complete);
              } else {
                answered.complete(
                    isStatusDurable(owned, id)
                        ? QueryResult.UNKNOWN_WORKFLOW
                        : QueryResult.UNAVAILABLE);
              }
            });
    loop.schedule(() -> answered.complete(QueryResult.UNAVAILABLE), deadline - loop.now());
  }

  private void logNotKnown(
      OwnedPartition owned, WorkflowId id, boolean cancel, long askedAt, QueryResult result) {
    LOG.info(
        LogLine.of("workflow-not-known")
            .with("workflow", id)
            .with("cancel", cancel)
            .with("may_exist", owned.mayExist(id))
            .with("partition", owned.number())
            .with("epoch", owned.epoch())
            .with("waited_ms", TimeUnit.NANOSECONDS.toMillis(loop.now() - askedAt))
            .with("read_age_ms", owned.readAge())
            .with("evidence_age_ms", owned.evidenceAge())
            .with("result", result));
  }
}
