package io.marigoldsail.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.marigoldsail.log.LogEntry;
import io.marigoldsail.log.Position;
import java.util.List;
import org.junit.jupiter.api.Test;

class TaskFoldTest {
  private static final Sizes SIZES = new Sizes(1, 2, 3);
  private static final List<TaskRecord> ONE_OF_EACH =
      List.of(
          new TaskRecord.JobAccepted(
              new JobSpec(
                  "job",
                  "team",
                  TaskClass.BATCH,
                  2,
                  SIZES,
                  "run",
                  1,
                  true,
                  9,
                  true,
                  5,
                  Spread.RACK),
              4),
          new TaskRecord.VmJoined(new VmDescription("vm-1", 7, SIZES, "zone", "rack")),
          new TaskRecord.Claimed("job/0", 1, "vm-1", 65_536, SIZES, 1_000, "entry-1"),
          new TaskRecord.Claimed("job/9", 1, "vm-1", 65_536, SIZES, 1_000, "entry-1", SIZES),
          new TaskRecord.Checkpointed("job/0", 131_072, "c1"),
          new TaskRecord.Released("job/0", 131_072, ReleaseCause.EVICTED, "c2", "noisy"),
          new TaskRecord.Ended("job/0", 131_072, true, "c2", ""),
          new TaskRecord.Preempted("job/1", 1, "vm-1", 65_536, SIZES, List.of(), 0, "entry-1"),
          new TaskRecord.VmRevoked("vm-1", 65_536, "silent"),
          new TaskRecord.VmCleared("vm-1", 65_536, 1_000),
          new TaskRecord.JobCancelled("job", "why"),
          new TaskRecord.Heartbeat("entry-1", 3, List.of("vm-1"), List.of("vm-2")));

  private final TaskTable table = new TaskTable();
  private final TaskFold fold = new TaskFold(table);

  private static LogEntry entry(long offset, TaskRecord record) {
    return new LogEntry(
        new Position(offset, 0),
        "entry-1/1/" + offset,
        TaskRecordCodec.type(record),
        TaskRecordCodec.body(record));
  }

  @Test
  void everyKindOfRecordRoundTrips() {
    for (TaskRecord record : ONE_OF_EACH) {
      JsonNode body = TaskRecordCodec.body(record);
      assertEquals(record, TaskRecordCodec.read(TaskRecordCodec.type(record), body).value());
    }
  }

  @Test
  void aSnapshotRoundTripsAfterEveryRecord() {
    for (int offset = 0; offset < ONE_OF_EACH.size(); offset++) {
      fold.apply(entry(offset, ONE_OF_EACH.get(offset)));
      TaskFold copy = new TaskFold(new TaskTable());
      copy.restore(fold.snapshot());
      assertEquals(fold.snapshot(), copy.snapshot());
    }
    assertEquals(2, table.job("job").orElseThrow().cancelled());
  }

  @Test
  void invalidAndUnknownEntriesAreIgnored() {
    JsonNode before = fold.snapshot();
    ObjectNode empty = JsonNodeFactory.instance.objectNode();
    fold.apply(new LogEntry(new Position(0, 0), "x/1/1", "claimed", empty));
    fold.apply(new LogEntry(new Position(1, 0), "x/1/2", "of-a-newer-version", empty));
    fold.apply(
        new LogEntry(
            new Position(2, 0),
            "x/1/3",
            "job-accepted",
            ((ObjectNode) TaskRecordCodec.body(ONE_OF_EACH.get(0))).put("job", "no object")));

    assertEquals(before, fold.snapshot());
  }

  /**
   * An entry is upgraded and reads a snapshot from before preemptions were known. Refusing it would
   * leave the entry without tasks until the old records are read, which may have expired.
   */
  @Test
  void aSnapshotWithoutPreemptionsIsAccepted() {
    fold.apply(entry(0, ONE_OF_EACH.get(0)));
    ObjectNode older = (ObjectNode) fold.snapshot();
    older.remove("preemptions");
    TaskFold copy = new TaskFold(new TaskTable());
    copy.restore(older);

    assertEquals(fold.snapshot(), copy.snapshot());
  }

  @Test
  void anEmptySnapshotIsRejected() {
    ObjectNode empty = JsonNodeFactory.instance.objectNode();

    assertThrows(IllegalArgumentException.class, () -> fold.restore(empty));
    assertFalse(table.job("job").isPresent());
  }
}
