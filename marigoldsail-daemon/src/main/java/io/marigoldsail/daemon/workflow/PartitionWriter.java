package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import com.google.protobuf.ByteString;
import io.marigoldsail.daemon.capacity.StoreLimits;
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
import io.marigoldsail.time.ClockPair;
import io.marigoldsail.time.ClockReading;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Writes the progress of one partition under one epoch, with one append in flight; changes made
 * meanwhile are batched into the next append.
 *
 * <p>An append whose response was lost is resent unchanged, so that the store can detect the
 * repeat; nothing else is sent before its result is known. Effects run only after the append that
 * contains their cause is durable. The time at which a successful append was first sent is the
 * evidence that this process owned the partition at that time. It is void once the clocks have
 * diverged since: the machine may have been suspended, and the partition may have another owner.
 *
 * <p>Confined to the loop's thread.
 */
final class PartitionWriter {
  private static final EventLog LOG = EventLog.of(PartitionWriter.class);

  /** Delay before an append is retried, in nanoseconds; spares a store that fails. */
  private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(120);

  /** Delay before a record that the store rejected is sent again, in nanoseconds. */
  private static final long REJECTED_DELAY_NANOS = TimeUnit.SECONDS.toNanos(1);

  /**
   * Size that a batch does not exceed by another record, in bytes; less if the store takes less.
   */
  private static final int MAX_BATCH_BYTES = 512 * 1024;

  private record PendingValue(Supplier<ByteString> value, Runnable onDurable) {}

  /** A value as it is sent, and where its newest one comes from. */
  private record BatchRecord(KeyedRecord record, PendingValue pending) {
    static BatchRecord of(String key, PendingValue pending) {
      return new BatchRecord(new KeyedRecord(key, pending.value().get()), pending);
    }
  }

  private final WorkflowStore store;
  private final LinkLoop loop;
  private final ClockPair clocks;
  private final int partition;
  private final long epoch;
  private final Runnable onLost;
  private final Map<String, PendingValue> pendingValues = new LinkedHashMap<>();

  /** Keys of a batch that was rejected, whose newest values are sent one by one before others. */
  private final Map<String, PendingValue> divided = new LinkedHashMap<>();

  /** Keys whose newest values are not durable, as the store does not take them. */
  private final Set<String> rejectedKeys = new HashSet<>();

  private List<Runnable> effects = new ArrayList<>();
  private long sequence;
  private boolean inFlight;
  private boolean closed;
  private boolean renewalDue;
  private Optional<ClockReading> evidence = Optional.empty();
  private long openedAt;

  PartitionWriter(
      WorkflowStore store,
      LinkLoop loop,
      ClockPair clocks,
      int partition,
      long epoch,
      Runnable onLost) {
    this.store = requireNonNull(store, "store");
    this.loop = requireNonNull(loop, "loop");
    this.clocks = requireNonNull(clocks, "clocks");
    this.partition = partition;
    this.epoch = epoch;
    this.onLost = requireNonNull(onLost, "onLost");
  }

  long epoch() {
    return epoch;
  }

  /** Fences writers of lower epochs, then runs the callback. */
  void open(Runnable onOpened) {
    effects.add(
        () -> {
          openedAt = loop.now();
          onOpened.run();
        });
    renewalDue = true;
    flush();
  }

  /** Returns when lower epochs were known to be fenced, in the loop's nanoseconds. */
  long openedAt() {
    return openedAt;
  }

  /**
   * Returns how long ago this writer is last known to have owned the partition, in nanoseconds;
   * empty if that is not known or the evidence is void.
   */
  OptionalLong evidenceAgeNanos(ClockReading now) {
    return evidence.isPresent() && evidence.get().isContinuousUntil(now)
        ? OptionalLong.of(evidence.get().ageNanos(now))
        : OptionalLong.empty();
  }

  private boolean hasEvidence() {
    return evidenceAgeNanos(clocks.read()).isPresent();
  }

  /**
   * Writes the newest value of the key with the next append.
   *
   * @param value called when the append is made
   * @param onDurable runs once the value is durable, before effects
   */
  void write(String key, Supplier<ByteString> value, Runnable onDurable) {
    pendingValues.put(key, new PendingValue(value, onDurable));
    scheduleFlush();
  }

  /**
   * Runs the effect once everything written so far is durable and the evidence is not void; does
   * nothing on a closed writer.
   */
  void afterDurable(Runnable effect) {
    if (closed) {
      return;
    }
    if (isIdle() && !renewalDue && hasEvidence()) {
      effect.run();
      return;
    }
    effects.add(effect);
    scheduleFlush();
  }

  /**
   * Runs the effect once an append that is sent after this call has succeeded, which proves that no
   * other owner had fenced this writer before the call.
   */
  void afterRenewal(Runnable effect) {
    renewalDue = true;
    effects.add(effect);
    scheduleFlush();
  }

  /** Renews the evidence by an empty append unless an append is in flight. */
  void renewEvidence() {
    if (!inFlight) {
      renewalDue = true;
      flush();
    }
  }

  /** Stops writing; changes not yet sent and pending effects are dropped. */
  void close() {
    closed = true;
    pendingValues.clear();
    divided.clear();
    effects.clear();
  }

  /** Returns whether everything written is durable. */
  boolean isIdle() {
    return closed || (!inFlight && pendingValues.isEmpty() && divided.isEmpty());
  }

  private void scheduleFlush() {
    // Deferred so that all changes caused by one report are batched into one append.
    loop.runLater(this::flush);
  }

