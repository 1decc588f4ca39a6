package io.marigoldsail.log;

import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Failure;
import io.marigoldsail.error.Result;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Batches the entries of one writer into log records and tracks the outcome of each entry.
 *
 * <p>One append is in flight at a time; entries offered meanwhile share the next one. Task starts
 * and ends come in bursts, and the log takes several hundred appends a second from all writers
 * together: without batching, 90 starts a second would cost three appends each. An idle writer
 * sends at once.
 *
 * <p>An entry is complete when it has been read back. If the response to an append is lost, nothing
 * else is sent until a read has reached the end of the stream: entries that were not read back by
 * then are sent first in the next record. Readers drop duplicates ({@link WriterSequences}), so
 * sending again is safe even if that read was stale. The entry must precede later entries of this
 * writer, because readers would otherwise drop it as a duplicate.
 *
 * <p>The number of entries and their bytes are bounded. Not thread-safe; guarded by {@link
 * LogAppender}. Times are readings of its clock, in nanoseconds.
 */
final class AppendQueue {
  /** An entry that has not completed yet. */
  record Pending(
      String id, long sequence, byte[] encoded, long deadline, CompletionCallback outcome) {}

  /** Receives the result of an append. */
  interface CompletionCallback {
    /** Called exactly once. */
    void complete(Result<Position> result);
  }

  /** Entries that share one log record. */
  record Batch(List<Pending> entries) {
    byte[] record() {
      return RecordCodec.encodeRecord(entries.stream().map(Pending::encoded).toList());
    }
  }

  /** A result to pass to the callback without holding a lock. */
  record Completion(Pending entry, Result<Position> result) {
    void notifyCallback() {
      entry.outcome().complete(result);
    }
  }

  private static final long FULL_RETRY_MILLIS = 1_000;

  private final AppendSettings settings;
  private final Backoff backoff;
  private final Map<String, Pending> pendingById = new LinkedHashMap<>();
  private final ArrayDeque<Pending> waiting = new ArrayDeque<>();
  private final Map<String, Pending> unknownOutcomes = new LinkedHashMap<>();

  /** Ids of entries that may be in the log: sent, and not refused in every attempt. */
  private final Set<String> maybeStored = new HashSet<>();

  /** Entries whose first append is in flight; they are not stored if it is refused. */
  private final List<Pending> firstAttempts = new ArrayList<>();

  private int pendingBytes;
  private int batchLimit;
  private boolean inFlight;
  private long nextAppendAt = Long.MIN_VALUE;
  private long earliestDeadline = Long.MAX_VALUE;

  AppendQueue(AppendSettings settings, Backoff backoff) {
    this.settings = settings;
    this.batchLimit = settings.maxBatchEntries();
    this.backoff = backoff;
  }

  /** Accepts an entry, or returns why it is refused; a refused entry is never sent. */
  Optional<Failure> offer(Pending entry, long now) {
    int bytes = entry.encoded().length;
    if (bytes + RecordCodec.overheadBytes(1) > settings.maxBatchBytes()) {
      return Optional.of(
          Failure.of(
              ErrorKind.BODY_TOO_LARGE,
              "log entry has " + bytes + " bytes, more than a record holds"));
    }
    if (backoff.isFailing() && entry.deadline() <= nextAppendAt) {
      return Optional.of(
          refusal(
              "log is unavailable and the deadline is before the next append", nextAppendAt - now));
    }
    if (pendingById.size() >= settings.maxPending()
        || pendingBytes + bytes > settings.maxPendingBytes()) {
      long wait = TimeUnit.MILLISECONDS.toNanos(FULL_RETRY_MILLIS);
      return Optional.of(
          refusal("append queue is full with " + pendingById.size() + " entries", wait));
    }
    pendingById.put(entry.id(), entry);
    pendingBytes += bytes;
    waiting.add(entry);
    earliestDeadline = Math.min(earliestDeadline, entry.deadline());
    return Optional.empty();
  }

