package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.marigoldsail.colocation.InterferenceScope;
import io.marigoldsail.daemon.capacity.RetainedWork;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.workflow.WorkflowStore.Appended;
import io.marigoldsail.daemon.workflow.WorkflowStore.Owner;
import io.marigoldsail.daemon.workflow.WorkflowStore.Owners;
import io.marigoldsail.time.MonotonicClock;
import io.marigoldsail.workflow.QueryResult;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import java.io.IOException;
import java.util.Map;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Another program is a member of the owners' group, under a name that no entry has. */
@Timeout(60)
class OddMembersTest {
  private static final String ODD = "127.0.0.1:70000/5";
  private static final EntryMember SELF = new EntryMember("127.0.0.1", 1, 1);
  private static final String OTHER = new EntryMember("127.0.0.1", 2, 1).toString();

  private final WorkflowTestCluster cluster = new WorkflowTestCluster();

  @AfterEach
  void stop() {
    cluster.close();
  }

  /** Guards against owners that an entry does not send on because one of them is odd. */
  @Test
  void ownersBesideAnOddOneAreSentToSideProcesses() {
    VirtualLoop time = new VirtualLoop();
    EntryPeers peers = new EntryPeers(time.loop(), SELF, RetainedWork.ofMaximum(1 << 20));
    ImmutableList.Builder<Owner> owners = ImmutableList.builder();
    owners.add(new Owner(0, ODD)).add(new Owner(1, OTHER)).add(new Owner(2, SELF.toString()));
    assertTrue(peers.updateOwners(1, new Owners(owners.build())));
    assertEquals(3, OwnerMapCodec.decode(peers.ownerMap(true)).size());
    peers.tick(Map.of());
    time.rethrowFailure();
  }

  /** Waits until the member owns partitions, and no partition is about to change its owner. */
  private void awaitOwner(String member) {
    cluster.await(
        member + " owns partitions",
        () ->
            cluster.store().isBalanced()
                && cluster.store().owners().join() instanceof Owners owners
                && owners.byPartition().containsValue(member)
                && workflowWith(QueryResult.UNKNOWN_WORKFLOW) > 0);
  }

  private long workflowWith(QueryResult status) {
    return LongStream.range(1_000, 1_400)
        .filter(id -> cluster.status(0, id) == status)
        .findFirst()
        .orElse(0);
  }

  private void assertIsDone(long id) {
    assertInstanceOf(
        Appended.class,
        cluster.entry(0).entry().submit(WorkflowTestCluster.workflow(id, 2)).join());
    cluster.await("workflow " + id + " is done", () -> cluster.status(0, id) == QueryResult.DONE);
  }

  /**
   * Guards against entries and side processes that stop to follow the owners, or lose links to
   * sound entries, while a name is odd: from the start, on the fly, and after a restart.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        ODD,
        "127.0.0.1:0/5",
        "127.0.0.1:-1/5",
        "nobody",
        "127.0.0.1:7720/99999999999999999999",
        "a host:7720/5",
        "\u00e4:1/1",
        "127.0.0.1:1/5"
      })
  void entryAndSideProcessFollowTheSoundOwners(String odd) throws IOException {
    cluster.store().join(odd, Long.MAX_VALUE);
    cluster.addEntry();
    cluster.addSide("vm-0", 20);
    awaitOwner(odd);
    assertIsDone(workflowWith(QueryResult.UNKNOWN_WORKFLOW));
    cluster.restartSide("vm-0");
    assertIsDone(workflowWith(QueryResult.UNKNOWN_WORKFLOW));
    long ofOdd = workflowWith(QueryResult.UNAVAILABLE);
    assertTrue(ofOdd > 0);
    cluster.store().drop(odd);
    cluster.await(
        "the partitions of the odd member are owned",
        () -> cluster.status(0, ofOdd) == QueryResult.UNKNOWN_WORKFLOW);
    assertIsDone(ofOdd);
    cluster.store().join(odd, Long.MAX_VALUE);
    awaitOwner(odd);
    assertIsDone(workflowWith(QueryResult.UNKNOWN_WORKFLOW));
  }

  /**
   * Guards against a VM with two connections to one entry, which takes reports from one of them
   * alone: the other one was closed as silent and dialled again, every two seconds.
   */
  @Test
  void entryUnderASecondNameIsDialledOnce() throws Exception {
    LinkLoop loop = new LinkLoop("side", MonotonicClock.system());
    ScriptedOwnersStore store = new ScriptedOwnersStore(3);
    try (ScriptedEntry entry = new ScriptedEntry();
        ScriptedEntry other = new ScriptedEntry()) {
      String alias = entry.member() + "0";
      WorkflowSideProcess side =
          new WorkflowSideProcess(
              loop,
              store,
              new ScriptedWorker(new VirtualLoop()),
              "vm-0",
              WorkerLeaseTerms.forMaxLease(10_000),
              InterferenceScope.PER_IMAGE);
      side.start();
      store
          .nextRequest()
          .complete(
              ScriptedOwnersStore.owners(
                  ImmutableMap.of(0, entry.member(), 1, alias, 2, other.member())));
      entry.awaitConnection();
      other.awaitConnection();
      entry.awaitReport();
      other.awaitReport();
      other.awaitReport();
      assertFalse(entry.hasFurtherConnection());
    } finally {
      loop.close();
    }
  }

  /** Guards against partitions that nobody serves once the second name has left. */
  @ParameterizedTest
  @ValueSource(strings = {"/5", "/9000000000000", "/900000000000000360"})
  void entryUnderASecondNameIsServedAsBefore(String incarnation) throws IOException {
    cluster.start(1, 1, 20);
    String alias = cluster.entry(0).memberPrefix() + incarnation;
    cluster.store().join(alias, Long.MAX_VALUE);
    awaitOwner(alias);
    for (int i = 0; i < 3; i++) {
      assertIsDone(workflowWith(QueryResult.UNKNOWN_WORKFLOW));
    }
    cluster.restartSide("vm-0");
    assertIsDone(workflowWith(QueryResult.UNKNOWN_WORKFLOW));
    long ofAlias = workflowWith(QueryResult.UNAVAILABLE);
    cluster.store().leave(alias).join();
    cluster.await(
        "the partitions of the second name are owned",
        () -> cluster.status(0, ofAlias) == QueryResult.UNKNOWN_WORKFLOW);
    assertIsDone(ofAlias);
  }

  /** Guards against an entry that dials itself and counts its waiting workflows twice. */
  @Test
  void entryDoesNotDialItsOwnAddressUnderAnotherName() throws Exception {
    LinkLoop loop = new LinkLoop("entry", MonotonicClock.system());
    try (ScriptedEntry own = new ScriptedEntry();
        ScriptedEntry other = new ScriptedEntry()) {
      EntryPeers peers =
          new EntryPeers(
              loop, EntryMember.parse(own.member()).orElseThrow(), RetainedWork.ofMaximum(1 << 20));
      ImmutableList<Owner> owners =
          ImmutableList.of(
              new Owner(0, own.member()),
              new Owner(1, own.member() + "0"),
              new Owner(2, other.member()));
      loop.run(() -> peers.updateOwners(1, new Owners(owners)));
      other.awaitConnection();
      assertFalse(own.hasFurtherConnection());
    } finally {
      loop.close();
    }
  }
}
