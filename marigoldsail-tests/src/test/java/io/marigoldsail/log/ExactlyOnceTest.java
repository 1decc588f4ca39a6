package io.marigoldsail.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Result;
import io.marigoldsail.log.AppendQueue.Batch;
import io.marigoldsail.log.AppendQueue.Completion;
import io.marigoldsail.log.AppendQueue.Pending;
import io.marigoldsail.testlib.platform.FakeLogService;
import io.marigoldsail.testlib.platform.LogFaults;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Three processes append over a network that rejects requests, loses responses and delays appends.
 * Guards against entries that are applied twice, and against outcomes that contradict the stream.
 * Runs on virtual time.
 */
final class ExactlyOnceTest {
  private static final String STREAM = "tasks";
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final int STEPS = 400;

  private final List<byte[]> delayedAppends = new ArrayList<>();
  private FakeLogService log;
  private long now;

  /** The reader and append queue of one process, without threads. */
  private final class Process implements Fold, StreamListener {
    private final Map<String, Position> applied = new LinkedHashMap<>();
    private final Map<String, Result<Position>> outcomes = new LinkedHashMap<>();
    private final StreamCursor cursor = new StreamCursor(this, false, this, (at, reason, n) -> {});
    private final EntryIdGenerator ids;
    private final AppendQueue queue;

    private Process(int number, Random random) {
      ids = EntryIdGenerator.of("entry-" + number, number);
      queue =
          new AppendQueue(
              AppendSettings.defaults(),
              new Backoff(50 * NANOS_PER_MILLI, 1_000 * NANOS_PER_MILLI, random));
    }

    private void offer(long deadline) {
      String id = ids.next();
      byte[] encoded = RecordCodec.encodeEntry(id, "t", JsonNodeFactory.instance.objectNode());
      long sequence = EntryIdGenerator.parse(id).orElseThrow().sequence();
      Pending entry =
          new Pending(
              id, sequence, encoded, deadline, end -> assertEquals(null, outcomes.put(id, end)));
      queue.offer(entry, now).ifPresent(failure -> outcomes.put(id, Result.failed(failure)));
    }

    private void send(Random random, boolean healthy) {
      queue.expire(now).forEach(Completion::notifyCallback);
      Batch batch = queue.takeBatch(now).orElse(null);
      if (batch != null) {
        Result<Long> result =
            healthy ? log.append(STREAM, batch.record()) : appendWithFault(batch, random);
        queue.recordAppendResult(batch, result, now).forEach(Completion::notifyCallback);
      }
    }

    private Result<Long> appendWithFault(Batch batch, Random random) {
      return switch (random.nextInt(5)) {
        case 0 -> Result.failed(ErrorKind.LOG_UNAVAILABLE, "refused");
        case 1 -> Result.failed(ErrorKind.LOG_OUTCOME_UNKNOWN, "request lost");
        case 2 -> {
          delayedAppends.add(batch.record());
          yield Result.failed(ErrorKind.LOG_OUTCOME_UNKNOWN, "request delayed");
        }
        case 3 -> {
          log.append(STREAM, batch.record());
          yield Result.failed(ErrorKind.LOG_OUTCOME_UNKNOWN, "response lost");
        }
        default -> log.append(STREAM, batch.record());
      };
    }

    private void read() {
      cursor.accept(log.read(STREAM, cursor.nextOffset(), 7, 0).value());
      if (cursor.status(false).caughtUp()) {
        queue.recordEndOfStream();
      }
    }

    @Override
    public void apply(LogEntry entry) {
      assertEquals(
          null, applied.put(entry.id(), entry.position()), entry.id() + " was applied twice");
    }

    @Override
    public void entryApplied(LogEntry entry) {
      queue.recordReadBack(entry.id(), entry.position()).ifPresent(Completion::notifyCallback);
    }

    @Override
    public JsonNode snapshot() {
      return JsonNodeFactory.instance.objectNode();
    }

    @Override
    public void restore(JsonNode snapshot) {}
  }

  @Property(seed = "3601", tries = 150)
  void reportedOutcomesMatchTheStream(@ForAll @IntRange(min = 0) int seed) {
    // All tries of a property share one instance.
    log = new FakeLogService();
    delayedAppends.clear();
    now = 0;
    Random random = new Random(seed);
    List<Process> processes = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      processes.add(new Process(i, random));
    }
    for (int step = 0; step < STEPS; step++) {
      now += random.nextInt(40) * NANOS_PER_MILLI;
      log.setFaults(LogFaults.none().withStaleRecords(random.nextInt(4) == 0 ? 2 : 0));
      Process process = processes.get(random.nextInt(3));
      switch (random.nextInt(4)) {
        case 0 -> process.offer(now + (1 + random.nextInt(3_000)) * NANOS_PER_MILLI);
        case 1 -> process.send(random, false);
        case 2 -> process.read();
        default -> deliverDelayedAppend(random);
      }
    }
    recover(processes, random);
    processes.forEach(process -> check(process, processes.get(0)));
  }

  private void deliverDelayedAppend(Random random) {
    if (!delayedAppends.isEmpty()) {
      log.append(STREAM, delayedAppends.remove(random.nextInt(delayedAppends.size())));
    }
  }

  private void recover(List<Process> processes, Random random) {
    log.setFaults(LogFaults.none());
    for (int round = 0; round < 200; round++) {
      now += 100 * NANOS_PER_MILLI;
      processes.forEach(process -> process.send(random, true));
      processes.forEach(Process::read);
      if (round == 100) {
        delayedAppends.forEach(record -> log.append(STREAM, record));
      }
    }
  }

  private static void check(Process process, Process other) {
    assertEquals(List.copyOf(other.applied.entrySet()), List.copyOf(process.applied.entrySet()));
    assertEquals(0, process.queue.size());
    process.outcomes.forEach(
        (id, end) -> {
          if (end instanceof Result.Failed<Position> failed) {
            boolean notRun = failed.failure().kind() == ErrorKind.LOG_UNAVAILABLE;
            assertTrue(
                !notRun || !process.applied.containsKey(id),
                id + " was reported as not run but was applied");
          } else {
            assertEquals(end.value(), process.applied.get(id), id);
          }
        });
  }
}
