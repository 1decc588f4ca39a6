package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.daemon.workflow.WorkflowStore.Appended;
import io.marigoldsail.workflow.QueryResult;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.StepSpec;
import io.marigoldsail.workflow.WorkflowId;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Workers that reject starts as malformed. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class RejectedStartsTest {
  private static final long RETENTION_MILLIS = 20_000;
  private static final int WORKFLOWS = 20;
  private static final WorkflowId ODD = TestIds.id(99);

  private final VirtualCluster cluster = new VirtualCluster();
  private final VirtualCluster.Entry entry = cluster.addEntry(0, RETENTION_MILLIS);
  private final VirtualCluster.Side first = cluster.addSide("vm-0");
  private final VirtualCluster.Side second = cluster.addSide("vm-1");
  private final Set<WorkflowId> started = new HashSet<>();

  @BeforeEach
  void start() {
    first.onStart(run -> started.add(run.task().workflow()));
    second.onStart(run -> started.add(run.task().workflow()));
    cluster.advance(3_000);
  }

  private void submit(WorkflowId id) {
    assertInstanceOf(Appended.class, entry.submit(WorkflowTestCluster.workflow(id, 1)));
  }

  private static boolean isOdd(RunKey run) {
    return run.task().workflow().equals(ODD);
  }

  /** Guards against a start that is sent again without limit, at the cost of all other work. */
  @Test
  void rejectedStartIsRepeatedMoreAndMoreRarely() {
    first.rejectStarts(RejectedStartsTest::isOdd);
    second.rejectStarts(RejectedStartsTest::isOdd);
    submit(ODD);
    cluster.advance(TimeUnit.MINUTES.toMillis(1));
    int inFirstMinute = first.rejections() + second.rejections();
    assertTrue(inFirstMinute <= 14, inFirstMinute + " starts in the first minute");
    assertTrue(first.rejections() > 0 && second.rejections() > 0, "one worker alone was tried");
    cluster.advance(TimeUnit.HOURS.toMillis(1));
    int inHour = first.rejections() + second.rejections() - inFirstMinute;
    assertTrue(inHour <= 61, inHour + " starts in an hour");
    assertEquals(QueryResult.QUEUED, entry.query(ODD, false));
    cluster.rethrowFailure();
  }

  /** Guards against sound work that waits because one worker rejects whatever it is sent. */
  @Test
  void workRunsBesideAWorkerThatRejectsAllStarts() {
    first.rejectStarts(run -> true);
    for (int i = 1; i <= WORKFLOWS; i++) {
      submit(TestIds.id(i));
    }
    cluster.advance(1_000);
    assertEquals(WORKFLOWS, started.size());
    assertTrue(first.rejections() <= WORKFLOWS, first.rejections() + " rejections");
    cluster.rethrowFailure();
  }

  /**
   * Guards against a service task that returns to the worker that rejects it, since that one runs
   * other service tasks.
   */
  @Test
  void serviceTaskRunsWhereItIsNotRejected() {
    VirtualCluster one = new VirtualCluster();
    VirtualCluster.Entry owner = one.addEntry(0, RETENTION_MILLIS);
    VirtualCluster.Side busy = one.addSide("vm-0");
    one.advance(3_000);
    StepSpec.TaskTraits service =
        new StepSpec.TaskTraits(false, false, false, true, false, "image", 200, 0);
    assertInstanceOf(
        Appended.class, owner.submit(WorkflowTestCluster.workflow(TestIds.id(1), service, 1)));
    one.advance(1_000);
    busy.rejectStarts(run -> true);
    VirtualCluster.Side idle = one.addSide("vm-1");
    idle.onStart(run -> started.add(run.task().workflow()));
    assertInstanceOf(Appended.class, owner.submit(WorkflowTestCluster.workflow(ODD, service, 1)));
    one.advance(3_000);
    assertEquals(Set.of(ODD), started);
    one.rethrowFailure();
  }

  /** Guards against a task that waits long after a rejection, for one of an earlier attempt. */
  @Test
  void backoffBeginsAnewOnceTheTaskHasRun() {
    first.rejectStarts(RejectedStartsTest::isOdd);
    second.rejectStarts(RejectedStartsTest::isOdd);
    submit(ODD);
    cluster.advance(TimeUnit.MINUTES.toMillis(2));
    first.rejectStarts(run -> false);
    second.rejectStarts(run -> false);
    cluster.advance(TimeUnit.MINUTES.toMillis(2));
    assertEquals(Set.of(ODD), started);
    started.clear();
    int before = first.rejections() + second.rejections();
    first.rejectStarts(RejectedStartsTest::isOdd);
    second.rejectStarts(RejectedStartsTest::isOdd);
    first.worker().endAllRuns(RunOutcome.FAILED);
    second.worker().endAllRuns(RunOutcome.FAILED);
    cluster.advance(2_000);
    int since = first.rejections() + second.rejections() - before;
    assertTrue(since >= 4, since + " starts in two seconds");
    cluster.rethrowFailure();
  }

  /** Guards against sound work that is given up since all workers rejected it for a time. */
  @Test
  void workRunsOnceWorkersAcceptIt() {
    first.rejectStarts(run -> true);
    second.rejectStarts(run -> true);
    submit(ODD);
    cluster.advance(TimeUnit.MINUTES.toMillis(10));
    assertEquals(Set.of(), started);
    second.rejectStarts(run -> false);
    cluster.advance(TimeUnit.MINUTES.toMillis(2));
    assertEquals(Set.of(ODD), started);
    assertEquals(QueryResult.RUNNING, entry.query(ODD, false));
    cluster.rethrowFailure();
  }
}
