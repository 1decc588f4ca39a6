package io.marigoldsail.daemon.workflow;

import static com.google.common.base.Preconditions.checkState;
import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.daemon.workflow.WorkflowStore.Expired;
import io.marigoldsail.daemon.workflow.WorkflowStore.KeyedRecord;
import io.marigoldsail.daemon.workflow.WorkflowStore.ReadFailed;
import io.marigoldsail.daemon.workflow.WorkflowStore.ReadResult;
import io.marigoldsail.daemon.workflow.WorkflowStore.Records;
import io.marigoldsail.daemon.workflow.WorkflowStore.Topic;
import io.marigoldsail.time.ClockPair;
import io.marigoldsail.time.ClockReading;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Tails the submissions of one partition, and confirms on request that everything durable at that
 * moment has been read.
 *
 * <p>The tailing read waits at the store, so its evidence is as old as the read. A confirmation
 * rests on a read that is sent after it was requested; one read serves all requests that wait for
 * it. Both reads may overlap: each record is passed on once, in the order of the offsets.
 *
 * <p>Confined to the loop's thread.
 */
final class SubmissionTail {
  private static final EventLog LOG = EventLog.of(SubmissionTail.class);
  private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** How long a read of submissions waits for a record, in milliseconds. */
  private static final long TAIL_WAIT_MILLIS = 1_500;

  /**
   * Maximum age of the last successful read, in nanoseconds, at which a run of an unknown workflow
   * may be stopped; slightly longer than a read waits.
   */
  private static final long CAUGHT_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(TAIL_WAIT_MILLIS + 700);

  /** Minimum interval of confirming reads, in nanoseconds; limits their load on the store. */
  static final long CONFIRM_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

  /** Maximum number of requests that wait for a confirmation. */
  static final int MAX_WAITING = 4_000;

  /** Reloads the newest submissions after records have expired; runs the callback when done. */
  interface Reloader {
    void reload(Runnable onComplete);
  }

  private record Confirmation(CompletableFuture<Boolean> confirmed, long deadline) {}

  private final WorkflowStore store;
  private final LinkLoop loop;
  private final ClockPair clocks;
  private final int partition;
  private final Consumer<KeyedRecord> onRecord;
  private final Reloader reloader;

  /** Requests that the next confirming read serves. */
  private List<Confirmation> waiting = new ArrayList<>();

  /** Requests that the confirming read in flight serves. */
  private List<Confirmation> beingConfirmed = new ArrayList<>();

  private boolean confirmScheduled;
  private long confirmSentAt;
  private boolean started;
  private boolean closed;
  private long nextOffset;
  private Optional<ClockReading> caughtUpAt = Optional.empty();

  /**
   * Creates a tail that has not started yet.
   *
   * @param onRecord receives each record that follows the start, and must not throw
   */
  SubmissionTail(
      WorkflowStore store,
      LinkLoop loop,
      ClockPair clocks,
      int partition,
      Consumer<KeyedRecord> onRecord,
      Reloader reloader) {
    this.store = requireNonNull(store, "store");
    this.loop = requireNonNull(loop, "loop");
    this.clocks = requireNonNull(clocks, "clocks");
    this.partition = partition;
    this.onRecord = requireNonNull(onRecord, "onRecord");
    this.reloader = requireNonNull(reloader, "reloader");
    this.confirmSentAt = loop.now() - CONFIRM_INTERVAL_NANOS;
  }

  /** Continues at the offset unless later records have been read. */
  void skipTo(long offset) {
    nextOffset = Math.max(nextOffset, offset);
  }

  /** Returns the offset of the next record to be read. */
  long nextOffset() {
    return nextOffset;
  }

  /**
   * Starts to tail. Everything before the offset must have been read just before.
   *
   * @throws IllegalStateException if it was started before
   */
  void start() {
    checkState(!started, "already started");
    started = true;
    caughtUpAt = Optional.of(clocks.read());
    tail();
  }

  /** Stops reading; requests that wait are not confirmed. */
  void close() {
    closed = true;
    complete(waiting, false);
    complete(beingConfirmed, false);
  }

  /** Returns whether all submissions accepted more than {@link #CAUGHT_UP_NANOS} ago are known. */
  boolean isCaughtUp() {
    return caughtUpAt.filter(at -> at.ageNanos(clocks.read()) < CAUGHT_UP_NANOS).isPresent();
  }

  /** Returns the age of the last read in milliseconds, as a text for logs. */
  String readAge() {
    return caughtUpAt
        .map(at -> String.valueOf(TimeUnit.NANOSECONDS.toMillis(at.ageNanos(clocks.read()))))
        .orElse("none");
  }

