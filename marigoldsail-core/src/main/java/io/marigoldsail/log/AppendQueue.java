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
 * Decides when one writer's entries go to the log, which go together, and what became of each.
 *
 * <p>Load pattern: starts and ends of tasks come in bursts of many a second, while the log takes
 * several hundred appends a second from all writers together. One append is under way at a time;
 * what comes meanwhile shares the next one, so batches grow with the load and an idle writer waits
 * for nothing. Without this a burst of 90 starts a second would take three appends for each.
 *
 * <p>An entry is done when it was read back. An append whose answer was lost is held until a later
 * read has reached the end of the stream: then it was seen, or its entries go first into the next
 * record. Appending them again is safe even when the read was stale, because readers drop the copy
 * ({@link WriterSequences}); it must only come before this writer's later entries, or readers would
 * drop it as if it were a copy. That is why nothing else is sent in between.
 *
 * <p>Bounded in entries and bytes; knows neither thread nor clock; guarded by {@link LogAppender}.
 */
final class AppendQueue {
  /** An entry on its way. */
  record Pending(
      String id, long sequence, byte[] encoded, long deadline, CompletionCallback outcome) {}

  /** Where the one who appends hears of the end. */
  interface CompletionCallback {
    /** Called exactly once. */
    void complete(Result<Position> result);
  }

  /** Entries that go into one platform record. */
  record Batch(List<Pending> entries) {
    byte[] record() {
      return RecordCodec.encodeRecord(entries.stream().map(Pending::encoded).toList());
    }
  }

  /** An end to be told once no lock is held. */
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

  /** Ids of entries that may stand in the log: sent, and not refused each time. */
  private final Set<String> maybeStored = new HashSet<>();

  /** Entries whose first append is under way: not stored if that one is refused. */
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

  /** Takes an entry in, or says why not; in that case it will never be sent. */
  Optional<Failure> offer(Pending entry, long now) {
    int bytes = entry.encoded().length;
    if (bytes + RecordCodec.overheadBytes(1) > settings.maxBatchBytes()) {
      return Optional.of(Failure.of(ErrorKind.BODY_TOO_LARGE, "log entry of " + bytes + " bytes"));
    }
    if (backoff.isFailing() && entry.deadline() <= nextAppendAt) {
      return Optional.of(refusal("the log does not answer", nextAppendAt - now));
    }
    if (pendingById.size() >= settings.maxPending()
        || pendingBytes + bytes > settings.maxPendingBytes()) {
      long wait = TimeUnit.MILLISECONDS.toNanos(FULL_RETRY_MILLIS);
      return Optional.of(refusal(pendingById.size() + " entries wait already", wait));
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

  /** Returns the next record's entries, if it is time to append. */
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

  /** Tells how an append ended. */
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
          // This log takes less than expected; what is too large together may be fine apart.
          batchLimit = batch.entries().size() / 2;
          firstAttempts.forEach(entry -> maybeStored.remove(entry.id()));
          requeue(batch.entries());
          yield List.of();
        }
        List<Completion> refused = new ArrayList<>();
        for (Pending entry : batch.entries()) {
          complete(entry, Result.failed(failed.failure())).ifPresent(refused::add);
        }
        yield refused;
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

  /** Tells that an entry was read at the place where it counts. */
  Optional<Completion> recordReadBack(String id, Position position) {
    Pending entry = pendingById.get(id);
    return entry == null ? Optional.empty() : complete(entry, Result.ok(position));
  }

  /** Tells that a read reached the end of the stream; what it did not show goes out again. */
  void recordEndOfStream() {
    if (!unknownOutcomes.isEmpty()) {
      requeue(List.copyOf(unknownOutcomes.values()));
      unknownOutcomes.clear();
    }
  }

  /**
   * Tells that the reader now stands behind a snapshot that includes this writer's entries up to a
   * sequence number, without having seen each.
   */
  List<Completion> recordSkippedThrough(long sequence) {
    List<Completion> ended = new ArrayList<>();
    for (Pending entry : List.copyOf(pendingById.values())) {
      if (entry.sequence() <= sequence) {
        Failure unknown =
            Failure.of(ErrorKind.LOG_OUTCOME_UNKNOWN, "the reader passed it in a snapshot");
        complete(entry, Result.failed(unknown)).ifPresent(ended::add);
      }
    }
    return ended;
  }

  /**
   * Tells that the stream is another one than what was sent may stand in; it will not be read back.
   */
  List<Completion> historyReplaced() {
    List<Completion> ended = new ArrayList<>();
    for (Pending entry : List.copyOf(pendingById.values())) {
      if (maybeStored.contains(entry.id())) {
        Failure unknown =
            Failure.of(ErrorKind.LOG_OUTCOME_UNKNOWN, "the log's history was replaced");
        complete(entry, Result.failed(unknown)).ifPresent(ended::add);
      }
    }
    return ended;
  }

  /** Gives up what has passed its deadline. */
  List<Completion> expire(long now) {
    if (now < earliestDeadline) {
      return List.of();
    }
    List<Completion> expired = new ArrayList<>();
    earliestDeadline = Long.MAX_VALUE;
    for (Pending entry : List.copyOf(pendingById.values())) {
      if (entry.deadline() <= now) {
        complete(entry, Result.failed(timeoutFailure(entry, now))).ifPresent(expired::add);
      } else {
        earliestDeadline = Math.min(earliestDeadline, entry.deadline());
      }
    }
    waiting.removeIf(entry -> !isPending(entry));
    return expired;
  }

  private Failure timeoutFailure(Pending entry, long now) {
    // An entry that may be stored counts wherever it is read; any other is never sent from here on.
    return !maybeStored.contains(entry.id())
        ? refusal("the log did not answer in time", Math.max(0, nextAppendAt - now))
        : Failure.of(ErrorKind.LOG_OUTCOME_UNKNOWN, "not read back in time");
  }

  /** Gives up everything, for a planned stop. */
  List<Completion> failAll(long now) {
    List<Completion> ended = new ArrayList<>();
    for (Pending entry : List.copyOf(pendingById.values())) {
      complete(entry, Result.failed(timeoutFailure(entry, now))).ifPresent(ended::add);
    }
    return ended;
  }

  /** Returns when {@link #takeBatch} or {@link #expire} is due next, or {@link Long#MAX_VALUE}. */
  long nextWakeAt() {
    boolean ready = !inFlight && unknownOutcomes.isEmpty() && !waiting.isEmpty();
    return Math.min(earliestDeadline, ready ? nextAppendAt : Long.MAX_VALUE);
  }

  /** Returns how many entries are held. */
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
