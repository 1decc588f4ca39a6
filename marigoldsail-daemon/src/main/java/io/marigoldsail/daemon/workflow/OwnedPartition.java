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
import io.marigoldsail.workflow.Workflow;
import io.marigoldsail.workflow.WorkflowIds;
import io.marigoldsail.workflow.WorkflowRecordState;
import io.marigoldsail.workflow.WorkflowSpec;
import io.marigoldsail.workflow.WorkflowStatus;
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
 * One partition while this process owns it: shut out former owners, read what lasts, then follow
 * what callers hand in.
 *
 * <p>Nothing is decided before {@link #isActive}: the epoch is set first, so what is read
 * afterwards is the last word of every former owner. Records of another writer that cannot be read
 * are passed over with a log line. Confined to the loop's thread.
 */
final class OwnedPartition {
  private static final EventLog LOG = EventLog.of(OwnedPartition.class);
  private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** How long a reading waits for a record, in milliseconds. */
  private static final long TAIL_WAIT_MILLIS = 1_500;

  /**
   * How old the last answer to a reading may be, in nanoseconds, for this process to say that a
   * workflow does not exist; a little longer than a reading waits.
   */
  private static final long CAUGHT_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(TAIL_WAIT_MILLIS + 700);

  /** Told what happens to the partition; runs on the loop. */
  interface Listener {
    /** Everything that lasts has been read. */
    void activated(OwnedPartition partition);

    /** A caller has handed a workflow in. */
    void submitted(OwnedPartition partition, Workflow workflow);

    /** Another process owns the partition. */
    void lost(OwnedPartition partition);
  }

  private final WorkflowStore store;
  private final LinkLoop loop;
  private final int number;
  private final Listener listener;
  private final PartitionWriter writer;
  private final Map<Long, Workflow> workflows = new HashMap<>();
  private final Map<Long, WorkflowRecordState> unclaimedProgress = new HashMap<>();

  /**
   * Workflows that could not be made out of their records. Read again they would begin anew, since
   * their progress is gone from memory, under attempts that were ordered before.
   */
  private final Set<Long> failedRestores = new HashSet<>();

  private boolean active;
  private boolean closed;
  private long tailOffset;
  private long lastTailAt = Long.MIN_VALUE;

  OwnedPartition(WorkflowStore store, LinkLoop loop, int number, long epoch, Listener listener) {
    this.store = requireNonNull(store, "store");
    this.loop = requireNonNull(loop, "loop");
    this.number = number;
    this.listener = requireNonNull(listener, "listener");
    this.writer = new PartitionWriter(store, loop, number, epoch, this::handleLost);
  }

  /** Begins; the listener is told when the partition is active. */
  void open() {
    writer.open(() -> readProgress(Optional.empty()));
  }

  /** Ends the ownership: nothing more is decided or written. */
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

  /** Returns whether everything that was accepted some time ago is surely known here. */
  boolean isCaughtUp() {
    return active && loop.now() - lastTailAt < CAUGHT_UP_NANOS;
  }

  /** Writes the workflow's state; callers are told its status once it is durable. */
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

  /** Drops a workflow that ended long ago from memory and store. */
  void evict(Workflow workflow) {
    String key = WorkflowIds.format(workflow.spec().id());
    KeyedRecord drop = new KeyedRecord(key, ByteString.EMPTY);
    // The submission first: without the progress it would look like a new workflow and run again.
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

  /** Takes all submissions, then runs the task. */
  private void readSubmissions(Optional<String> after, Runnable taken) {
    readNewest(
        Topic.SUBMISSIONS,
        after,
        page -> {
          if (after.isEmpty()) {
            // Pages are no snapshot: what is written while they are read comes again from here.
            tailOffset = page.endOffset();
          }
          page.records().forEach(this::addOrSkip);
          if (page.continueAfter().isPresent()) {
            readSubmissions(page.continueAfter(), taken);
          } else {
            taken.run();
          }
        });
  }

  private void readNewest(Topic topic, Optional<String> after, Consumer<NewestPage> taken) {
    if (closed) {
      return;
    }
    store
        .readNewest(topic, number, after)
        .thenAccept(result -> loop.run(() -> handleNewest(topic, after, taken, result)));
  }

  private void handleNewest(
      Topic topic, Optional<String> after, Consumer<NewestPage> taken, NewestResult result) {
    if (closed) {
      return;
    }
    if (result instanceof NewestPage page) {
      taken.accept(page);
      return;
    }
    LOG.warning(
        LogLine.of("partition-read-retried")
            .with("partition", number)
            .with("topic", topic)
            .with("reason", ((NewestUnavailable) result).reason()));
    loop.schedule(() -> readNewest(topic, after, taken), RETRY_DELAY_NANOS);
  }

  private void loadProgress(KeyedRecord keyed) {
    OptionalLong id = WorkflowIds.parse(keyed.key());
    Optional<WorkflowRecordState> state = WorkflowCodec.decodeProgress(keyed.value());
    if (id.isEmpty() || state.isEmpty()) {
      logUnreadable(Topic.PROGRESS, keyed.key());
      return;
    }
    unclaimedProgress.put(id.getAsLong(), state.get());
  }

  /**
   * Takes one submission, and goes on also if that throws.
   *
   * <p>Guards against one record that ends the reading: nothing handed in afterwards would ever be
   * ordered, or the partition would never become active, for it and for each owner after it.
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
            .with("reason", "not a record of this program"));
  }

  /** Takes a workflow that was accepted durably; handed in again it stays the first one. */
  void add(WorkflowSpec spec) {
    if (closed || workflows.containsKey(spec.id()) || !failedRestores.add(spec.id())) {
      return;
    }
    WorkflowRecordState state = unclaimedProgress.remove(spec.id());
    Workflow workflow = state == null ? Workflow.of(spec) : Workflow.restore(spec, state);
    workflows.put(spec.id(), workflow);
    failedRestores.remove(spec.id());
    if (active) {
      listener.submitted(this, workflow);
    }
  }

  private void activate() {
    unclaimedProgress.clear();
    active = true;
    lastTailAt = loop.now();
    LOG.info(
        LogLine.of("partition-owned")
            .with("partition", number)
            .with("epoch", epoch())
            .with("workflows", workflows.size())
            .with("submissions_end", tailOffset));
    // Guarded, since the partition counts as active already: without the reading nothing that is
    // handed in from now on would ever be ordered.
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
    store
        .read(Topic.SUBMISSIONS, number, tailOffset, TAIL_WAIT_MILLIS)
        .thenAccept(result -> loop.run(() -> handleTail(result)));
  }

  private void handleTail(ReadResult result) {
    if (closed) {
      return;
    }
    if (result instanceof Records records) {
      lastTailAt = loop.now();
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
