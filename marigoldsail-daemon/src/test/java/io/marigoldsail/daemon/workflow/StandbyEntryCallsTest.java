package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.workflow.QueryResult;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What an entry that owns no partition answers, over real links. */
class StandbyEntryCallsTest {
  private static final int WORKFLOWS = 6;
  private static final int STANDBY = 2;

  private final WorkflowTestCluster cluster = new WorkflowTestCluster();
  private WorkflowEntry standby;

  @BeforeEach
  void startEntries() throws IOException {
    cluster.addEntryWithProcessors(1_500);
    cluster.addEntryWithProcessors(1_500);
    cluster.awaitReady();
    standby = cluster.addEntryWithProcessors(360).entry();
    cluster.await("the entry standing by is ready", standby::isReady);
  }

  @AfterEach
  void stopCluster() {
    cluster.close();
  }

  private void submit() {
    for (long id = 1; id <= WORKFLOWS; id++) {
      assertTrue(
          standby.submit(WorkflowTestCluster.workflow(id, 1)).join()
              instanceof WorkflowStore.Appended);
    }
  }

  /** Guards against a count of waiting workflows that lacks those of the owners. */
  @Test
  void waitingWorkflowsOfTheOwnersAreCounted() {
    submit();
    cluster.await(
        "all waiting workflows are counted",
        () -> standby.waitingWorkflows("queue").join() == WORKFLOWS);
  }

  @Test
  void submissionsAreServedAndTheirStatusIsKnown() throws IOException {
    cluster.addSide("vm-0", 10);
    submit();
    for (long id = 1; id <= WORKFLOWS; id++) {
      long workflow = id;
      cluster.await(
          "workflow " + id + " is done",
          () -> cluster.status(STANDBY, workflow) == QueryResult.DONE);
    }
  }
}
