package io.marigoldsail.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.marigoldsail.configuration.ConfigurationCheck;
import io.marigoldsail.configuration.ConfigurationFold;
import io.marigoldsail.configuration.ConfigurationPublisher;
import io.marigoldsail.configuration.PublishRequest;
import io.marigoldsail.configuration.PublishResult;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Result;
import io.marigoldsail.json.Json;
import io.marigoldsail.log.AppendSettings;
import io.marigoldsail.log.EntryIdGenerator;
import io.marigoldsail.log.FollowerSettings;
import io.marigoldsail.log.LogAppender;
import io.marigoldsail.log.SnapshotSettings;
import io.marigoldsail.log.SnapshotWriter;
import io.marigoldsail.log.StreamFollower;
import io.marigoldsail.log.StreamListener;
import io.marigoldsail.log.StreamStatus;
import io.marigoldsail.testlib.platform.FakeLogService;
import io.marigoldsail.testlib.platform.LogFaults;
import io.marigoldsail.time.MonotonicClock;
import io.marigoldsail.time.WallClock;
import io.marigoldsail.timeline.EventRecorder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The configuration over the real follower and appender, on a log that fails as it is told. */
final class ConfigurationFaultsTest {
  private static final String STREAM = ProcessRuntime.CONFIGURATION_STREAM;
  private static final long TIMEOUT_SECONDS = 30;

  /** A snapshot after every fifth record, at once. */
  private static final SnapshotSettings SNAPSHOTS = new SnapshotSettings(5, 600_000, 1, 0);

  private final FakeLogService log = new FakeLogService();
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final List<Member> members = new ArrayList<>();

  /** One process's part: fold, stream, publisher, and every revision that was in force. */
  private final class Member implements AutoCloseable {
    final ConfigurationCheck check = new ConfigurationCheck();
    final ConfigurationFold fold = new ConfigurationFold(check);
    final List<Long> revisions = new ArrayList<>();
    final StreamFollower follower;
    final LogAppender appender;
    final ConfigurationPublisher publisher;

    Member(String name, long incarnation) {
      MonotonicClock clock = MonotonicClock.system();
      SplittableRandom random = new SplittableRandom(incarnation);
      follower =
          new StreamFollower(log, STREAM, fold, FollowerSettings.defaults(), clock, random.split());
      appender =
          new LogAppender(
              log,
              follower,
              EntryIdGenerator.of(name, incarnation),
              AppendSettings.defaults(),
              clock,
              random.split());
      SnapshotWriter.attach(follower, appender, SNAPSHOTS, clock, random.split());
      publisher =
          new ConfigurationPublisher(
              fold,
              check,
              (type, body) -> appender.append(type, body),
              EventRecorder.none(),
              MonotonicClock.system(),
              WallClock.system(),
              executor,
              name + "/" + incarnation);
      fold.addInForceListener(state -> addRevision(state.revisionInForce()));
    }

    private synchronized void addRevision(long revision) {
      revisions.add(revision);
    }

    synchronized void assertRevisionsNeverDecrease() {
      assertEquals(revisions.stream().sorted().toList(), revisions);
    }

    CompletableFuture<Result<PublishResult>> publish(String file, int waiting) {
      long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
      return publisher.publish(request(file, waiting), deadline);
    }

    /** Returns once the revision is in force here. */
    void awaitRevision(long revision) throws Exception {
      CompletableFuture<Long> reached = new CompletableFuture<>();
      fold.addInForceListener(
          state -> {
            if (state.revisionInForce() >= revision) {
              reached.complete(state.revisionInForce());
            }
          });
      reached.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
      appender.close();
      follower.close();
    }
  }

  private static PublishRequest request(String file, int waiting) {
    String site = file.equals("base") ? "" : "\"site\":\"" + file + "\",";
    String text = "{" + site + "\"services\":{\"parking\":{\"maxWaiting\":" + waiting + "}}}";
    JsonNode content = Json.parse("x", text.getBytes(StandardCharsets.UTF_8)).value();
    return new PublishRequest(file, content, "operator-" + waiting, "", OptionalLong.empty());
  }

