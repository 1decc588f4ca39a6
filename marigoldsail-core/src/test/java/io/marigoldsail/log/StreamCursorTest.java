package io.marigoldsail.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

final class StreamCursorTest {
  private final List<byte[]> records = new ArrayList<>();
  private final ListFold fold = new ListFold();
  private final StreamCursor cursor = cursor(fold, false);

  private static StreamCursor cursor(Fold fold, boolean beginAnew) {
    return new StreamCursor(fold, beginAnew, new StreamListener() {}, (offset, why, count) -> {});
  }

  @Test
  void lateDuplicateIsDropped() {
    // The answer to a publish is lost, so the entry appends it again. The first copy sat in a
    // network buffer and arrives thousands of records later. A window of the last ids would have
    // moved on by then, and the old configuration would be in force again.
    append("entry-1/a/1");
    for (int i = 1; i <= 5_000; i++) {
      append("entry-2/b/" + i);
    }
    append("entry-1/a/1");

    readToEnd(cursor, 0);

    assertEquals(5_001, fold.ids().size());
  }

  @Test
  void unreadableRecordsAreSkipped() {
    append("entry-1/a/1");
    records.add("not json".getBytes(StandardCharsets.UTF_8));
    records.add("{\"v\":9}".getBytes(StandardCharsets.UTF_8));
    appendOfType("broken", "entry-1/a/2");
    append("entry-1/a/3");

    readToEnd(cursor, 0);

    assertEquals(List.of("entry-1/a/1", "entry-1/a/3"), fold.ids());
    assertEquals(3, cursor.status(false).skippedCount());
    assertEquals(1, cursor.status(false).newerVersionCount());
    assertTrue(cursor.status(false).caughtUp());
  }

  @Test
  void stateIsKeptAfterExpiryUntilASnapshotIsFound() {
    // A process is frozen while retention drops records that it has not read. If it went on with
    // what is left, it would miss what was accepted meanwhile and differ from all others.
    append("entry-1/a/1");
    readToEnd(cursor, 0);
    append("entry-1/a/2");
    append("entry-1/a/3");
    ListFold others = new ListFold();
    StreamCursor other = cursor(others, false);
    readToEnd(other, 0);
    int expired = records.size();
    append("entry-1/a/4");

    readToEnd(cursor, expired);
    assertTrue(cursor.status(false).seekingSnapshot());
    assertFalse(cursor.status(false).caughtUp());
    assertEquals(List.of("entry-1/a/1"), fold.ids());

    appendSnapshot(other.snapshot());
    append("entry-1/a/5");
    append("entry-1/a/3");
    readToEnd(cursor, expired);
    readToEnd(other, expired);

    assertTrue(cursor.status(false).caughtUp());
    assertEquals(others.ids(), fold.ids());
    assertEquals(5, fold.ids().size());
  }

  @Test
  void olderSnapshotIsNotRestored() {
    // A snapshot that was begun before an expiry is older than the state of the reader that looks
    // for one. Taking it would put an older configuration in force again.
    ListFold early = new ListFold();
    StreamCursor slow = cursor(early, false);
    append("entry-1/a/1");
    readToEnd(slow, 0);
    append("entry-1/a/2");
    append("entry-1/a/3");
    readToEnd(cursor, 0);
    int expired = records.size() + 1;
    append("entry-1/a/4");
    appendSnapshot(slow.snapshot());

    readToEnd(cursor, expired);

    assertTrue(cursor.status(false).seekingSnapshot());
    assertEquals(3, fold.ids().size());
  }

  @Test
  void startsEmptyAfterExpiryOnlyIfConfigured() {
    ListFold anew = new ListFold();
    StreamCursor told = cursor(anew, true);
    LogPage nothingLeft = new LogPage(List.of(), 7, 7);

    cursor.accept(nothingLeft);
    told.accept(nothingLeft);

    assertTrue(cursor.status(false).seekingSnapshot());
    assertTrue(told.status(false).caughtUp());
    assertEquals(7, told.nextOffset());
  }

  @Test
  void invalidSnapshotsAreSkipped() {
    append("entry-1/a/1");
    StreamSnapshot wrong =
        new StreamSnapshot(
            1, JsonNodeFactory.instance.textNode("x"), JsonNodeFactory.instance.arrayNode());
    appendSnapshot(wrong);
    String part = "{\"snapshot\":\"s\",\"through\":1,\"part\":0,\"parts\":1,\"data\":\"####\"}";
    records.add(
        ("{\"v\":1,\"entries\":[{\"id\":\"e/1/1\",\"type\":\"snapshot-part\",\"body\":"
                + part
                + "}]}")
            .getBytes(StandardCharsets.UTF_8));

    readToEnd(cursor, 1);

    assertTrue(cursor.status(false).seekingSnapshot());
    assertEquals(3, cursor.nextOffset());
  }

