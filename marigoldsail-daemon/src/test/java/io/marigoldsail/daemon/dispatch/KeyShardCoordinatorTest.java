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

/** Requests with idempotency keys through two entries that agree on shard owners by a log. */
class KeyShardCoordinatorTest {
  private static final int VMS = 3;

  /** An entry that follows the stream of keys. */
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

    /** Waits until charges are served, that is until shards are claimed and leases confirmed. */
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
        "both entries know all shard owners",
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

  private static String text(HttpResponse<byte[]> response) {
    return new String(response.body(), StandardCharsets.UTF_8);
  }

  /**
   * Callers repeat a charge through the other entry while it still runs, and again when it has
   * ended. The charge of each key must run once, at one target.
   */
  @Test
  void repeatsThroughOtherEntryRunOnce() {
    int keys = 20;
    List<CompletableFuture<HttpResponse<byte[]>>> responses = new ArrayList<>();
    for (int i = 0; i < keys; i++) {
      String key = "pay-" + i;
      responses.add(first.charge(key, "?serviceMillis=100"));
      responses.add(second.charge(key, "?serviceMillis=100"));
    }
    int served = 0;
    for (CompletableFuture<HttpResponse<byte[]>> response : responses) {
      served += response.join().statusCode() == 200 ? 1 : 0;
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
   * Charges arrive while all slots of their keys' owner are briefly taken, such as after its start.
   * The rest of the fleet is idle and the deadlines are seconds away, so they must be served late
   * and once, not refused as overloaded.
   */
  @Test
  void requestsToBrieflyFullOwnerAreRetried() {
    int owner = ownerOf("pay-0");
    List<CompletableFuture<HttpResponse<byte[]>>> responses = new ArrayList<>();
    for (int i = 0; responses.size() < 30; i++) {
      if (ownerOf("pay-" + i) == owner) {
        responses.add(first.charge("pay-" + i, "?serviceMillis=100"));
      }
    }
    for (CompletableFuture<HttpResponse<byte[]>> response : responses) {
      assertEquals(200, response.join().statusCode(), () -> text(response.join()));
    }
    assertEquals(responses.size(), chargeRuns().size());
  }

  private java.util.function.BooleanSupplier chargeIsServed(String key) {
    return () -> second.charge(key, "?serviceMillis=100").join().statusCode() == 200;
  }

  /**
   * The side process that owns a key is killed and restarted without its state, while its target
   * runs on. It cannot know whether the charge ran, so running it could charge twice. The caller
   * must receive key-state-unknown from both entries.
   */
  @Test
  void keysOfKilledOwnerAreNotRunAgain() throws Exception {
    assertEquals(200, first.charge("pay", "").join().statusCode());
    int owner = ownerOf("pay");
    sides.get(owner).close();
    SideUnderTest successor =
        SideUnderTest.withHttpTarget("vm-" + owner, 2, targets.get(owner).address());
    sides.set(owner, successor);
    successor.announceTo(List.of(first.entry.address(), second.entry.address()));
    int shard = KeyShards.of("driver\npay");
    Await.until(
        "another owner has claimed the shard",
        () ->
            second.table.owner("parking", shard).isPresent()
                && second.table.owner("parking", shard).orElseThrow().servesFrom()
                    > System.nanoTime());

    for (EntryWithKeys entry : List.of(first, second)) {
      HttpResponse<byte[]> response = entry.charge("pay", "").join();
      assertTrue(text(response).contains("key-state-unknown"), () -> text(response));
      assertTrue(text(response).contains("this attempt was not run"), () -> text(response));
    }
    assertEquals(1, chargeRuns().size());
  }

  /**
   * Guards against entries sending charges to a draining owner: it rejected them, and those in
   * transit when it exited had an unknown outcome, though none had run. The log is down, as
   * otherwise a successor would soon serve the key.
   */
  @Test
  void drainingOwnerGetsNoRequests() {
    assertEquals(200, first.charge("pay", "").join().statusCode());
    log.setFaults(log.faults().withDown(true));
    sides.get(ownerOf("pay")).dispatcher().beginStop();

    for (EntryWithKeys entry : List.of(first, second)) {
      Await.until(
          "refused by the entry",
          () ->
              text(entry.charge("pay", "").join())
                  .contains("the owner of its Idempotency-Key is not reachable"));
    }
    assertEquals(1, chargeRuns().size());
  }

  /**
   * Guards against losing the keys of an owner in a planned stop, which happens 70 times a day: for
   * 71 s repeats of its charges got key-state-unknown. Another owner must take the keys over: a
   * repeat gets the retained response, and a new key runs.
   */
  @Test
  void plannedStopHandsKeysOverToAnotherOwner() {
    HttpResponse<byte[]> receipt = first.charge("pay", "?tag=receipt").join();
    assertEquals(200, receipt.statusCode());
    SideUnderTest owner = sides.remove(ownerOf("pay"));
    owner.dispatcher().beginStop().join();
    owner.close();

    for (EntryWithKeys entry : List.of(first, second)) {
      Await.until(
          "retained response",
          () -> text(entry.charge("pay", "?tag=receipt").join()).equals(text(receipt)));
      for (int i = 0; i < 40; i++) {
        String key = "after-" + i;
        Await.until("new key served", () -> entry.charge(key, "").join().statusCode() == 200);
      }
    }
    assertEquals(41, chargeRuns().size());
    assertEquals(
        1, chargeRuns().stream().filter(run -> run.idempotencyKey().endsWith("pay")).count());
  }

  /** The same, with the entry that relays the keys killed as the stop begins. */
  @Test
  void handoverSurvivesDeathOfItsEntry() {
    HttpResponse<byte[]> receipt = first.charge("pay", "?tag=receipt").join();
    SideUnderTest owner = sides.remove(ownerOf("pay"));
    CompletableFuture<Void> stopped = owner.dispatcher().beginStop();
    first.close();
    stopped.join();
    owner.close();

    Await.until(
        "retained response",
        () -> text(second.charge("pay", "?tag=receipt").join()).equals(text(receipt)));
    assertEquals(1, chargeRuns().size());
  }

  /**
   * The log is down during a planned stop of an owner, so no successor can be recorded. The stop
   * must end all the same, and the shards wait for the takeover delay; the charge must not run
   * again, also not when the log is back.
   */
  @Test
  void shardsWaitForTheTakeoverDelayAfterStopDuringLogOutage() {
    assertEquals(200, first.charge("pay", "").join().statusCode());
    SideUnderTest owner = sides.remove(ownerOf("pay"));
    log.setFaults(log.faults().withDown(true));
    owner.dispatcher().beginStop().join();
    owner.close();
    for (EntryWithKeys entry : List.of(first, second)) {
      assertTrue(text(entry.charge("pay", "").join()).contains("key-state-unknown"));
    }
    log.setFaults(log.faults().withDown(false));

    Await.until(
        "another owner has claimed the shard",
        () ->
            text(second.charge("pay", "").join())
                .contains("a former owner of its key may have run"));
    assertEquals(1, chargeRuns().size());
  }

  /**
   * The log is down for longer than a lease, and one owner is killed meanwhile. The other owners
   * reject keys once their leases have expired, and send the retained responses when the log is
   * back; the keys of the killed one stay unknown. No charge may run twice.
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
        "lease expired",
        () ->
            text(second.charge(other, "").join())
                .contains("the owner of its Idempotency-Key is changing"));
    log.setFaults(log.faults().withDown(false));

    Await.until("retained response", () -> second.charge(other, "").join().statusCode() == 200);
    Await.until(
        "another owner has claimed the shard",
        () ->
            text(second.charge("pay", "").join())
                .contains("a former owner of its key may have run"));
    assertEquals(2, chargeRuns().size());
  }

  /**
   * If the target is configured to detect repeats, keys of a killed owner are not rejected for 71
   * s: they run, and the target receives the same key.
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