  private Member start(String name, long incarnation) {
    Member member = new Member(name, incarnation);
    members.add(member);
    member.follower.start();
    member.appender.start();
    return member;
  }

  private static Result<PublishResult> get(CompletableFuture<Result<PublishResult>> told)
      throws Exception {
    return told.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  @AfterEach
  void stop() {
    members.forEach(Member::assertRevisionsNeverDecrease);
    members.forEach(Member::close);
    executor.shutdownNow();
  }

  /**
   * Story: ten operators publish at once through three entries while the log stores records and
   * loses every second answer. One order comes out; what was told as accepted is in it, each once.
   */
  @Test
  void configurationStaysInForceWhenLogIsRecreated() throws Exception {
    // The platform sets the log up anew, empty. Without a guard every process stayed deaf until the
    // new stream was as long as the old one, then went on in its middle as if it were the old one;
    // a process that started later knew no configuration at all.
    Member first = start("entry-1", 1);
    Member second = start("entry-2", 2);
    for (int waiting = 1; waiting <= 3; waiting++) {
      assertTrue(get(first.publish("base", waiting)).isOk());
    }
    second.awaitRevision(3);
    CompletableFuture<StreamStatus> firstWentOn = resumedOnNewHistory(first);
    CompletableFuture<StreamStatus> secondWentOn = resumedOnNewHistory(second);

    log.truncateNewest(Integer.MAX_VALUE);
    assertTrue(
        log.append(STREAM, "{\"v\":1,\"entries\":[]}".getBytes(StandardCharsets.UTF_8)).isOk());

    firstWentOn.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    secondWentOn.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertEquals(3, first.fold.state().revisionInForce());
    Result<PublishResult> next = get(second.publish("base", 4));
    assertEquals(4, next.value().revision());
    first.awaitRevision(4);
    Member later = start("entry-3", 3);
    later.awaitRevision(4);
    assertEquals(1, first.follower.status().historyReplacementCount());
  }

  /** Completes once the member reads on in another history. */
  private static CompletableFuture<StreamStatus> resumedOnNewHistory(Member member) {
    CompletableFuture<StreamStatus> wentOn = new CompletableFuture<>();
    member.follower.addListener(
        new StreamListener() {
          @Override
          public void pageApplied(StreamStatus status) {
            if (status.historyReplacementCount() > 0 && !status.seekingSnapshot()) {
              wentOn.complete(status);
            }
          }
        });
    return wentOn;
  }

  @Test
  void concurrentPublishesWithLostResponsesAreAcceptedOnce() throws Exception {
    List<Member> entries = List.of(start("e-1", 1), start("e-2", 2), start("e-3", 3));
    log.setFaults(LogFaults.none().withLoseAnswers(8).withDoubleAppends(4));
    List<CompletableFuture<Result<PublishResult>>> told = new ArrayList<>();
    String[] files = {"base", "vatulele", "kitamizora", "suva"};
    for (int i = 0; i < 10; i++) {
      told.add(entries.get(i % 3).publish(files[i % files.length], i + 1));
    }
    List<Long> accepted = new ArrayList<>();
    for (CompletableFuture<Result<PublishResult>> one : told) {
      Result<PublishResult> result = get(one);
      if (result.isOk()) {
        accepted.add(result.value().revision());
      } else {
        ErrorKind kind = ((Result.Failed<PublishResult>) result).failure().kind();
        assertEquals(ErrorKind.CONFLICT, kind);
      }
    }
    accepted.sort(null);
    List<Long> expected = new ArrayList<>();
    for (long revision = 1; revision <= accepted.size(); revision++) {
      expected.add(revision);
    }
    assertEquals(expected, accepted, "each accepted publish made a revision of its own");
    for (Member entry : entries) {
      entry.awaitRevision(accepted.size());
      assertEquals(
          entries.get(0).fold.snapshot().path("files"), entry.fold.snapshot().path("files"));
    }
  }

  /**
   * Story: the log is down for a while; a publish is refused or its outcome unknown, never
   * accepted. When the log is back the same publish gets in once, and all entries have it.
   */
  @Test
  void publishDuringOutageIsNotReportedAsAccepted() throws Exception {
    Member first = start("e-1", 1);
    Member second = start("e-2", 2);
    assertTrue(get(first.publish("base", 1)).isOk());
    second.awaitRevision(1);
    log.setFaults(LogFaults.none().withDown(true));
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(300);
    Result<PublishResult> during = get(first.publisher.publish(request("base", 2), deadline));
    assertTrue(!during.isOk(), () -> "accepted while the log was down: " + during);
    log.setFaults(LogFaults.none());
    Result<PublishResult> after = get(first.publish("base", 2));
    assertEquals(2, after.value().revision());
    second.awaitRevision(2);
    assertEquals(2, second.fold.state().revision());
  }

  /**
   * Story: the log keeps records for a while only; the publishes that made the configuration
   * expire. An entry that is replaced afterwards must come to the same configuration from a
   * snapshot in the stream, and not serve on what the few remaining records say.
   */
  @Test
  void entryStartsFromSnapshotAfterRecordsExpired() throws Exception {
    Member first = start("e-1", 1);
    for (int i = 1; i <= 12; i++) {
      assertTrue(get(first.publish(i % 2 == 0 ? "base" : "vatulele", i)).isOk());
    }
    log.setFaults(LogFaults.none().withRetainedRecords(7));
    long kept = log.read(STREAM, 0, 1, 0).value().firstOffset();
    assertTrue(kept > 0, "the first publishes are gone");
    Member late = start("e-2", 2);
    late.awaitRevision(12);
    assertEquals(first.fold.snapshot().path("files"), late.fold.snapshot().path("files"));
    Result<PublishResult> next = get(late.publish("base", 99));
    assertEquals(13, next.value().revision());
    first.awaitRevision(13);
  }

  /**
   * Story: a process was frozen while the others published on and its next records expired. Awake,
   * it goes on with its old configuration until it finds a snapshot, and never below what it had.
   */
  @Test
  void pausedProcessCatchesUpFromSnapshot() throws Exception {
    Member first = start("e-1", 1);
    Member frozen = start("e-2", 2);
    assertTrue(get(first.publish("base", 1)).isOk());
    frozen.awaitRevision(1);
    JsonNode known = frozen.fold.snapshot();
    frozen.close();
    for (int i = 2; i <= 12; i++) {
      assertTrue(get(first.publish("base", i)).isOk());
    }
    log.setFaults(LogFaults.none().withRetainedRecords(7));
    Member awake = new Member("e-2", 3);
    members.add(awake);
    awake.fold.restore(known);
    awake.follower.start();
    awake.appender.start();
    awake.awaitRevision(12);
    assertEquals(first.fold.snapshot().path("files"), awake.fold.snapshot().path("files"));
  }

  /**
   * Story: two entries are told different ends of the log by its replicas. The one that reads the
   * stale end publishes over what it has not seen: it must be told, not accepted.
   */
  @Test
  void publishOverStaleEndConflicts() throws Exception {
    Member first = start("e-1", 1);
    assertTrue(get(first.publish("base", 1)).isOk());
    Member stale = start("e-2", 2);
    stale.awaitRevision(1);
    log.setFaults(LogFaults.none().withStaleRecords(1));
    CompletableFuture<Result<PublishResult>> one = first.publish("base", 2);
    CompletableFuture<Result<PublishResult>> other = stale.publish("base", 3);
    log.setFaults(LogFaults.none());
    long accepted = List.of(get(one), get(other)).stream().filter(Result::isOk).count();
    assertEquals(1, accepted);
    first.awaitRevision(2);
    stale.awaitRevision(2);
    assertEquals(first.fold.snapshot().path("files"), stale.fold.snapshot().path("files"));
  }
}
