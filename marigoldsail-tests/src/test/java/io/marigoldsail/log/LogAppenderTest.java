package io.marigoldsail.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Result;
import io.marigoldsail.testlib.platform.FakeLogService;
import io.marigoldsail.testlib.platform.LogFaults;
import io.marigoldsail.time.MonotonicClock;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Followers, appenders and snapshot writers with their threads, against a log with faults. */
final class LogAppenderTest {
  private static final String STREAM = "tasks";
  private static final long TIMEOUT_SECONDS = 60;
  private static final SnapshotSettings FREQUENT_SNAPSHOTS =
      new SnapshotSettings(20, 3_600_000, 20, 50);

  private final FakeLogService log = new FakeLogService();
  private final MonotonicClock clock = MonotonicClock.system();
  private final List<Member> members = new ArrayList<>();

  /** The follower and appender of one process. */
  private final class Member implements AutoCloseable {
    private final CountingFold fold = new CountingFold();
    private final StreamFollower follower;
    private final LogAppender appender;

    private Member(String name, SnapshotSettings snapshots) {
      this(name, snapshots, unused -> {});
    }

    private Member(String name, SnapshotSettings snapshots, Consumer<Member> restored) {
      Random random = new Random(name.hashCode());
      FollowerSettings settings = new FollowerSettings(50, 100, 1, 10, 100, false);
      follower = new StreamFollower(log, STREAM, fold, settings, clock, random);
      appender =
          new LogAppender(
              log,
              follower,
              EntryIdGenerator.of(name, random.nextLong()),
              AppendSettings.defaults().withMinIntervalMillis(1),
              clock,
              random);
      fold.onRestore(() -> restored.accept(this));
      SnapshotWriter.attach(follower, appender, snapshots, clock, random);
      follower.start();
      appender.start();
      members.add(this);
    }

    private CompletableFuture<Result<Position>> append() {
      long deadline = clock.nanos() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
      return appender.append("t", JsonNodeFactory.instance.objectNode(), deadline);
    }

    private void awaitApplied(long offset) throws InterruptedException {
      long deadline = clock.nanos() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
      assertTrue(follower.awaitApplied(offset, deadline), "did not apply up to offset " + offset);
    }

    @Override
    public void close() {
      appender.close();
      follower.close();
    }
  }

  private Member member(String name) {
    return new Member(name, new SnapshotSettings(1_000_000, 3_600_000, 100, 100));
  }

  @AfterEach
  void stop() {
    members.forEach(Member::close);
  }

