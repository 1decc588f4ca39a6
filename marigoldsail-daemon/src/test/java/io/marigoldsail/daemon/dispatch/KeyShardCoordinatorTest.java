package io.marigoldsail.daemon.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.idempotency.KeyShardTable;
import io.marigoldsail.idempotency.KeyShards;
import io.marigoldsail.log.AppendSettings;
import io.marigoldsail.log.EntryIdGenerator;
import io.marigoldsail.log.FollowerSettings;
import io.marigoldsail.log.LogAppender;
import io.marigoldsail.log.StreamFollower;
import io.marigoldsail.testlib.platform.FakeLogService;
import io.marigoldsail.testlib.platform.StandInTarget;
import io.marigoldsail.testlib.platform.TargetRun;
import io.marigoldsail.time.MonotonicClock;
import io.marigoldsail.timeline.EventRecorder;
import java.net.InetSocketAddress;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Keyed requests through two entries that agree on homes by a log. */
class KeyShardCoordinatorTest {
  private static final int VMS = 3;

  /** An entry with its part of the stream of keys. */
  private final class EntryWithKeys implements AutoCloseable {
    private final KeyShardTable table = new KeyShardTable(MonotonicClock.system());
    private final StreamFollower follower;
    private final LogAppender appender;
    private final EntryUnderTest entry;
    private final KeyShardCoordinator coordinator;

    EntryWithKeys(FakeLogService log, int number) throws Exception {
      MonotonicClock clock = MonotonicClock.system();
      SplittableRandom random = new SplittableRandom(number);
      follower =
          new StreamFollower(
              log, KeyShardTable.STREAM, table, FollowerSettings.defaults(), clock, random.split());
      appender =
          new LogAppender(
              log,
              follower,
              EntryIdGenerator.of("entry-" + number, number),
              AppendSettings.defaults(),
              clock,
              random.split());
      entry =
          new EntryUnderTest(
              "entry-" + number,
              number,
              LinkSettings.DEFAULT,
              EventRecorder.none(),
              Optional.of(table),
              service -> detectsRepeats);
      coordinator = new KeyShardCoordinator(entry.loop(), table, appender::append, entry.links());
      follower.start();
      appender.start();
      coordinator.start();
    }

    CompletableFuture<HttpResponse<byte[]>> charge(String key, String query) {
      return entry.sendAsync(
          entry
              .request("/parking/charge" + query)
              .header(CallerHeaders.CALLER, "driver")
              .header(CallerHeaders.IDEMPOTENCY_KEY, key)
              .POST(HttpRequest.BodyPublishers.ofString("5 dollars")));
    }

    /** Waits until charges are served, that is until homes are claimed and vouched for. */
    void awaitServed(String prefix) {
      int[] tries = new int[1];
      Await.until(
          "keys are served", () -> charge(prefix + tries[0]++, "?warm").join().statusCode() == 200);
    }

    @Override
    public void close() {
      coordinator.close();
      entry.close();
      appender.close();
      follower.close();
    }
  }

  private final FakeLogService log = new FakeLogService();
  private final List<StandInTarget> targets = new ArrayList<>();
  private final List<SideUnderTest> sides = new ArrayList<>();
  private volatile boolean detectsRepeats;
  private EntryWithKeys first;
  private EntryWithKeys second;

  @BeforeEach
  void start() throws Exception {
    first = new EntryWithKeys(log, 1);
    second = new EntryWithKeys(log, 2);
    List<InetSocketAddress> entries = List.of(first.entry.address(), second.entry.address());
    for (int i = 0; i < VMS; i++) {
      StandInTarget target = new StandInTarget("target-" + i, "127.0.0.1", 0, 8, 64).start();
      SideUnderTest side = SideUnderTest.withHttpTarget("vm-" + i, 1, target.address());
      side.announceTo(entries);
      targets.add(target);
      sides.add(side);
    }
    first.entry.awaitTargets(VMS);
    second.entry.awaitTargets(VMS);
    Await.until(
        "both know all homes",
        () ->
            first.table.owners("parking").size() == KeyShards.COUNT
                && second.table.owners("parking").size() == KeyShards.COUNT);
    first.awaitServed("warm-1-");
    second.awaitServed("warm-2-");
  }

  @AfterEach
  void stop() {
    first.close();
    second.close();
    sides.forEach(SideUnderTest::close);
    targets.forEach(StandInTarget::close);
  }

  private List<TargetRun> chargeRuns() {
    List<TargetRun> runs = new ArrayList<>();
    targets.forEach(target -> runs.addAll(target.runs()));
    runs.removeIf(run -> run.path().contains("?warm"));
    return runs;
  }