  private void flush() {
    if (closed || inFlight || (isIdle() && !renewalDue && effects.isEmpty())) {
      return;
    }
    List<BatchRecord> records = divided.isEmpty() ? takePending() : List.of(takeDivided());
    List<Runnable> batchEffects = List.of();
    if (pendingValues.isEmpty() && divided.isEmpty()) {
      batchEffects = effects;
      effects = new ArrayList<>();
    }
    renewalDue = false;
    inFlight = true;
    // An empty append sets the epoch and does not advance the sequence.
    long number = records.isEmpty() ? sequence : sequence++;
    send(new Batch(records, new Writer(epoch, number), batchEffects, clocks.read()));
  }

  private BatchRecord takeDivided() {
    String key = divided.keySet().iterator().next();
    return BatchRecord.of(key, divided.remove(key));
  }

  /** Removes and returns the pending values that fit into one append. */
  private List<BatchRecord> takePending() {
    List<BatchRecord> records = new ArrayList<>();
    int maxBytes = Math.min(MAX_BATCH_BYTES, store.limits().callBytes());
    int bytes = 0;
    var entries = pendingValues.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<String, PendingValue> entry = entries.next();
      BatchRecord each = BatchRecord.of(entry.getKey(), entry.getValue());
      bytes += StoreLimits.bytesInCall(each.record().key(), each.record().value().size());
      if (bytes > maxBytes && !records.isEmpty()) {
        break;
      }
      records.add(each);
      entries.remove();
    }
    return records;
  }

  private record Batch(
      List<BatchRecord> records, Writer writer, List<Runnable> effects, ClockReading firstSent) {
    List<Runnable> allEffects() {
      List<Runnable> all = new ArrayList<>();
      records.forEach(each -> all.add(each.pending().onDurable()));
      all.addAll(effects);
      return all;
    }
  }

  private void send(Batch batch) {
    if (closed) {
      return;
    }
    store
        .append(
            Topic.PROGRESS,
            partition,
            batch.records().stream().map(BatchRecord::record).toList(),
            Optional.of(batch.writer()))
        .thenAccept(result -> loop.run(() -> handleResult(batch, result)));
  }

  private void handleResult(Batch batch, AppendResult result) {
    if (closed) {
      return;
    }
    if (result instanceof Appended) {
      inFlight = false;
      evidence = Optional.of(batch.firstSent());
      batch.records().forEach(each -> forgetRejection(each.record().key()));
      if (hasEvidence()) {
        batch.allEffects().forEach(this::runEffect);
      } else {
        runAfterNextAppend(batch.allEffects());
      }
      flush();
    } else if (result instanceof Fenced) {
      relinquish("another owner has a higher epoch");
    } else if (result instanceof OutOfSequence outOfSequence) {
      relinquish(outOfSequence.detail());
    } else if (result instanceof NotAppended notAppended
        && notAppended.rejected()
        && !batch.records().isEmpty()) {
      divide(batch, notAppended.reason());
    } else if (result instanceof NotAppended notAppended) {
      retry(batch, notAppended.reason());
    } else {
      retry(batch, ((AppendUnknown) result).reason());
    }
  }

  /**
   * Continues with the values of a batch that the store does not take, one by one: sent as it was,
   * one record would hold up all others of the partition for good.
   */
  private void divide(Batch batch, String reason) {
    inFlight = false;
    sequence = batch.writer().sequence();
    effects.addAll(0, batch.effects());
    if (batch.records().size() > 1) {
      batch.records().forEach(each -> divided.putIfAbsent(each.record().key(), each.pending()));
      LOG.warning(
          LogLine.of("append-divided")
              .with("partition", partition)
              .with("epoch", epoch)
              .with("records", batch.records().size())
              .with("reason", reason));
    } else {
      reject(batch.records().get(0), reason);
    }
    flush();
  }

  /**
   * Goes on without a record that the store does not take alone. One that is too large is written
   * again only once its value is, any other one also after a while.
   */
  private void reject(BatchRecord rejected, String reason) {
    String key = rejected.record().key();
    int bytes = rejected.record().value().size();
    boolean tooLarge = bytes > store.limits().maxValueBytes(key);
    rejectedKeys.add(key);
    LOG.error(
        LogLine.of("record-rejected")
            .with("partition", partition)
            .with("epoch", epoch)
            .with("key", key)
            .with("bytes", bytes)
            .with("too_large", tooLarge)
            .with("reason", reason));
    if (!tooLarge) {
      loop.schedule(() -> retryRejected(key, rejected.pending()), REJECTED_DELAY_NANOS);
    }
  }

  private void retryRejected(String key, PendingValue pending) {
    if (!closed && rejectedKeys.contains(key) && !pendingValues.containsKey(key)) {
      divided.putIfAbsent(key, pending);
      scheduleFlush();
    }
  }

  /** The key has a durable value that is newer than the rejected one, which must not follow it. */
  private void forgetRejection(String key) {
    rejectedKeys.remove(key);
    divided.remove(key);
  }

  /** Returns whether the newest value of the key is not durable, as the store does not take it. */
  boolean isRejected(String key) {
    return rejectedKeys.contains(key);
  }

  /**
   * Another owner may have ordered other attempts during a suspension; the effects, such as orders,
   * need an append from after it.
   */
  private void runAfterNextAppend(List<Runnable> delayed) {
    LOG.info(
        LogLine.of("append-evidence-void")
            .with("partition", partition)
            .with("epoch", epoch)
            .with("effects", delayed.size()));
    renewalDue = true;
    effects.addAll(0, delayed);
  }

  /**
   * Runs one effect of an append; logs an exception and continues.
   *
   * <p>An exception that propagated would skip the later effects of the append: their runs would be
   * durable but never ordered and never closed, and their tasks would wait forever.
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
