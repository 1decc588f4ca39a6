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

/** Followers, appenders and snapshot writers in their threads, against a log that fails. */
final class LogAppenderTest {
  private static final String STREAM = "tasks";
  private static final long TIMEOUT_SECONDS = 60;
  private static final SnapshotSettings FREQUENT_SNAPSHOTS =
      new SnapshotSettings(20, 3_600_000, 20, 50);

  private final FakeLogService log = new FakeLogService();
  private final MonotonicClock clock = MonotonicClock.system();
  private final List<Member> members = new ArrayList<>();

  /** One process's share in the stream. */
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
      assertTrue(follower.awaitApplied(offset, deadline), "not at " + offset);
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
    // Every third answer of the log is lost after it took effect, records are stored twice, and
    // reads lag behind the tail. Three entries append at once: each entry counts once, in the same
    // order for all, and each caller is told where.
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
      // What a stale reader does not see yet comes into sight here; the next round goes on
      // meanwhile.
      log.setFaults(log.faults().withStaleRecords(0));
    }
    log.setFaults(LogFaults.none());

    HashSet<Position> places = new HashSet<>();
    for (CompletableFuture<Result<Position>> one : appended) {
      places.add(one.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).value());
    }
    assertEquals(120, places.size());
    for (Member member : three) {
      member.awaitApplied(log.nextOffset(STREAM));
      assertEquals(three.get(0).fold.state(), member.fold.state());
      assertEquals(120, member.fold.count());
    }
  }

  @Test
  void resumesAfterAnOutage() throws Exception {
    // The log is down. An entry whose caller can wait is kept and counts once afterwards; one
    // whose caller cannot is refused as not run, and indeed never counts.
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
    // Retention keeps 60 records. Two processes run on while hundreds come; a third starts when
    // the beginning is long gone. It must come to their state, which only a snapshot can give.
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
    // Whoever hears of the restored state may act on it at once; told "not read far enough" then,
    // an operator's publish was refused right after the configuration had come into force. Nothing
    // more expires here: where the place of the restored state did, the outcome was rightly
    // unknown, since the entry was passed in a later snapshot.
    Member one = appendUntilOldestRecordsExpire();
    log.setFaults(LogFaults.none());
    CompletableFuture<Result<Position>> atOnce = new CompletableFuture<>();
    Member late =
        new Member(
            "entry-3",
            FREQUENT_SNAPSHOTS,
            member -> {
              var unused = member.append().thenAccept(atOnce::complete);
            });
    assertTrue(atOnce.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).isOk());

    one.awaitApplied(log.nextOffset(STREAM));
    late.awaitApplied(log.nextOffset(STREAM));
    assertEquals(301, one.fold.count());
    assertEquals(one.fold.state(), late.fold.state());
  }

  /** Returns one of two processes that are at the end of a stream whose beginning is gone. */
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

  /** Appends as soon as the process has read far enough to be allowed to. */
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
