package io.marigoldsail.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

final class SnapshotScheduleTest {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final SnapshotSettings SETTINGS = new SnapshotSettings(100, 60_000, 4_000, 2_000);

  private static SnapshotSchedule schedule(int seed) {
    return new SnapshotSchedule(SETTINGS, new Random(seed), 0);
  }

  private static StreamStatus at(long applied, long firstOffset) {
    return new StreamStatus(applied, applied, firstOffset, false, false, 0, 0, 0, false);
  }

  @Property(seed = "3401", tries = 50)
  void fewOfManyProcessesWrite(
      @ForAll @IntRange(min = 0, max = 100_000) int seed,
      @ForAll @IntRange(min = 1, max = 9) int processes) {
    // Nine entries see at the same moment that a snapshot is due. If each wrote one, the log would
    // take nine copies of the state at once. A part is seen by the others 20 ms after it was
    // written, so two may begin in one such gap.
    List<SnapshotSchedule> all = new ArrayList<>();
    for (int i = 0; i < processes; i++) {
      all.add(schedule(seed + i));
    }
    int writers = 0;
    long partSeenAt = Long.MAX_VALUE;
    for (long now = 0; now < 10_000 * NANOS_PER_MILLI; now += 5 * NANOS_PER_MILLI) {
      for (SnapshotSchedule one : all) {
        if (now >= partSeenAt) {
          one.recordSnapshot(100, now);
        }
        if (one.shouldWrite(at(100, 0), now)) {
          writers++;
          partSeenAt = Math.min(partSeenAt, now + 20 * NANOS_PER_MILLI);
        }
      }
    }

    assertTrue(writers >= 1 && writers <= 3, "writers " + writers);
  }

  @Test
  void writesWhenAnotherWriterStoppedHalfway() {
    // The process whose turn it was dies between two parts. The snapshot stays incomplete, and
    // unless another takes over the records before it expire without one.
    SnapshotSchedule schedule = schedule(1);
    assertFalse(schedule.shouldWrite(at(100, 0), 0));
    schedule.recordSnapshotPart(0);

    assertFalse(schedule.shouldWrite(at(100, 0), 1_999 * NANOS_PER_MILLI));
    assertTrue(schedule.shouldWrite(at(100, 0), 6_000 * NANOS_PER_MILLI));
  }

  @Test
  void writesBeforeTheLastSnapshotExpires() {
    SnapshotSchedule schedule = schedule(1);
    schedule.recordSnapshot(10, 0);
    assertEquals(false, due(schedule, at(50, 0), 1));
    assertEquals(false, due(schedule, at(19, 1), 10_000));
    assertEquals(false, due(schedule, at(15, 5), 20_000));
    assertEquals(true, due(schedule, at(50, 5), 30_000));
  }

  /**
   * A job is accepted on a young stream. Its records expire, and both entries die before the first
   * snapshot was due: nobody knows of the job any more. What retention keeps cannot be known before
   * something expired, so the first snapshot must not wait for that.
   */
  @Test
  void firstSnapshotIsWrittenBeforeAnythingExpires() {
    SnapshotSchedule schedule = schedule(1);
    assertEquals(false, due(schedule, at(15, 0), 0));
    assertEquals(true, due(schedule, at(16, 0), 10_000));
    schedule.recordSnapshot(16, 15_000 * NANOS_PER_MILLI);
    assertEquals(false, due(schedule, at(99, 0), 20_000));
    SnapshotSchedule early = schedule(2);
    early.recordSnapshot(4, 0);
    assertEquals(false, due(early, at(31, 0), 1));
    assertEquals(true, due(early, at(32, 0), 10_000));
  }

  /**
   * The same with a job so small that its records never reach the number that makes a first
   * snapshot due: they expired 20 s after they were written, and the job was lost.
   */
  @Test
  void fewRecordsGetASnapshotWithinSeconds() {
    SnapshotSchedule schedule = schedule(1);
    assertEquals(false, schedule.shouldWrite(at(13, 0), 0));
    assertEquals(false, schedule.shouldWrite(at(13, 0), 4_999 * NANOS_PER_MILLI));
    assertEquals(true, due(schedule, at(13, 0), 5_000));
    SnapshotSchedule empty = schedule(2);
    assertEquals(false, due(empty, at(0, 0), 50_000));
  }

  /**
   * Tasks report each 100 ms, and every other page is read while one more record has come. The
   * moment to write was drawn anew each time, and the records of a job expired without a snapshot.
   */
  @Test
  void busyStreamGetsASnapshotWithinTheJitter() {
    SnapshotSchedule schedule = schedule(1);
    boolean written = false;
    for (int page = 0; page <= 41; page++) {
      long applied = 20 + page;
      StreamStatus behind = new StreamStatus(applied, applied + 1, 0, false, false, 0, 0, 0, false);
      long now = page * 100 * NANOS_PER_MILLI;
      written |= schedule.shouldWrite(page % 2 == 0 ? at(applied, 0) : behind, now);
    }
    assertTrue(written);
  }

  @Test
  void quietStreamGetsASnapshotByAge() {
    SnapshotSchedule schedule = schedule(1);
    schedule.recordSnapshot(10, 0);

    assertEquals(false, due(schedule, at(11, 0), 50_000));
    assertEquals(true, due(schedule, at(11, 0), 61_000));
  }

  @Test
  void incompleteStateIsNotWritten() {
    SnapshotSchedule schedule = schedule(1);
    StreamStatus behind = new StreamStatus(500, 900, 0, false, false, 0, 0, 0, false);
    StreamStatus older = new StreamStatus(500, 500, 0, false, false, 1, 1, 0, false);

    assertEquals(false, due(schedule, behind, 100_000));
    assertEquals(false, due(schedule, older, 200_000));
  }

  /** Asks at a time in milliseconds, and again after the whole span in which a moment is drawn. */
  private static boolean due(SnapshotSchedule schedule, StreamStatus status, long millis) {
    boolean first = schedule.shouldWrite(status, millis * NANOS_PER_MILLI);
    return first || schedule.shouldWrite(status, (millis + 4_001) * NANOS_PER_MILLI);
  }
}
