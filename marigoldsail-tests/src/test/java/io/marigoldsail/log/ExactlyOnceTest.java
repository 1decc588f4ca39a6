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
  private static final long MILLI = 1_000_000;
  private static final int STEPS = 400;

  private final List<byte[]> onTheWay = new ArrayList<>();
  private FakeLogService log;
  private long now;

  /** The reader and append queue of one process, without threads. */
  private final class Process implements Fold, StreamListener {
    private final Map<String, Position> applied = new LinkedHashMap<>();
    private final Map<String, Result<Position>> told = new LinkedHashMap<>();
    private final StreamCursor cursor = new StreamCursor(this, false, this, (at, reason, n) -> {});
    private final EntryIds ids;
    private final AppendQueue queue;

    private Process(int number, Random random) {
      ids = EntryIds.of("entry-" + number, number);
      queue =
          new AppendQueue(AppendSettings.usual(), new Backoff(50 * MILLI, 1_000 * MILLI, random));
    }

    private void offer(long deadline) {
      String id = ids.next();
      byte[] encoded = RecordCodec.entry(id, "t", JsonNodeFactory.instance.objectNode());
      long sequence = EntryIds.parse(id).orElseThrow().sequence();
      Pending entry =
          new Pending(
              id, sequence, encoded, deadline, end -> assertEquals(null, told.put(id, end)));
      queue.offer(entry, now).ifPresent(failure -> told.put(id, Result.failed(failure)));
    }

    private void send(Random random, boolean healthy) {
      queue.expire(now).forEach(Completion::tell);
      Batch batch = queue.takeBatch(now).orElse(null);
      if (batch != null) {
        Result<Long> result = healthy ? log.append(STREAM, batch.record()) : spoil(batch, random);
        queue.appended(batch, result, now).forEach(Completion::tell);
      }
    }

    private Result<Long> spoil(Batch batch, Random random) {
      return switch (random.nextInt(5)) {
        case 0 -> Result.failed(ErrorKind.LOG_UNAVAILABLE, "refused");
        case 1 -> Result.failed(ErrorKind.LOG_OUTCOME_UNKNOWN, "request lost");
        case 2 -> {
          onTheWay.add(batch.record());
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
        queue.reachedEnd();
      }
    }

    @Override
    public void apply(LogEntry entry) {
      assertEquals(null, applied.put(entry.id(), entry.position()), entry.id() + " was applied twice");
    }

    @Override
    public void applied(LogEntry entry) {
      queue.readBack(entry.id(), entry.position()).ifPresent(Completion::tell);
    }

    @Override
    public JsonNode snapshot() {
      return JsonNodeFactory.instance.objectNode();
    }

    @Override
    public void restore(JsonNode snapshot) {}
  }

  @Property(seed = "3601", tries = 150)
  void whatCallersAreToldIsWhatTheStreamHolds(@ForAll @IntRange(min = 0) int seed) {
    // All tries of a property share one instance.
    log = new FakeLogService();
    onTheWay.clear();
    now = 0;
    Random random = new Random(seed);
    List<Process> processes = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      processes.add(new Process(i, random));
    }
    for (int step = 0; step < STEPS; step++) {
      now += random.nextInt(40) * MILLI;
      log.setFaults(LogFaults.none().withStaleRecords(random.nextInt(4) == 0 ? 2 : 0));
      Process process = processes.get(random.nextInt(3));
      switch (random.nextInt(4)) {
        case 0 -> process.offer(now + (1 + random.nextInt(3_000)) * MILLI);
        case 1 -> process.send(random, false);
        case 2 -> process.read();
        default -> deliverLate(random);
      }
    }
    heal(processes, random);
    processes.forEach(process -> check(process, processes.get(0)));
  }

  private void deliverLate(Random random) {
    if (!onTheWay.isEmpty()) {
      log.append(STREAM, onTheWay.remove(random.nextInt(onTheWay.size())));
    }
  }

  private void heal(List<Process> processes, Random random) {
    log.setFaults(LogFaults.none());
    for (int round = 0; round < 200; round++) {
      now += 100 * MILLI;
      processes.forEach(process -> process.send(random, true));
      processes.forEach(Process::read);
      if (round == 100) {
        onTheWay.forEach(record -> log.append(STREAM, record));
      }
    }
  }

  private static void check(Process process, Process other) {
    assertEquals(List.copyOf(other.applied.entrySet()), List.copyOf(process.applied.entrySet()));
    assertEquals(0, process.queue.size());
    process.told.forEach(
        (id, end) -> {
          if (end instanceof Result.Failed<Position> failed) {
            boolean notRun = failed.failure().kind() == ErrorKind.LOG_UNAVAILABLE;
            assertTrue(
                !notRun || !process.applied.containsKey(id), id + " was reported as not run but was applied");
          } else {
            assertEquals(end.value(), process.applied.get(id), id);
          }
        });
  }
}
