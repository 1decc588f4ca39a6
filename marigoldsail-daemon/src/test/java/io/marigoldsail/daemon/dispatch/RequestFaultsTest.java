package io.marigoldsail.daemon.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.testlib.fault.TcpFaultProxy;
import io.marigoldsail.testlib.fault.TcpFaultProxy.Direction;
import io.marigoldsail.testlib.history.RequestHistory.Outcome;
import io.marigoldsail.testlib.platform.StandInTarget;
import io.marigoldsail.testlib.platform.TargetRun;
import io.marigoldsail.timeline.EventRecorder;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReferenceArray;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Callers at two entries and three targets while faults strike; afterwards what callers were told
 * is held against what the targets themselves noted to have run.
 */
class RequestFaultsTest {
  private static final int VMS = 3;
  private static final int CALLERS = 24;
  private static final int REQUESTS_PER_STEP = 300;

  private final List<StandInTarget> targets = new ArrayList<>();
  private final List<SideUnderTest> sides = new ArrayList<>();
  private final List<TcpFaultProxy> proxies = new ArrayList<>();
  private final AtomicReferenceArray<EntryUnderTest> entries = new AtomicReferenceArray<>(2);
  private long incarnation = 1;

  @BeforeEach
  void start() throws Exception {
    for (int i = 0; i < entries.length(); i++) {
      entries.set(i, newEntry("entry-" + i));
    }
    for (int i = 0; i < VMS; i++) {
      targets.add(new StandInTarget("target-" + i, "127.0.0.1", 0, 8, 64).start());
      sides.add(null);
      proxies.add(null);
      startSide(i);
    }
    entries.get(0).awaitTargets(VMS);
    entries.get(1).awaitTargets(VMS);
  }

  @AfterEach
  void stop() {
    for (int i = 0; i < entries.length(); i++) {
      entries.get(i).close();
    }
    sides.forEach(SideUnderTest::close);
    proxies.forEach(TcpFaultProxy::close);
    targets.forEach(StandInTarget::close);
  }

  /** A busy machine may take long to resolve; the product's two seconds are not tested here. */
  private EntryUnderTest newEntry(String name) throws Exception {
    LinkSettings usual = LinkSettings.DEFAULT;
    LinkSettings patient =
        new LinkSettings(
            usual.connectionsPerTarget(),
            usual.checkIntervalNanos(),
            usual.pingAfterNanos(),
            usual.idlePingNanos(),
            usual.silenceTimeoutNanos(),
            TimeUnit.SECONDS.toNanos(10));
    return new EntryUnderTest(name, incarnation++, patient, EventRecorder.none());
  }

  private void startSide(int i) throws Exception {
    SideUnderTest side =
        SideUnderTest.withHttpTarget("vm-" + i, incarnation++, targets.get(i).address());
    TcpFaultProxy proxy = new TcpFaultProxy(side.port());
    side.announceAddress("127.0.0.1:" + proxy.port());
    List<InetSocketAddress> addresses = new ArrayList<>();
    for (int e = 0; e < entries.length(); e++) {
      addresses.add(entries.get(e).address());
    }
    side.announceTo(addresses);
    sides.set(i, side);
    proxies.set(i, proxy);
  }

  private void replaceSide(int i) throws Exception {
    sides.get(i).close();
    proxies.get(i).close();
    startSide(i);
  }

  private List<TargetRun> runs() {
    List<TargetRun> runs = new ArrayList<>();
    targets.forEach(target -> runs.addAll(target.runs()));
    return runs;
  }

  private void assertNoViolations(Workload workload) throws InterruptedException {
    workload.awaitAll();
    Await.until("targets idle", () -> runs().stream().allMatch(run -> run.endMillis() > 0));
    assertEquals(List.of(), workload.history().violations(runs()));
    assertTrue(workload.history().count(Outcome.ANSWERED) > 0);
  }