  private static String text(HttpResponse<byte[]> answer) {
    return new String(answer.body(), StandardCharsets.UTF_8);
  }

  /**
   * Drivers lose patience and ask again through the other entry while their charge still runs, and
   * once more when it has ended. Each key's charge must run once, at one target.
   */
  @Test
  void repeatsThroughOtherEntryRunOnce() {
    int keys = 20;
    List<CompletableFuture<HttpResponse<byte[]>>> answers = new ArrayList<>();
    for (int i = 0; i < keys; i++) {
      String key = "pay-" + i;
      answers.add(first.charge(key, "?serviceMillis=100"));
      answers.add(second.charge(key, "?serviceMillis=100"));
    }
    int served = 0;
    for (CompletableFuture<HttpResponse<byte[]>> answer : answers) {
      served += answer.join().statusCode() == 200 ? 1 : 0;
    }
    assertTrue(served > keys, "served " + served);
    int ran = chargeRuns().size();
    assertTrue(ran <= keys, "ran " + ran);

    for (int i = 0; i < keys; i++) {
      Await.until("key " + i + " served", chargeIsServed("pay-" + i));
    }
    assertEquals(keys, chargeRuns().size());
    assertEquals(keys, chargeRuns().stream().map(TargetRun::idempotencyKey).distinct().count());
  }

  /**
   * Drivers pay with keys that have one home while its slots are taken for a moment, as when it has
   * just started. The rest of the fleet is idle, and the drivers have seconds to spare: they must
   * be served late and once, not be told that the service is full.
   */
  @Test
  void requestsToBrieflyFullOwnerAreRetried() {
    int home = ownerOf("pay-0");
    List<CompletableFuture<HttpResponse<byte[]>>> answers = new ArrayList<>();
    for (int i = 0; answers.size() < 30; i++) {
      if (ownerOf("pay-" + i) == home) {
        answers.add(first.charge("pay-" + i, "?serviceMillis=100"));
      }
    }
    for (CompletableFuture<HttpResponse<byte[]>> answer : answers) {
      assertEquals(200, answer.join().statusCode(), () -> text(answer.join()));
    }
    assertEquals(answers.size(), chargeRuns().size());
  }

  private java.util.function.BooleanSupplier chargeIsServed(String key) {
    return () -> second.charge(key, "?serviceMillis=100").join().statusCode() == 200;
  }

  /**
   * The side process that is a key's home is killed and started anew, empty, while its target goes
   * on. It cannot know whether the charge ran; running it may be the second time. The caller is
   * told that the state of its key is unknown, whichever entry it asks.
   */
  @Test
  void keysOfKilledOwnerAreNotRunAgain() throws Exception {
    assertEquals(200, first.charge("pay", "").join().statusCode());
    int home = ownerOf("pay");
    sides.get(home).close();
    SideUnderTest successor =
        SideUnderTest.withHttpTarget("vm-" + home, 2, targets.get(home).address());
    sides.set(home, successor);
    successor.announceTo(List.of(first.entry.address(), second.entry.address()));
    int shard = KeyShards.of("driver\npay");
    Await.until(
        "another home claimed",
        () ->
            second.table.owner("parking", shard).isPresent()
                && second.table.owner("parking", shard).orElseThrow().servesFrom()
                    > System.nanoTime());

    for (EntryWithKeys entry : List.of(first, second)) {
      HttpResponse<byte[]> answer = entry.charge("pay", "").join();
      assertTrue(text(answer).contains("key-state-unknown"), () -> text(answer));
      assertTrue(text(answer).contains("this attempt was not run"), () -> text(answer));
    }
    assertEquals(1, chargeRuns().size());
  }

  /**
   * A VM is drained while charges with keys go on. The entries went on sending them to the leaving
   * home, which turned them away, until it exited: whatever was on its way then had an unknown
   * outcome, though nothing had run. The log is down, or a successor would soon serve the key.
   */
  @Test
  void drainingOwnerGetsNoRequests() {
    assertEquals(200, first.charge("pay", "").join().statusCode());
    log.setFaults(log.faults().withDown(true));
    sides.get(ownerOf("pay")).dispatcher().beginStop();

    for (EntryWithKeys entry : List.of(first, second)) {
      Await.until(
          "refused in the entry",
          () -> text(entry.charge("pay", "").join()).contains("has no home that is reached"));
    }
    assertEquals(1, chargeRuns().size());
  }