  private static Failure refusal(String detail, long waitNanos) {
    long millis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(waitNanos));
    return new Failure(ErrorKind.LOG_UNAVAILABLE, detail, millis);
  }

  /** Returns the entries of the next record if an append is due. */
  Optional<Batch> takeBatch(long now) {
    if (inFlight || !unknownOutcomes.isEmpty() || waiting.isEmpty() || now < nextAppendAt) {
      return Optional.empty();
    }
    List<Pending> entries = new ArrayList<>();
    int bytes = 0;
    while (!waiting.isEmpty() && entries.size() < batchLimit) {
      if (!isPending(waiting.peek())) {
        waiting.poll();
        continue;
      }
      bytes += waiting.peek().encoded().length;
      if (bytes + RecordCodec.overheadBytes(entries.size() + 1) > settings.maxBatchBytes()) {
        break;
      }
      entries.add(waiting.poll());
    }
    if (entries.isEmpty()) {
      return Optional.empty();
    }
    inFlight = true;
    firstAttempts.clear();
    entries.stream().filter(entry -> maybeStored.add(entry.id())).forEach(firstAttempts::add);
    nextAppendAt = now + TimeUnit.MILLISECONDS.toNanos(settings.minIntervalMillis());
    return Optional.of(new Batch(entries));
  }

  /** Records the result of an append and returns the entries that completed by it. */
  List<Completion> recordAppendResult(Batch batch, Result<Long> result, long now) {
    inFlight = false;
    if (!(result instanceof Result.Failed<Long> failed)) {
      backoff.recordSuccess();
      return List.of();
    }
    return switch (failed.failure().kind()) {
      case LOG_UNAVAILABLE -> {
        nextAppendAt = now + backoff.recordFailure();
        firstAttempts.forEach(entry -> maybeStored.remove(entry.id()));
        requeue(batch.entries());
        yield List.of();
      }
      case BODY_TOO_LARGE -> {
        if (batch.entries().size() > 1) {
          // The platform's limit is lower than configured; smaller batches may still fit.
          batchLimit = batch.entries().size() / 2;
          firstAttempts.forEach(entry -> maybeStored.remove(entry.id()));
          requeue(batch.entries());
          yield List.of();
        }
        List<Completion> completions = new ArrayList<>();
        for (Pending entry : batch.entries()) {
          complete(entry, Result.failed(failed.failure())).ifPresent(completions::add);
        }
        yield completions;
      }
      default -> {
        nextAppendAt = now + backoff.recordFailure();
        batch.entries().stream()
            .filter(this::isPending)
            .forEach(entry -> unknownOutcomes.put(entry.id(), entry));
        yield List.of();
      }
    };
  }

  /** Records that the follower read an entry that is not a duplicate. */
  Optional<Completion> recordReadBack(String id, Position position) {
    Pending entry = pendingById.get(id);
    return entry == null ? Optional.empty() : complete(entry, Result.ok(position));
  }

  /**
   * Records that a read reached the end of the stream. Entries of unknown outcome that it did not
   * return are sent again.
   */
  void recordEndOfStream() {
    if (!unknownOutcomes.isEmpty()) {
      requeue(List.copyOf(unknownOutcomes.values()));
      unknownOutcomes.clear();
    }
  }

  /**
   * Records that the follower restored a snapshot that covers the entries of this writer up to a
   * sequence number. Their outcome is unknown, because they were not read one by one.
   */
  List<Completion> recordSkippedThrough(long sequence) {
    List<Completion> completions = new ArrayList<>();
    for (Pending entry : List.copyOf(pendingById.values())) {
      if (entry.sequence() <= sequence) {
        Failure unknown =
            Failure.of(
                ErrorKind.LOG_OUTCOME_UNKNOWN, "skipped by a snapshot before it was read back");
        complete(entry, Result.failed(unknown)).ifPresent(completions::add);
      }
    }
    return completions;
  }

  /**
   * Records that the history of the stream was replaced. Entries that may be stored in the former
   * history cannot be read back any more.
   */
  List<Completion> historyReplaced() {
    List<Completion> completions = new ArrayList<>();
    for (Pending entry : List.copyOf(pendingById.values())) {
      if (maybeStored.contains(entry.id())) {
        Failure unknown =
            Failure.of(
                ErrorKind.LOG_OUTCOME_UNKNOWN,
                "history of the stream was replaced before the entry was read back");
        complete(entry, Result.failed(unknown)).ifPresent(completions::add);
      }
    }
    return completions;
  }

  /** Fails the entries whose deadline has passed. */
  List<Completion> expire(long now) {
    if (now < earliestDeadline) {
      return List.of();
    }
    List<Completion> completions = new ArrayList<>();
    earliestDeadline = Long.MAX_VALUE;
    for (Pending entry : List.copyOf(pendingById.values())) {
      if (entry.deadline() <= now) {
        complete(entry, Result.failed(timeoutFailure(entry, now))).ifPresent(completions::add);
      } else {
        earliestDeadline = Math.min(earliestDeadline, entry.deadline());
      }
    }
    waiting.removeIf(entry -> !isPending(entry));
    return completions;
  }

  private Failure timeoutFailure(Pending entry, long now) {
    // An entry that may be stored can still take effect; any other is not sent any more.
    return !maybeStored.contains(entry.id())
        ? refusal(
            "log did not confirm the entry before its deadline", Math.max(0, nextAppendAt - now))
        : Failure.of(ErrorKind.LOG_OUTCOME_UNKNOWN, "entry was not read back before its deadline");
  }

  /** Fails all entries, for a graceful shutdown. */
  List<Completion> failAll(long now) {
    List<Completion> completions = new ArrayList<>();
    for (Pending entry : List.copyOf(pendingById.values())) {
      complete(entry, Result.failed(timeoutFailure(entry, now))).ifPresent(completions::add);
    }
    return completions;
  }

  /** Returns when {@link #takeBatch} or {@link #expire} is due next, or {@link Long#MAX_VALUE}. */
  long nextWakeAt() {
    boolean ready = !inFlight && unknownOutcomes.isEmpty() && !waiting.isEmpty();
    return Math.min(earliestDeadline, ready ? nextAppendAt : Long.MAX_VALUE);
  }

  /** Returns the number of entries that have not completed. */
  int size() {
    return pendingById.size();
  }

  private boolean isPending(Pending entry) {
    return pendingById.containsKey(entry.id());
  }

  private void requeue(List<Pending> entries) {
    for (int i = entries.size() - 1; i >= 0; i--) {
      if (isPending(entries.get(i))) {
        waiting.addFirst(entries.get(i));
      }
    }
  }

  private Optional<Completion> complete(Pending entry, Result<Position> result) {
    if (pendingById.remove(entry.id()) == null) {
      return Optional.empty();
    }
    pendingBytes -= entry.encoded().length;
    maybeStored.remove(entry.id());
    unknownOutcomes.remove(entry.id());
    return Optional.of(new Completion(entry, result));
  }
}
