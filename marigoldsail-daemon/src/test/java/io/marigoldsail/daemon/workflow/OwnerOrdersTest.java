package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.Maps;
import io.marigoldsail.daemon.identity.WorkflowIdCodec;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.workflow.WorkflowStore.NewestPage;
import io.marigoldsail.daemon.workflow.WorkflowStore.Topic;
import io.marigoldsail.protocol.OwnerMap;
import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.protocol.StartRun.Delivery;
import io.marigoldsail.time.MonotonicClock;
import io.marigoldsail.workflow.QueryResult;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What an owner tells the side process of a VM, over a real link. */
class OwnerOrdersTest {
  private static final long WORKFLOW = 7;

  private final WorkflowTestCluster cluster = new WorkflowTestCluster();
  private final LinkLoop loop = new LinkLoop("vm", MonotonicClock.system());

  @BeforeEach
  void startEntry() throws IOException {
    cluster.addEntry();
    cluster.awaitReady();
  }

  @AfterEach
  void stop() {
    loop.close();
    cluster.close();
  }

  private ScriptedVm connect() {
    return connect("vm-0");
  }

  private ScriptedVm connect(String vm) {
    return new ScriptedVm(loop, cluster.entry(0).memberPrefix(), vm);
  }

  private void submit() {
    assertInstanceOf(
        WorkflowStore.Appended.class,
        cluster.entry(0).entry().submit(WorkflowTestCluster.workflow(WORKFLOW, 1)).join());
  }

  /**
   * Guards against a side process that has read the owners from the store and then accepts the
   * older map of an entry that cannot reach the store, because it knows no generation.
   */
  @Test
  void ownerMapIsSentOnEachConnectionForItsGeneration() {
    ScriptedVm first = connect("vm-0");
    first.report();
    cluster.await("the first VM has a map", () -> !first.ownerMaps().isEmpty());
    OwnerMap map = first.ownerMaps().get(0);
    assertTrue(map.getGeneration() > 0);
    ScriptedVm second = connect("vm-1");
    second.reportOwners(OwnerMapCodec.decode(map));
    cluster.await("the second VM has a map", () -> !second.ownerMaps().isEmpty());
    assertEquals(map.getGeneration(), second.ownerMaps().get(0).getGeneration());
  }

  /** Sends reports of owners until the entry has sent its map twice. */
  private void awaitSecondMap(ScriptedVm vm, Runnable report) {
    report.run();
    cluster.await("the VM has a map", () -> !vm.ownerMaps().isEmpty());
    cluster.await(
        "the map is sent again",
        () -> {
          report.run();
          return vm.ownerMaps().size() > 1;
        });
  }

  /**
   * Guards against a side process that goes on with owners it read late from the store, because
   * their digest is that of the entry's owners.
   */
  @Test
  void ownerMapIsSentAgainThoughOtherOwnersHaveTheSameDigest() {
    ScriptedVm first = connect("vm-0");
    first.report();
    cluster.await("the first VM has a map", () -> !first.ownerMaps().isEmpty());
    Map<Integer, String> owners = OwnerMapCodec.decode(first.ownerMaps().get(0));
    // "0Q" and the "12" of "127.0.0.1" have the same hash code.
    Map<Integer, String> stale =
        Maps.transformValues(owners, member -> "0Q" + member.substring("12".length()));
    assertNotEquals(owners, stale);
    assertEquals(OwnerMapCodec.legacyDigest(owners), OwnerMapCodec.legacyDigest(stale));
    ScriptedVm second = connect("vm-1");
    awaitSecondMap(second, () -> second.reportOwners(stale));
  }

  /** Guards against a side process of an older version that is never sent a newer map. */
  @Test
  void ownerMapIsSentAgainToASideProcessWithoutFingerprints() {
    ScriptedVm vm = connect("vm-0");
    awaitSecondMap(vm, () -> vm.reportOwnersByDigest(Map.of(0, "127.0.0.1:1@1")));
  }

  private boolean isAttemptOpen() {
    int partition = TestIds.id(WORKFLOW).partition(WorkflowTestCluster.PARTITIONS);
    NewestPage page =
        (NewestPage) cluster.store().readNewest(Topic.PROGRESS, partition, Optional.empty()).join();
    return page.records().stream()
        .flatMap(
            keyed -> WorkflowCodec.decodeProgress(keyed.value()).orElseThrow().tasks().stream())
        .anyMatch(task -> task.place().isPresent());
  }

  private StartRun awaitStart(ScriptedVm vm) {
    cluster.await(
        "the task is ordered",
        () -> {
          vm.report();
          return !vm.starts().isEmpty();
        });
    return vm.starts().get(0);
  }

  /**
   * The side process dies with the order, which its worker may have received. Its successor must
   * learn that the order is a repeated one, or it refuses a run that then starts nevertheless.
   */
  @Test
  void startIsMarkedAsRepeatedAfterARestartOfTheSideProcess() {
    submit();
    ScriptedVm before = connect();
    assertEquals(Delivery.FIRST, awaitStart(before).getDelivery());
    before.close();
    assertEquals(Delivery.REPEATED, awaitStart(connect()).getDelivery());
  }

  /** A former owner may have sent the order, so the new one must not call it the first. */
  @Test
  void startOfARunTakenOverIsMarkedAsRepeated() throws IOException {
    submit();
    ScriptedVm before = connect();
    awaitStart(before);
    WorkflowTestCluster.RunningEntry killed = cluster.entry(0);
    cluster.kill(killed);
    cluster.store().drop(killed.memberPrefix());
    cluster.addEntry();
    cluster.awaitReady();
    assertEquals(Delivery.REPEATED, awaitStart(connect()).getDelivery());
  }

  /**
   * A run was considered lost and its end arrives before another attempt is ordered: the task is
   * done, and running it again would only delay its workflow.
   */
  @Test
  void lateCompletionEndsTheTask() {
    submit();
    ScriptedVm vm = connect();
    RunKey first = WorkflowIdCodec.decode(awaitStart(vm).getTask());
    vm.reportWorkerGone();
    cluster.await("the loss is durable", () -> !isAttemptOpen());
    vm.report(ScriptedVm.end(first, RunOutcome.DONE));
    cluster.await("the end is acknowledged", () -> vm.acknowledged().contains(first));
    assertEquals(QueryResult.DONE, cluster.status(0, WORKFLOW));
    assertEquals(List.of(), vm.superseded());
    assertTrue(
        vm.starts().stream().allMatch(start -> start.getTask().getAttempt() == first.attempt()));
  }

  /** The end of a first attempt must not be acknowledged once another one was ordered. */
  @Test
  void completionBeforeAnotherAttemptIsSuperseded() {
    submit();
    ScriptedVm vm = connect();
    RunKey first = WorkflowIdCodec.decode(awaitStart(vm).getTask());
    vm.reportWorkerGone();
    ScriptedVm other = connect("vm-1");
    assertEquals(first.attempt() + 1, awaitStart(other).getTask().getAttempt());
    vm.report(ScriptedVm.end(first, RunOutcome.DONE));
    cluster.await("the end is called superseded", () -> vm.superseded().contains(first));
    assertEquals(List.of(), vm.acknowledged());
  }
}
