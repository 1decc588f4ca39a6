package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import com.google.protobuf.ByteString;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.daemon.workflow.WorkflowStore.Expired;
import io.marigoldsail.daemon.workflow.WorkflowStore.KeyedRecord;
import io.marigoldsail.daemon.workflow.WorkflowStore.NewestPage;
import io.marigoldsail.daemon.workflow.WorkflowStore.NewestResult;
import io.marigoldsail.daemon.workflow.WorkflowStore.NewestUnavailable;
import io.marigoldsail.daemon.workflow.WorkflowStore.ReadFailed;
import io.marigoldsail.daemon.workflow.WorkflowStore.ReadResult;
import io.marigoldsail.daemon.workflow.WorkflowStore.Records;
import io.marigoldsail.daemon.workflow.WorkflowStore.Topic;
import io.marigoldsail.time.ClockPair;
import io.marigoldsail.time.ClockReading;
import io.marigoldsail.workflow.TaskKey;
import io.marigoldsail.workflow.Workflow;
import io.marigoldsail.workflow.WorkflowIds;
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
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

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

  /** How long a read of submissions waits for a record, in milliseconds. */
  private static final long TAIL_WAIT_MILLIS = 1_500;

  /**
   * Maximum age of the last successful read, in nanoseconds, at which this process may report that
   * a workflow does not exist; slightly longer than a read waits.
   */
  private static final long CAUGHT_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(TAIL_WAIT_MILLIS + 700);

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
  private final Map<Long, Workflow> workflows = new HashMap<>();
  private final Map<Long, WorkflowRecordState> unclaimedProgress = new HashMap<>();

  /**
   * Workflows whose progress cannot be restored. They are not added: their progress is not in
   * memory, so they would start over and reuse attempt numbers that were already ordered.
   */
  private final Set<Long> failedRestores = new HashSet<>();

  private boolean active;
  private boolean closed;
  private long tailOffset;
  private Optional<ClockReading> caughtUpAt = Optional.empty();

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

  Optional<Workflow> workflow(long id) {
    return Optional.ofNullable(workflows.get(id));
  }

  /** Returns whether the workflow may exist although it is not known, so that nothing runs it. */
  boolean isUnrestorable(long id) {
    return failedRestores.contains(id);
  }

  Optional<WorkflowTask> task(TaskKey key) {
    return workflow(key.workflow()).flatMap(workflow -> workflow.task(key));
  }

  /** Returns whether all submissions accepted more than {@link #CAUGHT_UP_NANOS} ago are known. */
  boolean isCaughtUp() {
    return active
        && caughtUpAt.filter(at -> at.ageNanos(clocks.read()) < CAUGHT_UP_NANOS).isPresent();
  }

  /** Returns the age of the last read of submissions in milliseconds, as a text for logs. */
  String readAge() {
    return caughtUpAt
        .map(at -> String.valueOf(TimeUnit.NANOSECONDS.toMillis(at.ageNanos(clocks.read()))))
        .orElse("none");
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
    WorkflowStatus[] written = new WorkflowStatus[1];
    writer.write(
        WorkflowIds.format(workflow.spec().id()),
        () -> {
          written[0] = workflow.status();
          return WorkflowCodec.encode(workflow.record());
        },
        () -> workflow.setDurableStatus(written[0]));
  }

  /** Removes an ended workflow from memory and from the store. */
  void evict(Workflow workflow) {
    String key = WorkflowIds.format(workflow.spec().id());
    KeyedRecord drop = new KeyedRecord(key, ByteString.EMPTY);
    // The submission is dropped first: a submission without progress would run again as a new one.
    store
        .append(Topic.SUBMISSIONS, number, List.of(drop), Optional.empty())
        .thenAccept(
            result -> {
              if (result instanceof WorkflowStore.Appended) {
                loop.run(() -> dropProgress(workflow, key));
              }
            });
  }

  private void dropProgress(Workflow workflow, String key) {
    if (!closed && workflows.remove(workflow.spec().id()) != null) {
      writer.write(key, () -> ByteString.EMPTY, () -> {});
    }
  }

  private void readProgress(Optional<String> after) {
    readNewest(
        Topic.PROGRESS,
        after,
        page -> {
          page.records().forEach(this::loadProgress);
          if (page.continueAfter().isPresent()) {
            readProgress(page.continueAfter());
          } else {
            readSubmissions(Optional.empty(), this::activate);
          }
        });
  }

  /** Reads and adds all submissions, then runs the callback. */
  private void readSubmissions(Optional<String> after, Runnable onComplete) {
    readNewest(
        Topic.SUBMISSIONS,
        after,
        page -> {
          if (after.isEmpty()) {
            // Pages are no snapshot: records written while the pages are read are tailed from here.
            tailOffset = page.endOffset();
          }
          page.records().forEach(this::addOrSkip);
          if (page.continueAfter().isPresent()) {
            readSubmissions(page.continueAfter(), onComplete);
          } else {
            onComplete.run();
          }
        });
  }

  private void readNewest(Topic topic, Optional<String> after, Consumer<NewestPage> onPage) {
    if (closed) {
      return;
    }
    store
        .readNewest(topic, number, after)
        .thenAccept(result -> loop.run(() -> handleNewest(topic, after, onPage, result)));
  }

  private void handleNewest(
      Topic topic, Optional<String> after, Consumer<NewestPage> onPage, NewestResult result) {
    if (closed) {
      return;
    }
    if (result instanceof NewestPage page) {
      onPage.accept(page);
      return;
    }
    LOG.warning(
        LogLine.of("partition-read-retried")
            .with("partition", number)
            .with("topic", topic)
            .with("reason", ((NewestUnavailable) result).reason()));
    loop.schedule(() -> readNewest(topic, after, onPage), RETRY_DELAY_NANOS);
  }

  private void loadProgress(KeyedRecord keyed) {
    OptionalLong id = WorkflowIds.parse(keyed.key());
    Optional<WorkflowRecordState> state = WorkflowCodec.decodeProgress(keyed.value());
    if (id.isEmpty() || state.isEmpty()) {
      logUnreadable(Topic.PROGRESS, keyed.key());
      id.ifPresent(failedRestores::add);
      return;
    }
    unclaimedProgress.put(id.getAsLong(), state.get());
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
    Optional<WorkflowSpec> spec = WorkflowCodec.decodeSubmission(keyed.value());
    if (spec.isEmpty() || !WorkflowIds.format(spec.get().id()).equals(keyed.key())) {
      logUnreadable(Topic.SUBMISSIONS, keyed.key());
      return;
    }
    add(spec.get());
  }

  private void logUnreadable(Topic topic, String key) {
    LOG.warning(
        LogLine.of("record-passed-over")
            .with("partition", number)
            .with("topic", topic)
            .with("key", key)
            .with("reason", "record cannot be decoded or its key does not match its id"));
  }

  /** Adds a workflow whose submission is durable; does nothing if it was added before. */
  void add(WorkflowSpec spec) {
    if (closed || workflows.containsKey(spec.id()) || !failedRestores.add(spec.id())) {
      return;
    }
    WorkflowRecordState state = unclaimedProgress.remove(spec.id());
    Workflow workflow = state == null ? Workflow.of(spec) : Workflow.restore(spec, state);
    workflows.put(spec.id(), workflow);
    failedRestores.remove(spec.id());
    if (active) {
      LOG.info(
          LogLine.of("workflow-taken-up")
              .with("workflow", WorkflowIds.format(spec.id()))
              .with("partition", number)
              .with("epoch", epoch())
              .with("accepted_ms", spec.acceptedMillis())
              .with("status", workflow.status()));
      listener.submitted(this, workflow);
    }
  }

  private void activate() {
    unclaimedProgress.clear();
    active = true;
    caughtUpAt = Optional.of(clocks.read());
    LOG.info(
        LogLine.of("partition-owned")
            .with("partition", number)
            .with("epoch", epoch())
            .with("workflows", workflows.size())
            .with("submissions_end", tailOffset));
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
    tail();
  }

  private void tail() {
    if (closed) {
      return;
    }
    ClockReading sent = clocks.read();
    // Callers that ask for unknown workflows wait for this read.
    long waitMillis = isCaughtUp() ? TAIL_WAIT_MILLIS : 0;
    store
        .read(Topic.SUBMISSIONS, number, tailOffset, waitMillis)
        .thenAccept(result -> loop.run(() -> handleTail(sent, result)));
  }

  private void handleTail(ClockReading sent, ReadResult result) {
    if (closed) {
      return;
    }
    if (result instanceof Records records) {
      ClockReading now = clocks.read();
      // After a suspension the response may be as old as the request.
      caughtUpAt = Optional.of(sent.isContinuousUntil(now) ? now : sent);
      tailOffset = records.nextOffset();
      records.records().forEach(this::addOrSkip);
      tail();
    } else if (result instanceof Expired) {
      LOG.info(
          LogLine.of("submissions-expired").with("partition", number).with("from", tailOffset));
      readSubmissions(Optional.empty(), this::tail);
    } else {
      LOG.debug(
          LogLine.of("tail-retried")
              .with("partition", number)
              .with("reason", ((ReadFailed) result).reason()));
      loop.schedule(this::tail, RETRY_DELAY_NANOS);
    }
  }
}