  @Test
  void appendsOnceOverLostAnswersAndDoubledRecords() throws Exception {
    // Responses of the log are lost after the append took effect, records are stored twice, and
    // reads lag behind the tail. Three processes append concurrently: each entry is applied once,
    // in
    // the same order everywhere, and each caller gets its position.
    List<Member> three = List.of(member("entry-1"), member("entry-2"), member("entry-3"));
    List<CompletableFuture<Result<Position>>> appended = new ArrayList<>();
    for (int round = 0; round < 40; round++) {
      boolean lossy = round % 3 == 0;
      log.setFaults(
          LogFaults.none()
              .withLoseAnswers(lossy ? 2 : 0)
              .withDoubleAppends(round % 5 == 0 ? 1 : 0)
              .withStaleRecords(round % 2));
      three.forEach(member -> appended.add(member.append()));
      // Makes the hidden newest records visible while the next round continues.
      log.setFaults(log.faults().withStaleRecords(0));
    }
    log.setFaults(LogFaults.none());

    HashSet<Position> positions = new HashSet<>();
    for (CompletableFuture<Result<Position>> one : appended) {
      positions.add(one.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).value());
    }
    assertEquals(120, positions.size());
    for (Member member : three) {
      member.awaitApplied(log.nextOffset(STREAM));
      assertEquals(three.get(0).fold.state(), member.fold.state());
      assertEquals(120, member.fold.count());
    }
  }

  @Test
  void resumesAfterAnOutage() throws Exception {
    // The log is down. An entry whose caller can wait is queued and applied once afterwards; one
    // whose deadline passes is refused as not run and never applied.
    Member member = member("entry-1");
    assertTrue(member.append().get(TIMEOUT_SECONDS, TimeUnit.SECONDS).isOk());
    log.setFaults(LogFaults.none().withDown(true));
    CompletableFuture<Result<Position>> waits = member.append();
    Result<Position> refused =
        member
            .appender
            .append("t", JsonNodeFactory.instance.objectNode(), clock.nanos() + 1)
            .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertEquals(ErrorKind.LOG_UNAVAILABLE, ((Result.Failed<Position>) refused).failure().kind());

    log.setFaults(LogFaults.none());

    assertTrue(waits.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).isOk());
    assertEquals(2, member.fold.count());
    assertEquals(0, member.appender.pendingCount());
  }

  @Test
  void startsFromASnapshotWhenTheOldestRecordsHaveExpired() throws Exception {
    // The log retains 60 records. A third process starts when hundreds have been appended and the
    // oldest have expired. Only a snapshot can bring it to the state of the other two.
    Member one = appendUntilOldestRecordsExpire();

    Member late = new Member("entry-3", FREQUENT_SNAPSHOTS);
    assertTrue(awaitAppend(late).isOk());

    one.awaitApplied(log.nextOffset(STREAM));
    late.awaitApplied(log.nextOffset(STREAM));
    assertEquals(301, one.fold.count());
    assertEquals(one.fold.state(), late.fold.state());
    assertTrue(late.follower.status().firstOffset() > 200);
  }

  @Test
  void appendsAsSoonAsTheRestoredStateIsNotified() throws Exception {
    // A listener may append as soon as it is notified of the restored state. If the append failed
    // with "not read far enough", an operator's publish would be refused right after the
    // configuration came into force. Nothing expires in this phase: if the position of the restored
    // state expired, the entry could be covered by a later snapshot and the outcome would be
    // unknown.
    Member one = appendUntilOldestRecordsExpire();
    log.setFaults(LogFaults.none());
    CompletableFuture<Result<Position>> appendOnRestore = new CompletableFuture<>();
    Member late =
        new Member(
            "entry-3",
            FREQUENT_SNAPSHOTS,
            member -> {
              var unused = member.append().thenAccept(appendOnRestore::complete);
            });
    assertTrue(appendOnRestore.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).isOk());

    one.awaitApplied(log.nextOffset(STREAM));
    late.awaitApplied(log.nextOffset(STREAM));
    assertEquals(301, one.fold.count());
    assertEquals(one.fold.state(), late.fold.state());
  }

  /** Returns one of two processes at the end of a stream whose oldest records have expired. */
  private Member appendUntilOldestRecordsExpire() throws Exception {
    Member one = new Member("entry-1", FREQUENT_SNAPSHOTS);
    Member two = new Member("entry-2", FREQUENT_SNAPSHOTS);
    log.setFaults(LogFaults.none().withRetainedRecords(60));
    for (int i = 0; i < 300; i++) {
      Member member = i % 2 == 0 ? one : two;
      assertTrue(member.append().get(TIMEOUT_SECONDS, TimeUnit.SECONDS).isOk());
    }
    return one;
  }

  /** Appends as soon as the process has read far enough for appends to be accepted. */
  private Result<Position> awaitAppend(Member member) throws Exception {
    member.awaitApplied(1);
    return member.append().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  @Test
  void completesOpenAppendsOnClose() throws Exception {
    Member member = member("entry-1");
    log.setFaults(LogFaults.none().withDown(true));
    CompletableFuture<Result<Position>> open = member.append();

    member.appender.close();

    Result<Position> end = open.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertTrue(end instanceof Result.Failed<Position>, end.toString());
    Result<Position> after = member.append().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertEquals(ErrorKind.LOG_UNAVAILABLE, ((Result.Failed<Position>) after).failure().kind());
  }
}