  /**
   * Reads the submissions that are durable now.
   *
   * @param deadline when the caller gives up, in the loop's nanoseconds
   * @return completes on the loop: with true once all of them have been passed on, with false if
   *     they could not be read by the deadline
   */
  CompletableFuture<Boolean> confirm(long deadline) {
    CompletableFuture<Boolean> confirmed = new CompletableFuture<>();
    if (closed || !started || waiting.size() >= MAX_WAITING) {
      confirmed.complete(false);
      return confirmed;
    }
    waiting.add(new Confirmation(confirmed, deadline));
    loop.schedule(() -> confirmed.complete(false), deadline - loop.now());
    scheduleConfirm(confirmSentAt + CONFIRM_INTERVAL_NANOS);
    return confirmed;
  }

  private void scheduleConfirm(long dueAt) {
    if (confirmScheduled || !beingConfirmed.isEmpty()) {
      return;
    }
    confirmScheduled = true;
    Runnable send =
        () -> {
          confirmScheduled = false;
          sendConfirm();
        };
    long delay = dueAt - loop.now();
    if (delay > 0) {
      loop.schedule(send, delay);
    } else {
      loop.runLater(send);
    }
  }

  private void sendConfirm() {
    waiting.removeIf(each -> each.confirmed().isDone());
    if (closed || waiting.isEmpty()) {
      return;
    }
    beingConfirmed = waiting;
    waiting = new ArrayList<>();
    confirmSentAt = loop.now();
    readToConfirm(Optional.empty());
  }

  /**
   * Sends one read of those that confirm.
   *
   * @param target the offset to be reached; empty if this read is the first one, which tells it
   */
  private void readToConfirm(Optional<Long> target) {
    ClockReading sent = clocks.read();
    long from = nextOffset;
    store
        .read(Topic.SUBMISSIONS, partition, from, 0)
        .thenAccept(result -> loop.run(() -> handleConfirm(sent, from, target, result)));
  }

  private void handleConfirm(
      ClockReading sent, long from, Optional<Long> target, ReadResult result) {
    if (closed) {
      return;
    }
    if (result instanceof Records records) {
      boolean progressed = nextOffset > from || records.nextOffset() > from;
      accept(sent, from, records);
      long end = target.orElse(records.endOffset());
      if (nextOffset >= end) {
        finishConfirm(true);
      } else if (progressed) {
        readToConfirm(Optional.of(end));
      } else {
        retryConfirm("response has no records before the end of the partition");
      }
    } else if (result instanceof Expired) {
      reloader.reload(() -> finishConfirm(true));
    } else {
      retryConfirm(((ReadFailed) result).reason());
    }
  }

  private void finishConfirm(boolean result) {
    List<Confirmation> confirmed = beingConfirmed;
    beingConfirmed = new ArrayList<>();
    complete(confirmed, result);
    if (!closed && !waiting.isEmpty()) {
      scheduleConfirm(confirmSentAt + CONFIRM_INTERVAL_NANOS);
    }
  }

  private static void complete(List<Confirmation> confirmations, boolean result) {
    confirmations.forEach(each -> each.confirmed().complete(result));
  }

  /** Lets requests whose deadline allows another read wait for it. */
  private void retryConfirm(String reason) {
    long retryAt = loop.now() + RETRY_DELAY_NANOS;
    LOG.info(
        LogLine.of("submissions-not-confirmed")
            .with("partition", partition)
            .with("waiting", beingConfirmed.size() + waiting.size())
            .with("read_age_ms", readAge())
            .with("reason", reason));
    List<Confirmation> failed = beingConfirmed;
    beingConfirmed = new ArrayList<>();
    for (Confirmation each : failed) {
      if (each.deadline() - retryAt <= 0) {
        each.confirmed().complete(false);
      } else {
        waiting.add(each);
      }
    }
    scheduleConfirm(retryAt);
  }

  private void accept(ClockReading sent, long from, Records records) {
    ClockReading now = clocks.read();
    // After a suspension the response may be as old as the request.
    if (records.nextOffset() >= records.endOffset()) {
      caughtUpAt = Optional.of(sent.isContinuousUntil(now) ? now : sent);
    }
    long alreadyRead = Math.max(0, nextOffset - from);
    nextOffset = Math.max(nextOffset, records.nextOffset());
    records.records().stream().skip(alreadyRead).forEach(onRecord);
  }

  private void tail() {
    if (closed) {
      return;
    }
    ClockReading sent = clocks.read();
    long from = nextOffset;
    long waitMillis = isCaughtUp() ? TAIL_WAIT_MILLIS : 0;
    store
        .read(Topic.SUBMISSIONS, partition, from, waitMillis)
        .thenAccept(result -> loop.run(() -> handleTail(sent, from, result)));
  }

  private void handleTail(ClockReading sent, long from, ReadResult result) {
    if (closed) {
      return;
    }
    if (result instanceof Records records) {
      accept(sent, from, records);
      tail();
    } else if (result instanceof Expired) {
      LOG.info(
          LogLine.of("submissions-expired").with("partition", partition).with("from", nextOffset));
      reloader.reload(this::tail);
    } else {
      LOG.debug(
          LogLine.of("tail-retried")
              .with("partition", partition)
              .with("reason", ((ReadFailed) result).reason()));
      loop.schedule(this::tail, RETRY_DELAY_NANOS);
    }
  }
}
