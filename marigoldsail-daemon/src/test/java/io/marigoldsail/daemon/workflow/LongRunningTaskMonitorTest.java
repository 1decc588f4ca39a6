package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.time.MonotonicClock;
import io.marigoldsail.workflow.QueryResult;
import io.marigoldsail.workflow.StepSpec;
import io.marigoldsail.workflow.WorkflowId;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The log lines of an owner on long-running tasks that run nowhere. */
class LongRunningTaskMonitorTest {
  private static final StepSpec.TaskTraits LONG_RUNNING =
      new StepSpec.TaskTraits(false, false, false, true, false, "svc", 25, 1);

  /** Long enough that the attempt stays open while its worker is unresponsive. */
  private static final long MAX_LEASE_MILLIS = 60_000;

  private static final long RUN_MILLIS = 120_000;

  private static final Logger LOGGER = Logger.getLogger(LongRunningTaskMonitor.class.getName());

  private final WorkflowTestCluster cluster = new WorkflowTestCluster(MAX_LEASE_MILLIS);
  private final List<String> lines = new CopyOnWriteArrayList<>();
  private final Handler collector =
      new Handler() {
        @Override
        public void publish(LogRecord line) {
          lines.add(line.getMessage());
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
      };

  @BeforeEach
  void collect() {
    LOGGER.setLevel(Level.INFO);
    LOGGER.addHandler(collector);
  }

  @AfterEach
  void stop() {
    LOGGER.removeHandler(collector);
    LOGGER.setLevel(null);
    cluster.close();
  }

  private void submit(long id, StepSpec.TaskTraits traits) {
    assertInstanceOf(
        WorkflowStore.Appended.class,
        cluster.entry(0).entry().submit(WorkflowTestCluster.workflow(id, traits, 1)).join());
  }

  private void awaitLine(String event, long id, String... parts) {
    cluster.await(
        event + " is logged with " + List.of(parts),
        () -> isLogged(event, TestIds.id(id), List.of(parts)));
  }

  private boolean isLogged(String event, WorkflowId id, List<String> parts) {
    String prefix = "event=" + event + " task=" + id + ".0.0.0 ";
    return lines.stream()
        .anyMatch(line -> line.startsWith(prefix) && parts.stream().allMatch(line::contains));
  }

  /** Guards against a task that waits for an upgrade without a line that says so. */
  @Test
  void logsTaskWhoseIdNoSideProcessRepresents() throws IOException {
    cluster.addEntry();
    cluster.awaitReady();
    LinkLoop loop = new LinkLoop("vm", MonotonicClock.system());
    try {
      ScriptedVm older = new ScriptedVm(loop, cluster.entry(0).memberPrefix(), "vm-0");
      WorkflowId id = WorkflowId.of("000000000000004B");
      assertInstanceOf(
          WorkflowStore.Appended.class,
          cluster
              .entry(0)
              .entry()
              .submit(WorkflowTestCluster.workflow(id, LONG_RUNNING, 1))
              .join());
      cluster.await(
          "the cause is logged",
          () -> {
            older.report();
            return isLogged(
                "task-absent",
                id,
                List.of(" belief=ready ", WaitCause.ID_NOT_REPRESENTED.toString()));
          });
    } finally {
      loop.close();
    }
  }

  /** The worker is dead, but its side process keeps listing the run, so the attempt stays open. */
  @Test
  void logsRunOfUnresponsiveWorker() throws IOException {
    cluster.addEntry();
    cluster.addSide("vm-0", RUN_MILLIS);
    cluster.awaitReady();
    submit(71, LONG_RUNNING);
    // Known from a report; before that, the owner only knows that it ordered the run.
    cluster.await("the task is running", () -> cluster.status(0, 71) == QueryResult.RUNNING);
    cluster.side("vm-0").worker().becomeUnresponsive();
    awaitLine(
        "task-absent",
        71,
        " belief=open ",
        " vm=vm-0 worker=incarnation-1-vm-0 durable=true reported=started ",
        " vm_worker=incarnation-1-vm-0 vm_is=unhealthy ");
  }

  /** The VM is gone. */
  @Test
  void logsRunOnDisconnectedVm() throws IOException {
    cluster.addEntry();
    cluster.addSide("vm-0", RUN_MILLIS);
    cluster.awaitReady();
    submit(72, LONG_RUNNING);
    cluster.await("the task is running", () -> cluster.history().totalStarts() == 1);
    cluster.side("vm-0").loop().close();
    awaitLine(
        "task-absent",
        72,
        " belief=open ",
        " reported=not ",
        " vm_is=disconnected vm_report_ms=none");
  }

  /**
   * There is no VM; once there is one, the task returns. Tasks that end by themselves are not
   * logged.
   */
  @Test
  void logsTaskWithoutVmAndItsRecovery() throws IOException {
    cluster.addEntry();
    cluster.awaitReady();
    submit(73, LONG_RUNNING);
    submit(74, StepSpec.TaskTraits.PLAIN);
    awaitLine(
        "task-absent",
        73,
        " since=\"first checked\" named_ms=none belief=ready ",
        " reason=\"no VM is offered\" offers=\"\" vms=\"\" attempts=0 refusals=0");
    cluster.addSide("vm-0", RUN_MILLIS);
    awaitLine("task-back", 73, " vm=vm-0");
    assertTrue(lines.stream().noneMatch(line -> line.contains(TestIds.id(74).toString())));
    assertTrue(lines.stream().anyMatch(line -> line.startsWith("event=tasks-watched ")));
  }

  /** There is a VM, but it has too little free capacity for the task. */
  @Test
  void logsTaskThatNoVmAdmits() throws IOException {
    cluster.addEntry();
    cluster.addSide("vm-0", RUN_MILLIS);
    cluster.awaitReady();
    // Nine tasks of half a processor each on four processors.
    assertInstanceOf(
        WorkflowStore.Appended.class,
        cluster.entry(0).entry().submit(WorkflowTestCluster.workflow(75, LONG_RUNNING, 9)).join());
    cluster.await(
        "one of them is logged as absent",
        () ->
            lines.stream()
                .anyMatch(
                    line ->
                        line.startsWith("event=task-absent ")
                            && line.contains(" reason=\"none of the VMs offered admits it\" ")
                            && line.contains(" offers=\"1 without room\" vms=\"1 offered\" ")));
  }
}
