package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.daemon.workflow.WorkflowStore.Appended;
import io.marigoldsail.daemon.workflow.WorkflowStore.Owner;
import io.marigoldsail.daemon.workflow.WorkflowStore.Owners;
import io.marigoldsail.workflow.QueryResult;
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
    EntryPeers peers = new EntryPeers(time.loop(), SELF);
    ImmutableList.Builder<Owner> owners = ImmutableList.builder();
    owners.add(new Owner(0, ODD)).add(new Owner(1, OTHER)).add(new Owner(2, SELF.toString()));
    assertTrue(peers.updateOwners(1, new Owners(owners.build())));
    assertEquals(3, OwnerMapCodec.decode(peers.ownerMap(true)).size());
    peers.tick(Map.of());
    time.rethrowFailure();
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
    cluster.await("partitions are owned", () -> workflowWith(QueryResult.UNKNOWN_WORKFLOW) > 0);
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
    cluster.await(
        "the odd member owns partitions", () -> workflowWith(QueryResult.UNAVAILABLE) > 0);
    assertIsDone(workflowWith(QueryResult.UNKNOWN_WORKFLOW));
  }
}
