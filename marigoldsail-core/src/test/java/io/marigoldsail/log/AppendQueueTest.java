package io.marigoldsail.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Failure;
import io.marigoldsail.error.Result;
import io.marigoldsail.log.AppendQueue.Batch;
import io.marigoldsail.log.AppendQueue.Completion;
import io.marigoldsail.log.AppendQueue.Pending;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class AppendQueueTest {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long NO_DEADLINE = 1_000_000 * NANOS_PER_MILLI;

  private final AppendSettings settings = AppendSettings.defaults().withMaxPending(600);
  private final AppendQueue queue =
      new AppendQueue(
          settings, new Backoff(50 * NANOS_PER_MILLI, 1_000 * NANOS_PER_MILLI, new Random(7)));
  private final EntryIdGenerator ids = EntryIdGenerator.of("entry-1", 10);
  private final Map<String, Result<Position>> results = new HashMap<>();
  private long now;

  @Test
  void singleEntryIsSentAtOnce() {
    offer(NO_DEADLINE);

    assertEquals(1, queue.takeBatch(now).orElseThrow().entries().size());
  }

  @Test
  void burstSharesRecords() {
    // 90 starts come within a second while the log takes several hundred appends a second from
    // all. Were each sent alone, one entry alone would take half of that.
    int appends = 0;
    int sent = 0;
    for (int i = 0; i < 90; i++) {
      offer(NO_DEADLINE);
      now += 11 * NANOS_PER_MILLI;
      Optional<Batch> batch = queue.takeBatch(now);
      if (batch.isPresent()) {
        appends++;
        sent += batch.get().entries().size();
        queue.recordAppendResult(batch.get(), Result.ok((long) appends), now);
      }
    }

    assertTrue(sent >= 89, "sent " + sent);
    assertTrue(appends <= 50, "appends " + appends);
  }

  @Test
  void resendsOnlyEntriesThatWereNotReadBack() {
    // The answers to two appends are lost: the first had been stored, the second had not. The
    // caller of each must get one entry in the log, told at its place.
    String stored = offer(NO_DEADLINE);
    Batch first = take();
    String lost = offer(NO_DEADLINE);
    failAppend(first, ErrorKind.LOG_OUTCOME_UNKNOWN);
    now += 2_000 * NANOS_PER_MILLI;
    assertTrue(queue.takeBatch(now).isEmpty(), "later entries must not overtake");

    notifyCallback(queue.recordReadBack(stored, new Position(5, 0)));
    queue.recordEndOfStream();
    Batch second = take();
    assertEquals(List.of(lost), idsOf(second));
    failAppend(second, ErrorKind.LOG_OUTCOME_UNKNOWN);
    now += 2_000 * NANOS_PER_MILLI;
    queue.recordEndOfStream();

    Batch again = take();
    assertEquals(List.of(lost), idsOf(again));
    assertEquals(Result.ok(new Position(5, 0)), results.get(stored));
  }

  @Test
  void resendKeepsTheOrderOfEntries() {
    // Readers drop an entry that comes behind a later one of its writer. So what is appended again
    // has to stand in front of what came meanwhile.
    String one = offer(NO_DEADLINE);
    String two = offer(NO_DEADLINE);
    failAppend(take(), ErrorKind.LOG_UNAVAILABLE);
    String three = offer(NO_DEADLINE);
    now += 2_000 * NANOS_PER_MILLI;
    Batch batch = take();
    assertEquals(List.of(one, two, three), idsOf(batch));
    String four = offer(NO_DEADLINE);
    failAppend(batch, ErrorKind.LOG_OUTCOME_UNKNOWN);
    queue.recordEndOfStream();
    now += 2_000 * NANOS_PER_MILLI;

    assertEquals(List.of(one, two, three, four), idsOf(take()));
  }

  @Test
  void onlyEntriesThatWereNeverStoredAreReportedAsNotStored() {
    // The log is down past the callers' deadlines. One entry was refused each time, the other's
    // answer was lost: only the first is known not to be there.
    String refused = offer(now + 500 * NANOS_PER_MILLI);
    failAppend(take(), ErrorKind.LOG_UNAVAILABLE);
    now += 600 * NANOS_PER_MILLI;
    queue.expire(now).forEach(Completion::notifyCallback);
    assertEquals(ErrorKind.LOG_UNAVAILABLE, kind(refused));

    now += 2_000 * NANOS_PER_MILLI;
    String unknown = offer(now + 5_000 * NANOS_PER_MILLI);
    failAppend(take(), ErrorKind.LOG_OUTCOME_UNKNOWN);
    queue.recordEndOfStream();
    now += 2_000 * NANOS_PER_MILLI;
    failAppend(take(), ErrorKind.LOG_UNAVAILABLE);
    now += 10_000 * NANOS_PER_MILLI;
    queue.expire(now).forEach(Completion::notifyCallback);
    assertEquals(ErrorKind.LOG_OUTCOME_UNKNOWN, kind(unknown));
    assertTrue(queue.takeBatch(now).isEmpty(), "what was given up must not be sent");
    assertEquals(0, queue.size());
  }

  @Test
  void entryWhoseDeadlineIsBeforeTheNextAppendIsRefusedAtOnce() {
    offer(NO_DEADLINE);
    failAppend(take(), ErrorKind.LOG_UNAVAILABLE);

    Failure refusal = queue.offer(pending(now + NANOS_PER_MILLI), now).orElseThrow();

    assertEquals(ErrorKind.LOG_UNAVAILABLE, refusal.kind());
    assertTrue(refusal.retryAfterMillis() > 0);
  }

  @Test
  void queueIsBoundedDuringAnOutage() {
    // The log is down for minutes while entries come on. They are refused once the bound is
    // reached, and those that pass their deadline make room; nothing grows with the outage.
    failAppend(takeAfterOffer(), ErrorKind.LOG_UNAVAILABLE);
    int refused = 0;
    for (int second = 0; second < 300; second++) {
      now += 1_000 * NANOS_PER_MILLI;
      queue.expire(now).forEach(Completion::notifyCallback);
      for (int i = 0; i < 100; i++) {
        refused += queue.offer(pending(now + 30_000 * NANOS_PER_MILLI), now).isPresent() ? 1 : 0;
      }
      queue.takeBatch(now).ifPresent(batch -> failAppend(batch, ErrorKind.LOG_UNAVAILABLE));
      assertTrue(queue.size() <= settings.maxPending());
    }

    assertTrue(refused > 20_000, "refused " + refused);
  }

  @Test
  void entryLargerThanARecordIsRefused() {
    byte[] large = new byte[settings.maxBatchBytes()];
    Pending entry = new Pending("entry-1/a/1", 1, large, NO_DEADLINE, result -> {});

    assertEquals(ErrorKind.BODY_TOO_LARGE, queue.offer(entry, now).orElseThrow().kind());
  }

  @Test
  void batchThatIsTooLargeForTheLogIsSplit() {
    // This platform's limit for a record is lower than expected. Refusing the whole batch would
    // refuse a hundred small entries because they came together.
    String one = offer(NO_DEADLINE);
    String two = offer(NO_DEADLINE);
    failAppend(take(), ErrorKind.BODY_TOO_LARGE);
    now += 2_000 * NANOS_PER_MILLI;

    Batch single = take();
    assertEquals(List.of(one), idsOf(single));
    failAppend(single, ErrorKind.BODY_TOO_LARGE);
    now += 2_000 * NANOS_PER_MILLI;

    assertEquals(ErrorKind.BODY_TOO_LARGE, kind(one));
    assertEquals(List.of(two), idsOf(take()));
  }

  @Test
  void entriesSkippedByASnapshotHaveUnknownOutcome() {
    String passed = offer(NO_DEADLINE);
    take();
    String later = offer(NO_DEADLINE);

    queue.recordSkippedThrough(1).forEach(Completion::notifyCallback);

    assertEquals(ErrorKind.LOG_OUTCOME_UNKNOWN, kind(passed));
    assertFalse(results.containsKey(later));
  }

  private Batch takeAfterOffer() {
    offer(NO_DEADLINE);
    return take();
  }

  private String offer(long deadline) {
    Pending entry = pending(deadline);
    assertEquals(Optional.empty(), queue.offer(entry, now));
    return entry.id();
  }

  private Pending pending(long deadline) {
    String id = ids.next();
    long sequence = EntryIdGenerator.parse(id).orElseThrow().sequence();
    byte[] encoded = RecordCodec.encodeEntry(id, "t", JsonNodeFactory.instance.objectNode());
    return new Pending(id, sequence, encoded, deadline, result -> results.put(id, result));
  }

  private Batch take() {
    return queue.takeBatch(now).orElseThrow();
  }

  private void failAppend(Batch batch, ErrorKind kind) {
    queue
        .recordAppendResult(batch, Result.failed(kind, "test"), now)
        .forEach(Completion::notifyCallback);
  }

  private void notifyCallback(Optional<Completion> completion) {
    completion.orElseThrow().notifyCallback();
  }

  private ErrorKind kind(String id) {
    return ((Result.Failed<Position>) results.get(id)).failure().kind();
  }

  private static List<String> idsOf(Batch batch) {
    return batch.entries().stream().map(Pending::id).toList();
  }
}