  @Test
  void haltsOnReplacedHistoryAndResumesOnTheFormerOne() {
    // The platform goes on from a copy that lacks the last record; another writer's record takes
    // its offset before this reader asks again. Before, the reader applied what came behind it and
    // differed from all others for ever, without a word.
    append("entry-1/a/1");
    append("entry-1/a/2");
    readToEnd(cursor, 0);
    byte[] lost = records.remove(1);
    append("entry-2/b/1");
    append("entry-2/b/2");

    readOnce(cursor);

    assertEquals(List.of("entry-1/a/1", "entry-1/a/2"), fold.ids());
    assertEquals(1, cursor.status(false).historyReplacementCount());
    assertFalse(cursor.status(false).caughtUp());

    records.subList(1, records.size()).clear();
    records.add(lost);
    append("entry-1/a/3");
    readOnce(cursor);
    readOnce(cursor);

    assertEquals(List.of("entry-1/a/1", "entry-1/a/2", "entry-1/a/3"), fold.ids());
    assertTrue(cursor.status(false).caughtUp());
  }

  @Test
  void laggingReplicaIsNotAReplacedHistory() {
    append("entry-1/a/1");
    append("entry-1/a/2");
    readToEnd(cursor, 0);
    byte[] unseen = records.remove(1);

    for (int i = 0; i < 5; i++) {
      readOnce(cursor);
    }
    assertEquals(0, cursor.status(false).historyReplacementCount());

    records.add(unseen);
    append("entry-1/a/3");
    for (int i = 0; i < 3; i++) {
      readOnce(cursor);
    }
    assertEquals(3, fold.ids().size());
    assertEquals(0, cursor.status(false).historyReplacementCount());
  }

  @Test
  void streamThatEndsBeforeTheRetainedRecordsIsAReplacedHistory() {
    // A log set up anew long after the beginning of the old one expired: nothing can be compared.
    for (int i = 1; i <= 9; i++) {
      append("entry-1/a/" + i);
    }
    readToEnd(cursor, 0);
    cursor.accept(new LogPage(List.of(), 7, 9));

    cursor.accept(new LogPage(List.of(), 0, 2));

    assertEquals(1, cursor.status(false).historyReplacementCount());
    assertEquals(9, fold.ids().size());
  }

  @Property(seed = "3301", tries = 100)
  void everyReaderReachesTheSameState(
      @ForAll @IntRange(min = 0, max = 1_000_000) int seed,
      @ForAll @IntRange(min = 1, max = 120) int length) {
    Random random = new Random(seed);
    records.clear();
    ListFold all = new ListFold();
    StreamCursor first = cursor(all, false);
    List<StreamSnapshot> snapshots = new ArrayList<>();
    int[] last = new int[4];
    for (int i = 0; i < length; i++) {
      int writer = random.nextInt(last.length);
      int sequence = random.nextInt(3) > 0 ? ++last[writer] : 1 + random.nextInt(last[writer] + 1);
      last[writer] = Math.max(last[writer], sequence);
      append("entry-" + writer + "/a/" + sequence);
      readToEnd(first, 0);
      snapshots.add(first.snapshot());
    }

    for (StreamSnapshot snapshot : snapshots) {
      ListFold late = new ListFold();
      StreamCursor reader = cursor(late, false);
      assertTrue(reader.restore(StreamSnapshot.fromJson(snapshot.toJson())));
      readToEnd(reader, 0);
      assertEquals(all.ids(), late.ids());
    }
  }

  /** Lets a reader ask once for what it wants next. */
  private void readOnce(StreamCursor reader) {
    StreamCursor.ReadMode wanted = reader.nextReadMode();
    List<LogRecord> page = new ArrayList<>();
    for (long at = reader.offsetOf(wanted);
        at < records.size() && page.size() < wanted.maxRecords(50);
        at++) {
      page.add(new LogRecord(at, records.get((int) at)));
    }
    reader.accept(wanted, new LogPage(page, 0, records.size()));
  }

  private void append(String... ids) {
    appendOfType("t", ids);
  }

  private void appendOfType(String type, String... ids) {
    List<byte[]> entries = new ArrayList<>();
    for (String id : ids) {
      entries.add(RecordCodec.encodeEntry(id, type, JsonNodeFactory.instance.objectNode()));
    }
    records.add(RecordCodec.encodeRecord(entries));
  }

  private void appendSnapshot(StreamSnapshot snapshot) {
    int sequence = 0;
    for (var part : SnapshotParts.split(snapshot, "s" + records.size())) {
      sequence++;
      String id = "writer-" + records.size() + "/1/" + sequence;
      records.add(
          RecordCodec.encodeRecord(List.of(RecordCodec.encodeEntry(id, SnapshotParts.TYPE, part))));
    }
  }

  /** Reads to the end in pages of 50 while everything before an offset has expired. */
  private void readToEnd(StreamCursor reader, long firstOffset) {
    boolean more = true;
    for (int pages = 0; more; pages++) {
      assertTrue(pages < 10_000, "the reader goes round in circles");
      long from = Math.max(firstOffset, reader.nextOffset());
      List<LogRecord> page = new ArrayList<>();
      for (long at = from; at < records.size() && page.size() < 50; at++) {
        page.add(new LogRecord(at, records.get((int) at)));
      }
      reader.accept(new LogPage(page, firstOffset, records.size()));
      more = reader.nextOffset() < records.size();
    }
  }
}