  /**
   * A home is stopped as planned, as happens 70 times a day, and drivers repeat charges that ran
   * there. For 71 s they heard that the state of their key is unknown, for its keys went with it.
   * Now another home has them: the repeat gets the receipt, and a new key runs.
   */
  @Test
  void plannedStopHandsKeysOverToAnotherOwner() {
    HttpResponse<byte[]> receipt = first.charge("pay", "?tag=receipt").join();
    assertEquals(200, receipt.statusCode());
    SideUnderTest home = sides.remove(ownerOf("pay"));
    home.dispatcher().beginStop().join();
    home.close();

    for (EntryWithKeys entry : List.of(first, second)) {
      Await.until(
          "the kept answer",
          () -> text(entry.charge("pay", "?tag=receipt").join()).equals(text(receipt)));
      for (int i = 0; i < 40; i++) {
        String key = "after-" + i;
        Await.until("new key", () -> entry.charge(key, "").join().statusCode() == 200);
      }
    }
    assertEquals(41, chargeRuns().size());
    assertEquals(
        1, chargeRuns().stream().filter(run -> run.idempotencyKey().endsWith("pay")).count());
  }

  /** The same, and the entry that carries the keys is killed as the stop begins. */
  @Test
  void handoverSurvivesDeathOfItsEntry() {
    HttpResponse<byte[]> receipt = first.charge("pay", "?tag=receipt").join();
    SideUnderTest home = sides.remove(ownerOf("pay"));
    CompletableFuture<Void> stopped = home.dispatcher().beginStop();
    first.close();
    stopped.join();
    home.close();

    Await.until(
        "the kept answer",
        () -> text(second.charge("pay", "?tag=receipt").join()).equals(text(receipt)));
    assertEquals(1, chargeRuns().size());
  }

  /**
   * The log is down while a home is stopped as planned: nobody can be named its successor. The stop
   * ends all the same, and the shards wait out the quiet time; the charge does not run again, also
   * not when the log is back.
   */
  @Test
  void shardsWaitForTheTakeoverDelayAfterStopDuringLogOutage() {
    assertEquals(200, first.charge("pay", "").join().statusCode());
    SideUnderTest home = sides.remove(ownerOf("pay"));
    log.setFaults(log.faults().withDown(true));
    home.dispatcher().beginStop().join();
    home.close();
    for (EntryWithKeys entry : List.of(first, second)) {
      assertTrue(text(entry.charge("pay", "").join()).contains("key-state-unknown"));
    }
    log.setFaults(log.faults().withDown(false));

    Await.until(
        "another home claimed",
        () -> text(second.charge("pay", "").join()).contains("an earlier one may have been"));
    assertEquals(1, chargeRuns().size());
  }

  /**
   * Two faults at once: the log is down for longer than a lease, and one home is killed in it. The
   * other homes refuse once their evidence has lapsed and give the kept answer again when the log
   * is back; the killed one's keys stay unknown. No charge runs twice.
   */
  @Test
  void logOutageAndKilledOwnerRunNothingTwice() {
    assertEquals(200, first.charge("pay", "").join().statusCode());
    int killed = ownerOf("pay");
    int number = 0;
    while (ownerOf("other-" + number) == killed) {
      number++;
    }
    String other = "other-" + number;
    assertEquals(200, first.charge(other, "").join().statusCode());
    log.setFaults(log.faults().withDown(true));
    sides.remove(killed).close();
    Await.until(
        "evidence lapsed",
        () -> text(second.charge(other, "").join()).contains("is being changed"));
    log.setFaults(log.faults().withDown(false));

    Await.until("kept answer", () -> second.charge(other, "").join().statusCode() == 200);
    Await.until(
        "another home claimed",
        () -> text(second.charge("pay", "").join()).contains("an earlier one may have been"));
    assertEquals(2, chargeRuns().size());
  }

  /**
   * The killed home's service says that its target tells repeats apart: its keys are not refused
   * for 71 s, they run, and the target sees the same key.
   */
  @Test
  void keysOfUnknownStateRunWhereTargetDetectsRepeats() {
    assertEquals(200, first.charge("pay", "").join().statusCode());
    detectsRepeats = true;
    sides.remove(ownerOf("pay")).close();

    for (EntryWithKeys entry : List.of(first, second)) {
      Await.until("served", () -> entry.charge("pay", "").join().statusCode() == 200);
    }
    assertTrue(chargeRuns().stream().allMatch(run -> run.idempotencyKey().endsWith("pay")));
  }

  private int ownerOf(String key) {
    String vm = first.table.owner("parking", KeyShards.of("driver\n" + key)).orElseThrow().vm();
    return Integer.parseInt(vm.substring("vm-".length()));
  }
}
