package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.workflow.QueryResult;
import io.marigoldsail.workflow.StepSpec;
import io.marigoldsail.workflow.WorkflowIds;
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

/** What an engineer finds in an owner's log about a lasting task that runs nowhere. */
class LongRunningTaskMonitorTest {
  private static final StepSpec.TaskTraits LONG_RUNNING =
      new StepSpec.TaskTraits(false, false, false, true, false, "svc", 25, 1);

  /** Long enough that an open attempt outlasts its worker's silence by far. */
  private static final long LONGEST_LEASE_MILLIS = 60_000;

  private static final long RUN_MILLIS = 120_000;

  private static final Logger LOGGER = Logger.getLogger(LongRunningTaskMonitor.class.getName());

  private final WorkflowTestCluster world = new WorkflowTestCluster(LONGEST_LEASE_MILLIS);
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
    world.close();
  }

  private void submit(long id, StepSpec.TaskTraits nature) {
    assertInstanceOf(
        WorkflowStore.Appended.class,
        world.entry(0).entry().submit(WorkflowTestCluster.workflow(id, nature, 1)).join());
  }

  private void awaitLine(String event, long id, String... parts) {
    String begin = "event=" + event + " task=" + WorkflowIds.format(id) + ".0.0.0 ";
    world.await(
        event + " with " + List.of(parts),
        () ->
            lines.stream()
                .anyMatch(
                    line ->
                        line.startsWith(begin)
                            && List.of(parts).stream().allMatch(line::contains)));
  }

  /** The worker is dead and its side process goes on naming the run: the owner takes it for one. */
  @Test
  void logsRunOfSilentWorker() throws IOException {
    world.addEntry();
    world.addSide("vm-0", RUN_MILLIS);
    world.awaitReady();
    submit(71, LONG_RUNNING);
    // Said by a report: before, the owner knows no more than that it ordered it.
    world.await("it is at work", () -> world.status(0, 71) == QueryResult.RUNNING);
    world.side("vm-0").worker().becomeUnresponsive();
    awaitLine(
        "task-absent",
        71,
        " belief=open ",
        " vm=vm-0 worker=life-1-vm-0 durable=true reported=started ",
        " vm_worker=life-1-vm-0 vm_is=unhealthy ");
  }

  /** The VM itself is gone. */
  @Test
  void logsRunOnDisconnectedVm() throws IOException {
    world.addEntry();
    world.addSide("vm-0", RUN_MILLIS);
    world.awaitReady();
    submit(72, LONG_RUNNING);
    world.await("it is at work", () -> world.history().totalStarts() == 1);
    world.side("vm-0").loop().close();
    awaitLine(
        "task-absent",
        72,
        " belief=open ",
        " reported=not ",
        " vm_is=disconnected vm_report_ms=none");
  }

  /** No VM is there; once one is, the task is back, and a task that ends by itself was not told. */
  @Test
  void logsTaskWithoutVmAndItsRecovery() throws IOException {
    world.addEntry();
    world.awaitReady();
    submit(73, LONG_RUNNING);
    submit(74, StepSpec.TaskTraits.PLAIN);
    awaitLine(
        "task-absent",
        73,
        " since=\"looked for here\" named_ms=none belief=ready ",
        " reason=\"no VM is offered\" offers=\"\" vms=\"\" attempts=0 refusals=0");
    world.addSide("vm-0", RUN_MILLIS);
    awaitLine("task-back", 73, " vm=vm-0");
    assertTrue(lines.stream().noneMatch(line -> line.contains(WorkflowIds.format(74))));
    assertTrue(lines.stream().anyMatch(line -> line.startsWith("event=tasks-watched ")));
  }

  /** VMs are there, and none of them has room enough for the task. */
  @Test
  void logsTaskThatNoVmAdmits() throws IOException {
    world.addEntry();
    world.addSide("vm-0", RUN_MILLIS);
    world.awaitReady();
    // Nine of half a processor each, for four processors.
    assertInstanceOf(
        WorkflowStore.Appended.class,
        world.entry(0).entry().submit(WorkflowTestCluster.workflow(75, LONG_RUNNING, 9)).join());
    world.await(
        "one of them is told of",
        () ->
            lines.stream()
                .anyMatch(
                    line ->
                        line.startsWith("event=task-absent ")
                            && line.contains(" reason=\"none of the VMs offered admits it\" ")
                            && line.contains(" offers=\"1 without room\" vms=\"1 offered\" ")));
  }
}