  /**
   * Connections are cut in the middle of requests, again and again: charges that were on them ran
   * or did not, nobody knows by the connection alone, and a blind retry charges twice.
   */
  @Test
  void closedConnections() throws Exception {
    Workload workload = new Workload(entries, CALLERS, 8 * REQUESTS_PER_STEP);
    workload.start();
    for (int step = 1; step < 8; step++) {
      workload.awaitEnded(step * REQUESTS_PER_STEP);
      proxies.get(step % VMS).closeOpenConnections();
    }
    assertNoViolations(workload);
  }

  /**
   * Connections go silent for good in one direction, the other, or both, while new ones work:
   * requests vanish in them, or ran with their answers lost.
   */
  @Test
  void unresponsiveConnections() throws Exception {
    Workload workload = new Workload(entries, CALLERS, 5 * REQUESTS_PER_STEP);
    workload.start();
    workload.awaitEnded(REQUESTS_PER_STEP);
    proxies.get(0).blackholeOpenConnections(Direction.TO_SERVER);
    workload.awaitEnded(2 * REQUESTS_PER_STEP);
    proxies.get(1).blackholeOpenConnections(Direction.TO_CLIENT);
    workload.awaitEnded(3 * REQUESTS_PER_STEP);
    proxies.get(2).blackholeOpenConnections(Direction.TO_SERVER);
    proxies.get(2).blackholeOpenConnections(Direction.TO_CLIENT);
    proxies.get(0).closeOpenConnections();
    assertNoViolations(workload);
    assertEquals(0, workload.history().count(Outcome.UNKNOWN), "all outcomes were found out");
  }

  /**
   * A side process is killed under load and started anew, knowing nothing; another one's
   * connections go silent at the same moment; then an entry is killed and started anew in the
   * middle.
   */
  @Test
  void killedSideProcessesAndEntry() throws Exception {
    Workload workload = new Workload(entries, CALLERS, 6 * REQUESTS_PER_STEP);
    workload.start();
    workload.awaitEnded(REQUESTS_PER_STEP);
    proxies.get(1).blackholeOpenConnections(Direction.TO_CLIENT);
    replaceSide(0);
    workload.awaitEnded(2 * REQUESTS_PER_STEP);
    EntryUnderTest killed = entries.get(0);
    entries.set(0, newEntry("entry-0"));
    killed.close();
    replaceSide(1);
    replaceSide(2);
    workload.awaitEnded(4 * REQUESTS_PER_STEP);
    replaceSide(0);
    assertNoViolations(workload);
  }

  /**
   * A side process freezes with requests unread in its sockets and wakes after its entries have
   * given it up and sent the requests elsewhere, or told their callers. It must run nothing that
   * was said not to run, and no charge that was sent elsewhere.
   */
  @Test
  void pausedAndResumedSideProcess() throws Exception {
    Workload workload = new Workload(entries, CALLERS, 5 * REQUESTS_PER_STEP);
    workload.start();
    workload.awaitEnded(REQUESTS_PER_STEP);
    CountDownLatch wake = new CountDownLatch(1);
    sides.get(0).loop().run(() -> awaitLatch(wake));
    workload.awaitEnded(4 * REQUESTS_PER_STEP);
    entries.get(0).awaitTargets(VMS - 1);
    wake.countDown();
    entries.get(0).awaitTargets(VMS);
    assertNoViolations(workload);
  }

  private static void awaitLatch(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Planned stops of a side process and of an entry under full load: nobody is cut off. */
  @Test
  void plannedStopsLoseNoRequests() throws Exception {
    Workload workload = new Workload(entries, CALLERS, 6 * REQUESTS_PER_STEP);
    workload.start();
    workload.awaitEnded(REQUESTS_PER_STEP);
    sides.get(0).dispatcher().beginStop().orTimeout(30, TimeUnit.SECONDS).join();
    replaceSide(0);
    workload.awaitEnded(3 * REQUESTS_PER_STEP);
    EntryUnderTest stopped = entries.get(0);
    entries.set(0, entries.get(1));
    stopped
        .dispatcher()
        .beginStop(TimeUnit.SECONDS.toNanos(3))
        .orTimeout(30, TimeUnit.SECONDS)
        .join();
    stopped.close();
    assertNoViolations(workload);
    assertEquals(0, workload.history().count(Outcome.UNKNOWN), "nobody was cut off");
  }
}
