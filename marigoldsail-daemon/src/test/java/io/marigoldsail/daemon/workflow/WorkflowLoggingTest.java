package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.daemon.observe.BlockingOutputStream;
import io.marigoldsail.daemon.observe.LogWriter;
import io.marigoldsail.workflow.QueryResult;
import java.io.IOException;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class WorkflowLoggingTest {
  private final WorkflowTestCluster cluster = new WorkflowTestCluster();
  private final BlockingOutputStream stream = new BlockingOutputStream();
  private final LogWriter writer = LogWriter.start("all", stream.asPrintStream());
  private final Logger logger = Logger.getLogger("io.marigoldsail");

  @BeforeEach
  void logToTheStream() {
    logger.addHandler(writer);
    logger.setUseParentHandlers(false);
    logger.setLevel(Level.INFO);
  }

  @AfterEach
  void stop() {
    stream.release();
    cluster.close();
    logger.setLevel(null);
    logger.setUseParentHandlers(true);
    logger.removeHandler(writer);
  }

  /** A standard output that nobody reads must not block the loop of a process. */
  @Test
  void aBlockedStandardOutputDelaysNoWorkflow() throws IOException {
    cluster.start(2, 2, 20);
    assertTrue(stream.awaitBlockedWrite());
    assertInstanceOf(
        WorkflowStore.Appended.class,
        cluster.entry(0).entry().submit(WorkflowTestCluster.workflow(41, 3, 2)).join());
    cluster.await("the workflow is done", () -> cluster.status(0, 41) == QueryResult.DONE);
    assertEquals(5, cluster.history().totalStarts());
    assertEquals(List.of(), stream.lines());
    assertFalse(stream.isTimedOut());
    stream.release();
    cluster.await(
        "its log lines are written",
        () -> stream.lines().stream().anyMatch(line -> line.contains("event=workflow-submitted")));
  }
}
