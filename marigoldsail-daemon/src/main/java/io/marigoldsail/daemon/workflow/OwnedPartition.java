package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.marigoldsail.daemon.identity.InexactIds;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.daemon.progress.ProgressKey;
import io.marigoldsail.daemon.progress.ProgressWriter;
import io.marigoldsail.daemon.progress.UnclaimedProgress;
import io.marigoldsail.daemon.workflow.WorkflowCodec.StoredSubmission;
import io.marigoldsail.daemon.workflow.WorkflowStore.AppendResult;
import io.marigoldsail.daemon.workflow.WorkflowStore.Appended;
import io.marigoldsail.daemon.workflow.WorkflowStore.KeyedRecord;
import io.marigoldsail.daemon.workflow.WorkflowStore.Topic;
import io.marigoldsail.time.ClockPair;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.TaskKey;
import io.marigoldsail.workflow.Workflow;
import io.marigoldsail.workflow.WorkflowId;
import io.marigoldsail.workflow.WorkflowRecordState;
import io.marigoldsail.workflow.WorkflowSpec;
import io.marigoldsail.workflow.WorkflowStatus;
import io.marigoldsail.workflow.WorkflowTask;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * A partition that this process owns: fences former owners, loads the durable state, then tails the
 * submissions of callers.
 *
 * <p>Nothing is decided before {@link #isActive}. The epoch is set before anything is read, so no
 * former owner can write after the read. Records that cannot be decoded are skipped and logged.
 * Confined to the loop's thread.
 */
final class OwnedPartition {
  private static final EventLog LOG = EventLog.of(OwnedPartition.class);
  private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** Notified of changes of the partition; runs on the loop. */
  interface Listener {
    /** Called when the durable state has been loaded. */
    void activated(OwnedPartition partition);

    /** Called when a workflow was submitted to the active partition. */
    void submitted(OwnedPartition partition, Workflow workflow);

    /** Called when another process owns the partition. */
    void lost(OwnedPartition partition);
  }

  private final WorkflowStore store;
  private final LinkLoop loop;
  private final ClockPair clocks;
  private final int number;
  private final Listener listener;
  private final PartitionWriter writer;
  private final ProgressWriter progress;
  private final SubmissionTail tail;
  private final NewestRecordsReader reader;
  private final CancelTombstones tombstones = new CancelTombstones();
  private final Map<WorkflowId, Workflow> workflows = new HashMap<>();
  private final UnclaimedProgress unclaimedProgress =
      new UnclaimedProgress(WorkflowCodec::decodeProgress);

  /**
   * Workflows whose progress cannot be restored. They are not added: their progress is not in
   * memory, so they would start over and reuse attempt numbers that were already ordered.
   */
  private final Set<WorkflowId> failedRestores = new HashSet<>();

  /**
   * Workflows whose submission cannot be read. Their progress is kept: another version may read the
   * submission, and would run the workflow as a new one.
   */
  private final Set<WorkflowId> unreadableSubmissions = new HashSet<>();

  /** Workflows whose submission was written again, once by each owner. */
  private final Set<WorkflowId> restoredSubmissions = new HashSet<>();

  private final InexactIds inexactIds = new InexactIds();
  private int reconciled;
  private boolean active;
  private boolean closed;

  OwnedPartition(
      WorkflowStore store,
      LinkLoop loop,
      ClockPair clocks,
      int number,
      long epoch,
      Listener listener) {
    this.store = requireNonNull(store, "store");
    this.loop = requireNonNull(loop, "loop");
    this.clocks = requireNonNull(clocks, "clocks");
    this.number = number;
    this.listener = requireNonNull(listener, "listener");
    this.writer = new PartitionWriter(store, loop, clocks, number, epoch, this::handleLost);
    this.progress = new ProgressWriter(writer::write, store.limits(), WorkflowCodec::encode);
    this.reader = new NewestRecordsReader(store, loop, number);
    this.tail =
        new SubmissionTail(store, loop, clocks, number, this::addOrSkip, this::readSubmissions);
  }

  /** Starts loading; the listener is notified once the partition is active. */
  void open() {
    writer.open(() -> readProgress(Optional.empty()));
  }

  /** Ends the ownership: nothing is decided or written any more. */
  void close() {
    closed = true;
    active = false;
    writer.close();
    tail.close();
    reader.close();
  }

  private void handleLost() {
    close();
    listener.lost(this);
  }

  int number() {
    return number;
  }

  long epoch() {
    return writer.epoch();
  }

  boolean isActive() {
    return active;
  }

  PartitionWriter writer() {
    return writer;
  }

  Collection<Workflow> workflows() {
    return Collections.unmodifiableCollection(workflows.values());
  }

  Optional<Workflow> workflow(WorkflowId id) {
    return Optional.ofNullable(workflows.get(id));
  }

  /** Returns whether the workflow may exist although it is not known, so that nothing runs it. */
  boolean mayExist(WorkflowId id) {
    return failedRestores.contains(id) || inexactIds.mayStandFor(id);
  }

  Optional<WorkflowTask> task(TaskKey key) {
    return workflow(key.workflow()).flatMap(workflow -> workflow.task(key));
  }

  /** Returns whether the run's gang has completed: its other members need no stop to end. */
  boolean hasGangCompleted(RunKey run) {
    return task(run.task())
        .filter(task -> task.step().traits().gang() && task.isDone())
        .filter(task -> task.lastAttempt() == run.attempt())
        .isPresent();
  }

  /** Returns whether the submissions accepted until shortly before are known. */
  boolean isCaughtUp() {
    return active && tail.isCaughtUp();
  }

  /**
   * Reads the submissions that are durable now.
   *
   * @param deadline when the caller gives up, in the loop's nanoseconds
   * @return completes on the loop: with true once all of them have been added, with false if they
   *     could not be read by the deadline
   */
  CompletableFuture<Boolean> confirmSubmissions(long deadline) {
    return tail.confirm(deadline);
  }

  /** Returns the age of the last read of submissions in milliseconds, as a text for logs. */
  String readAge() {
    return tail.readAge();
  }

  /** Returns the age of the ownership evidence in milliseconds, as a text for logs. */
  String evidenceAge() {
    OptionalLong nanos = writer.evidenceAgeNanos(clocks.read());
    return nanos.isEmpty()
        ? "none"
        : String.valueOf(TimeUnit.NANOSECONDS.toMillis(nanos.getAsLong()));
  }

  /** Writes the workflow's state; callers see the new status once it is durable. */
  void persist(Workflow workflow) {
    progress.write(workflow.spec().id().toString(), workflow);
  }

  /** Returns whether the store takes the state of the task, so that what was written is durable. */
  boolean isDurable(TaskKey task) {
    int part = workflow(task.workflow()).map(found -> found.partOf(task)).orElse(0);
    return !writer.isRejected(new ProgressKey(task.workflow().toString(), part).toString());
  }

  /** Removes an ended workflow from memory and from the store. */
  void evict(Workflow workflow) {
    String key = workflow.spec().id().toString();
    KeyedRecord drop = new KeyedRecord(key, ByteString.EMPTY);
    // The submission is dropped first: a submission without progress would run again as a new one.
    store
        .append(Topic.SUBMISSIONS, number, List.of(drop), Optional.empty())
        .thenAccept(
            result -> {
              if (result instanceof Appended) {
                loop.run(() -> dropProgress(workflow, key));
              }
            });
  }

  private void dropProgress(Workflow workflow, String key) {
    if (!closed && workflows.remove(workflow.spec().id()) != null) {
      restoredSubmissions.remove(workflow.spec().id());
      inexactIds.remove(workflow.spec().id());
      progress.drop(key, workflow);
    }
  }

  private void readProgress(Optional<String> after) {
    reader.read(
        Topic.PROGRESS,
        after,
        page -> {
          page.records().forEach(this::loadProgress);
          if (page.continueAfter().isPresent()) {
            readProgress(page.continueAfter());
          } else {
            readSubmissions(this::activate);
          }
        });
  }

  /** Reads and adds all submissions, then runs the callback. */
  private void readSubmissions(Runnable onComplete) {
    readSubmissions(Optional.empty(), 0, onComplete);
  }

  private void readSubmissions(Optional<String> after, long firstPageEnd, Runnable onComplete) {
    reader.read(
        Topic.SUBMISSIONS,
        after,
        page -> {
          // Pages are no snapshot: records written while the pages are read are tailed from here.
          long end = after.isEmpty() ? page.endOffset() : firstPageEnd;
          page.records().forEach(this::addOrSkip);
          if (page.continueAfter().isPresent()) {
            readSubmissions(page.continueAfter(), end, onComplete);
          } else {
            tail.skipTo(end);
            onComplete.run();
          }
        });
  }

  private void loadProgress(KeyedRecord keyed) {
    Optional<ProgressKey> key = ProgressKey.parse(keyed.key());
    Optional<WorkflowId> id =
        key.flatMap(each -> WorkflowId.parse(each.workflow())).filter(this::isHere);
    if (id.isEmpty()) {
      logUnreadable(Topic.PROGRESS, keyed.key());
    } else if (!unclaimedProgress.add(id.get(), key.get().part(), keyed.value())) {
      logUnreadable(Topic.PROGRESS, keyed.key());
      failedRestores.add(id.get());
    }
  }

  /**
   * Adds one submission; logs an exception and continues.
   *
   * <p>An exception that propagated would end the reading: no later submission would ever be
   * ordered, or the partition would never become active, under this owner and all later ones.
   */
  private void addOrSkip(KeyedRecord keyed) {
    LinkLoop.runGuarded(
        () -> addSubmission(keyed),
        e ->
            LOG.error(
                LogLine.of("submission-not-taken")
                    .with("partition", number)
                    .with("key", keyed.key())
                    .withError(e)));
  }

  private void addSubmission(KeyedRecord keyed) {
    if (keyed.value().isEmpty()) {
      return;
    }
    Optional<StoredSubmission> stored =
        WorkflowCodec.decodeSubmission(keyed.value()).filter(each -> isStoredHere(each, keyed));
    if (stored.isEmpty()) {
      logUnreadable(Topic.SUBMISSIONS, keyed.key());
      if (!active) {
        WorkflowId.parse(keyed.key()).ifPresent(unreadableSubmissions::add);
      }
      return;
    }
    WorkflowSpec spec = stored.get().spec();
    Workflow known = workflows.get(spec.id());
    if (stored.get().hasExactId()) {
      inexactIds.remove(spec.id());
    } else if (known == null) {
      inexactIds.add(spec.id());
    }
    if (known == null) {
      add(spec);
    } else if (!known.spec().isSameRequest(spec)) {
      restoreSubmission(known.spec());
    }
  }

  /**
   * Writes the submission of a workflow again after another one was submitted under its id. The
   * store keeps the newest only: the next owner would run it with the progress of the first.
   */
  private void restoreSubmission(WorkflowSpec first) {
    boolean restores = active && restoredSubmissions.add(first.id());
    LOG.warning(
        LogLine.of("submission-differs")
            .with("workflow", first.id())
            .with("partition", number)
            .with("epoch", epoch())
            .with("restored", restores));
    if (restores) {
      KeyedRecord submission = new KeyedRecord(first.id().toString(), WorkflowCodec.encode(first));
      store
          .append(Topic.SUBMISSIONS, number, List.of(submission), Optional.empty())
          .thenAccept(result -> loop.run(() -> retryUnlessRestored(first, result)));
    }
  }

  private void retryUnlessRestored(WorkflowSpec first, AppendResult result) {
    if (closed || result instanceof Appended) {
      return;
    }
    restoredSubmissions.remove(first.id());
    loop.schedule(
        () -> workflow(first.id()).ifPresent(unused -> restoreSubmission(first)),
        RETRY_DELAY_NANOS);
  }

  private boolean isStoredHere(StoredSubmission stored, KeyedRecord keyed) {
    WorkflowId id = stored.spec().id();
    return id.toString().equals(keyed.key()) && isHere(id);
  }

  /** Returns whether entries write records of the workflow into this partition. */
  private boolean isHere(WorkflowId id) {
    return id.partition(store.partitions()) == number;
  }

  private void logUnreadable(Topic topic, String key) {
    LOG.warning(
        LogLine.of("record-passed-over")
            .with("partition", number)
            .with("topic", topic)
            .with("key", key)
            .with("reason", "record cannot be decoded or its key does not match its id"));
  }

  /**
   * Adds a workflow whose submission is durable; does nothing if it was added before. A workflow
   * that was cancelled before its submission was read is added as cancelled.
   */
  void add(WorkflowSpec spec) {
    if (closed || workflows.containsKey(spec.id()) || !failedRestores.add(spec.id())) {
      return;
    }
    Optional<WorkflowRecordState> state = progressOf(spec);
    Workflow workflow =
        state.map(each -> Workflow.restore(spec, each)).orElseGet(() -> Workflow.of(spec));
    OptionalLong cancelledMillis = tombstones.remove(spec.id());
    // Its state is retained from its submission on, which may follow long after the cancel.
    boolean cancelled =
        cancelledMillis.isPresent()
            && workflow.cancel(Math.max(cancelledMillis.getAsLong(), spec.acceptedMillis()));
    boolean completed = !cancelled && workflow.reconcile(clocks.read().wallMillis());
    reconciled += completed ? 1 : 0;
    workflows.put(spec.id(), workflow);
    failedRestores.remove(spec.id());
    if (cancelled || completed) {
      persist(workflow);
    }
    if (active) {
      LOG.info(
          LogLine.of("workflow-taken-up")
              .with("workflow", spec.id())
              .with("partition", number)
              .with("epoch", epoch())
              .with("accepted_ms", spec.acceptedMillis())
              .with("status", workflow.status()));
      listener.submitted(this, workflow);
    }
  }

  /** Returns the progress that a former owner has written, unless it is a tombstone. */
  private Optional<WorkflowRecordState> progressOf(WorkflowSpec spec) {
    Optional<WorkflowRecordState> state = unclaimedProgress.remove(spec.id());
    if (state.filter(each -> each.isCancelOfUnknown(spec.acceptedMillis())).isPresent()) {
      tombstones.restore(spec.id(), state.get().endedMillis());
      return Optional.empty();
    }
    return state;
  }

  /**
   * Writes the cancel of a workflow of which no submission is known, so that one that the store
   * takes later is read as cancelled by this owner and its successors.
   *
   * @param wallMillis wall clock in milliseconds
   * @return false if there are too many such cancels; nothing is written then
   */
  boolean cancelUnknown(WorkflowId id, long wallMillis) {
    if (tombstones.isRecent(id, wallMillis)) {
      return true;
    }
    if (!tombstones.add(id, wallMillis)) {
      return false;
    }
    ByteString record =
        WorkflowCodec.encode(
            new WorkflowRecordState(WorkflowStatus.CANCELLED, ImmutableList.of(), wallMillis, ""));
    writer.write(id.toString(), () -> record, () -> {});
    return true;
  }

  /** Drops the cancels of unknown workflows that are older than the time, in milliseconds. */
  void dropTombstones(long cancelledBefore) {
    for (WorkflowId id : tombstones.removeOlderThan(cancelledBefore)) {
      writer.write(id.toString(), () -> ByteString.EMPTY, () -> {});
    }
  }

  private void activate() {
    unclaimedProgress.drain(this::restoreTombstone);
    unreadableSubmissions.clear();
    active = true;
    LOG.info(
        LogLine.of("partition-owned")
            .with("partition", number)
            .with("epoch", epoch())
            .with("workflows", workflows.size())
            .with("reconciled", reconciled)
            .with("tombstones", tombstones.size())
            .with("submissions_end", tail.nextOffset()));
    // An exception must not prevent tailing: the partition is already active, and without tailing
    // no later submission would ever be ordered.
    LinkLoop.runGuarded(
        () -> listener.activated(this),
        e ->
            LOG.error(
                LogLine.of("activation-failed")
                    .with("partition", number)
                    .with("epoch", epoch())
                    .withError(e)));
    if (!closed) {
      tail.start();
    }
  }

  private void restoreTombstone(WorkflowId id, WorkflowRecordState state) {
    if (state.status() == WorkflowStatus.CANCELLED && !unreadableSubmissions.contains(id)) {
      tombstones.restore(id, state.endedMillis());
    }
  }
}
