package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import com.google.protobuf.ByteString;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.daemon.workflow.WorkflowStore.AppendResult;
import io.marigoldsail.daemon.workflow.WorkflowStore.AppendUnknown;
import io.marigoldsail.daemon.workflow.WorkflowStore.Appended;
import io.marigoldsail.daemon.workflow.WorkflowStore.Fenced;
import io.marigoldsail.daemon.workflow.WorkflowStore.KeyedRecord;
import io.marigoldsail.daemon.workflow.WorkflowStore.NotAppended;
import io.marigoldsail.daemon.workflow.WorkflowStore.OutOfSequence;
import io.marigoldsail.daemon.workflow.WorkflowStore.Topic;
import io.marigoldsail.daemon.workflow.WorkflowStore.Writer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Writes the progress of one partition under one epoch: what changes while one append is on its way
 * goes with the next.
 *
 * <p>An append whose answer was lost is sent again as it was, so that the store can tell the
 * repeat; nothing else is sent before its fate is known. Effects run only after the append that
 * carries their cause. The time at which a successful append was first sent is the evidence that
 * this process owned the partition then.
 *
 * <p>Confined to the loop's thread.
 */
final class PartitionWriter {
  private static final EventLog LOG = EventLog.of(PartitionWriter.class);

  /** Between tries, in nanoseconds; a store that was asked in vain is not pressed. */
  private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(120);

  /** The most bytes of one append; well under the 2 MB that a store takes at least. */
  private static final int MAX_BATCH_BYTES = 512 * 1024;

  private record PendingValue(Supplier<ByteString> value, Runnable onDurable) {}

  private final WorkflowStore store;
  private final LinkLoop loop;
  private final int partition;
  private final long epoch;
  private final Runnable onLost;
  private final Map<String, PendingValue> pendingValues = new LinkedHashMap<>();
  private List<Runnable> effects = new ArrayList<>();
  private long sequence;
  private boolean inFlight;
  private boolean closed;
  private boolean renewalDue;
  private long evidenceAt = Long.MIN_VALUE;
  private long openedAt;

  PartitionWriter(WorkflowStore store, LinkLoop loop, int partition, long epoch, Runnable lost) {
    this.store = requireNonNull(store, "store");
    this.loop = requireNonNull(loop, "loop");
    this.partition = partition;
    this.epoch = epoch;
    this.onLost = requireNonNull(lost, "lost");
  }

  long epoch() {
    return epoch;
  }

  /** Shuts out writers of lower epochs, then runs the task. */
  void open(Runnable opened) {
    effects.add(
        () -> {
          openedAt = loop.now();
          opened.run();
        });
    renewalDue = true;
    flush();
  }

  /** Returns when lower epochs were known to be shut out, in the loop's nanoseconds. */
  long openedAt() {
    return openedAt;
  }

  /** Returns the last time at which this writer was surely the partition's, in nanoseconds. */
  long evidenceAt() {
    return evidenceAt;
  }

  boolean hasEvidence() {
    return evidenceAt != Long.MIN_VALUE;
  }

  /**
   * Writes the newest value of the key with the next append.
   *
   * @param value asked for when the append is made
   * @param durable run once it is durable, before effects
   */
  void write(String key, Supplier<ByteString> value, Runnable durable) {
    pendingValues.put(key, new PendingValue(value, durable));
    scheduleFlush();
  }

  /** Runs the effect once everything written so far is durable; never on a closed writer. */
  void afterDurable(Runnable effect) {
    if (closed) {
      return;
    }
    if (pendingValues.isEmpty() && !inFlight && !renewalDue) {
      effect.run();
      return;
    }
    effects.add(effect);
    scheduleFlush();
  }

  /**
   * Runs the effect once an append that is sent from now on has succeeded, which shows that no
   * other owner had shut this writer out before.
   */
  void afterRenewal(Runnable effect) {
    renewalDue = true;
    effects.add(effect);
    scheduleFlush();
  }

  /** Appends nothing, for evidence, unless an append is on its way. */
  void renewEvidence() {
    if (!inFlight) {
      renewalDue = true;
      flush();
    }
  }

  /** Stops writing; what was not written is dropped. */
  void close() {
    closed = true;
    pendingValues.clear();
    effects.clear();
  }

  /** Returns whether everything written is durable. */
  boolean isIdle() {
    return closed || (!inFlight && pendingValues.isEmpty());
  }

  private void scheduleFlush() {
    // After what runs now, so that all changes of one report travel in one append.
    loop.runLater(this::flush);
  }

  private void flush() {
    if (closed || inFlight || (pendingValues.isEmpty() && !renewalDue && effects.isEmpty())) {
      return;
    }
    List<KeyedRecord> records = new ArrayList<>();
    List<Runnable> afterwards = new ArrayList<>();
    int bytes = 0;
    var entries = pendingValues.entrySet().iterator();
    while (entries.hasNext() && bytes < MAX_BATCH_BYTES) {
      Map.Entry<String, PendingValue> entry = entries.next();
      ByteString value = entry.getValue().value().get();
      records.add(new KeyedRecord(entry.getKey(), value));
      afterwards.add(entry.getValue().onDurable());
      bytes += value.size();
      entries.remove();
    }
    if (pendingValues.isEmpty()) {
      afterwards.addAll(effects);
      effects = new ArrayList<>();
    }
    renewalDue = false;
    inFlight = true;
    // An append of no records sets the epoch and counts none in the sequence.
    long number = records.isEmpty() ? sequence : sequence++;
    send(new Batch(records, new Writer(epoch, number), afterwards, loop.now()));
  }

  private record Batch(
      List<KeyedRecord> records, Writer writer, List<Runnable> effects, long firstSent) {}

  private void send(Batch batch) {
    if (closed) {
      return;
    }
    store
        .append(Topic.PROGRESS, partition, batch.records(), Optional.of(batch.writer()))
        .thenAccept(result -> loop.run(() -> handleResult(batch, result)));
  }

  private void handleResult(Batch batch, AppendResult result) {
    if (closed) {
      return;
    }
    if (result instanceof Appended) {
      inFlight = false;
      evidenceAt = batch.firstSent();
      batch.effects().forEach(this::runEffect);
      flush();
    } else if (result instanceof Fenced) {
      relinquish("another owner has a higher epoch");
    } else if (result instanceof OutOfSequence wrong) {
      relinquish(wrong.detail());
    } else if (result instanceof NotAppended refused) {
      retry(batch, refused.reason());
    } else {
      retry(batch, ((AppendUnknown) result).reason());
    }
  }

  /**
   * Runs what follows from an append, whatever the effect before did.
   *
   * <p>Guards against runs that are durable and never told so: with the effects after one that
   * threw they would be lost, never ordered and never swept, and the tasks wait for good.
   */
  private void runEffect(Runnable effect) {
    LinkLoop.runGuarded(
        effect,
        e ->
            LOG.error(
                LogLine.of("append-effect-failed")
                    .with("partition", partition)
                    .with("epoch", epoch)
                    .withError(e)));
  }

  private void retry(Batch batch, String reason) {
    LOG.debug(LogLine.of("append-retried").with("partition", partition).with("reason", reason));
    loop.schedule(() -> send(batch), RETRY_DELAY_NANOS);
  }

  private void relinquish(String reason) {
    LOG.info(
        LogLine.of("partition-writer-lost")
            .with("partition", partition)
            .with("epoch", epoch)
            .with("reason", reason));
    close();
    onLost.run();
  }
}
