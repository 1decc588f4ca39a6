package io.marigoldsail.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class WorkflowTest {
  private static final long WALL = 5_000;

  private static List<TaskKey> ready(Workflow workflow, long wall) {
    List<TaskKey> keys = new ArrayList<>();
    workflow.forEachReady(wall, task -> keys.add(task.key()));
    return keys;
  }

  private static RunKey run(Workflow workflow, int step, int index) {
    WorkflowTask task = workflow.task(new TaskKey(Workflows.ID, 0, step, index)).orElseThrow();
    return workflow.order(task, Workflows.HERE);
  }

  @Test
  void stepWaitsForAllTasksBefore() {
    Workflow workflow =
        Workflow.of(
            Workflows.spec(
                Workflows.step(2, 100, StepSpec.Nature.PLAIN),
                Workflows.step(1, 100, StepSpec.Nature.PLAIN, 0)));
    assertEquals(2, ready(workflow, WALL).size());
    workflow.ended(run(workflow, 0, 0), RunOutcome.DONE, "", WALL);
    assertEquals(List.of(new TaskKey(Workflows.ID, 0, 0, 1)), ready(workflow, WALL));
    workflow.ended(run(workflow, 0, 1), RunOutcome.DONE, "", WALL);
    assertEquals(List.of(new TaskKey(Workflows.ID, 0, 1, 0)), ready(workflow, WALL));
    workflow.ended(run(workflow, 1, 0), RunOutcome.DONE, "", WALL);
    assertEquals(WorkflowStatus.DONE, workflow.status());
    assertEquals(WALL, workflow.endedMillis());
  }

  @Test
  void attemptsRiseAndEndsOfOlderOnesChangeNothing() {
    Workflow workflow = Workflow.of(Workflows.spec(Workflows.step(1, 100, StepSpec.Nature.PLAIN)));
    RunKey first = run(workflow, 0, 0);
    assertTrue(workflow.ended(first, RunOutcome.LOST, "", WALL));
    RunKey second = run(workflow, 0, 0);
    assertEquals(first.attempt() + 1, second.attempt());
    assertFalse(workflow.ended(first, RunOutcome.DONE, "", WALL));
    assertEquals(WorkflowStatus.QUEUED, workflow.status());
    assertTrue(workflow.ended(second, RunOutcome.DONE, "", WALL));
    assertEquals(WorkflowStatus.DONE, workflow.status());
  }

  @Test
  void aTaskMayNotHaveTwoOpenAttempts() {
    Workflow workflow = Workflow.of(Workflows.spec(Workflows.step(1, 100, StepSpec.Nature.PLAIN)));
    run(workflow, 0, 0);
    assertTrue(ready(workflow, WALL).isEmpty());
    assertThrows(IllegalStateException.class, () -> run(workflow, 0, 0));
  }

  @Test
  void failsAfterTheAllowedFailuresOnly() {
    Workflow workflow = Workflow.of(Workflows.spec(Workflows.step(1, 100, StepSpec.Nature.PLAIN)));
    for (RunOutcome uncounted :
        List.of(RunOutcome.REFUSED, RunOutcome.STOPPED, RunOutcome.LAPSED, RunOutcome.LOST)) {
      workflow.ended(run(workflow, 0, 0), uncounted, "", WALL);
    }
    workflow.ended(run(workflow, 0, 0), RunOutcome.FAILED, "", WALL);
    assertEquals(WorkflowStatus.RUNNING, workflow.status());
    workflow.ended(run(workflow, 0, 0), RunOutcome.FAILED, "", WALL);
    assertEquals(WorkflowStatus.FAILED, workflow.status());
    assertTrue(ready(workflow, WALL).isEmpty());
  }

  @Test
  void lastingTasksAreOrderedAgainHoweverTheyEnd() {
    Workflow workflow = Workflow.of(Workflows.spec(Workflows.step(1, 100, Workflows.lasting(50))));
    for (RunOutcome outcome : RunOutcome.values()) {
      workflow.ended(run(workflow, 0, 0), outcome, "", WALL);
      assertEquals(1, ready(workflow, WALL).size(), outcome.name());
    }
  }

  @Test
  void cancelledWorkflowStartsNothingAndKeepsItsOpenRuns() {
    Workflow workflow = Workflow.of(Workflows.spec(Workflows.step(2, 100, StepSpec.Nature.PLAIN)));
    RunKey open = run(workflow, 0, 0);
    assertTrue(workflow.cancel(WALL));
    assertFalse(workflow.cancel(WALL));
    assertTrue(ready(workflow, WALL).isEmpty());
    assertEquals(1, workflow.openTasks().size());
    assertTrue(workflow.ended(open, RunOutcome.DONE, "", WALL));
    assertEquals(WorkflowStatus.CANCELLED, workflow.status());
  }

  @Test
  void occurrencesFallDueOneByOne() {
    WorkflowSpec.Schedule schedule = new WorkflowSpec.Schedule(2, 10_000, 4_000);
    Workflow workflow =
        Workflow.of(
            Workflows.spec(
                Workflows.ID, 0, 0, schedule, Workflows.step(1, 100, StepSpec.Nature.PLAIN)));
    assertTrue(ready(workflow, 9_999).isEmpty());
    assertEquals(1, ready(workflow, 10_000).size());
    assertEquals(2, ready(workflow, 14_000).size());
  }

  private static List<RunKey> orderGang(Workflow workflow) {
    List<WorkflowTask> members = workflow.tasksOf(0, 0);
    workflow.orderGang(members.get(0), Collections.nCopies(members.size(), Workflows.HERE));
    return members.stream().map(WorkflowTask::openRun).toList();
  }

  private static void endAll(Workflow workflow, RunOutcome outcome) {
    for (WorkflowTask open : workflow.openTasks()) {
      workflow.ended(open.openRun(), outcome, "", WALL);
    }
  }

  @Test
  void theMembersOfAGangShareAttemptCheckpointAndDone() {
    Workflow workflow = Workflow.of(Workflows.spec(Workflows.gang(3, 100, false)));
    List<RunKey> first = orderGang(workflow);
    workflow.task(first.get(1).task()).orElseThrow().observe("saved", 50);
    workflow.ended(first.get(0), RunOutcome.STOPPED, "", WALL);
    assertTrue(ready(workflow, WALL).isEmpty(), "the others may still run");
    assertTrue(workflow.openTasks().stream().allMatch(WorkflowTask::isStopWanted));
    endAll(workflow, RunOutcome.STOPPED);
    assertEquals(3, ready(workflow, WALL).size());
    List<RunKey> second = orderGang(workflow);
    assertTrue(second.stream().allMatch(run -> run.attempt() == 2));
    assertTrue(workflow.tasks().stream().allMatch(task -> task.checkpoint().equals("saved")));
    workflow.ended(second.get(2), RunOutcome.DONE, "", WALL);
    assertEquals(WorkflowStatus.DONE, workflow.status());
    assertTrue(workflow.openTasks().isEmpty());
  }

  /** Two members of a gang failed in one attempt. Guards against counting both, which failed the workflow after its first attempt although two were allowed. */
  @Test
  void anAttemptOfAGangFailsOnce() {
    Workflow workflow = Workflow.of(Workflows.spec(Workflows.gang(3, 100, false)));
    List<RunKey> first = orderGang(workflow);
    workflow.ended(first.get(0), RunOutcome.FAILED, "", WALL);
    workflow.ended(first.get(1), RunOutcome.FAILED, "", WALL);
    workflow.ended(first.get(2), RunOutcome.BROKEN, "", WALL);
    assertEquals(WorkflowStatus.RUNNING, workflow.status());
    List<RunKey> second = orderGang(workflow);
    workflow.ended(second.get(2), RunOutcome.FAILED, "", WALL);
    assertEquals(WorkflowStatus.FAILED, workflow.status());
  }

  /** A gang completed on two VMs. The worker of one crashed before it reported the end, so that member counted as lost; the delayed end of the other reported completion. Guards against a workflow that stays half done, and whose further attempts fail together with everything that waits behind it. */
  @Test
  void doneByOneMemberIsDoneByAMemberThatCountedAsLost() {
    WorkflowSpec spec = Workflows.spec(Workflows.gang(3, 100, false));
    for (int lost = 0; lost < 3; lost++) {
      Workflow workflow = Workflow.of(spec);
      List<RunKey> runs = orderGang(workflow);
      workflow.ended(runs.get(lost), RunOutcome.LOST, "", WALL);
      workflow.ended(runs.get((lost + 1) % 3), RunOutcome.DONE, "", WALL);
      assertEquals(WorkflowStatus.DONE, workflow.status(), "lost: member " + lost);
      assertTrue(workflow.tasks().stream().allMatch(WorkflowTask::isDone));
      assertTrue(workflow.openTasks().isEmpty());
      assertEquals(0.0, workflow.workLeft());
      assertEquals(WorkflowStatus.DONE, Workflow.restore(spec, workflow.record()).status());
    }
  }

  /** An owner dies while it stops the rest of a broken gang; the next owner must stop it. */
  @Test
  void whatIsLeftOfABrokenGangIsStoppedByTheNextOwner() {
    WorkflowSpec spec = Workflows.spec(Workflows.gang(3, 100, false));
    Workflow workflow = Workflow.of(spec);
    List<RunKey> runs = orderGang(workflow);
    Workflow whole = Workflow.restore(spec, workflow.record());
    assertTrue(whole.openTasks().stream().noneMatch(WorkflowTask::isStopWanted));
    workflow.ended(runs.get(0), RunOutcome.LOST, "", WALL);
    Workflow broken = Workflow.restore(spec, workflow.record());
    assertEquals(2, broken.openTasks().size());
    assertTrue(broken.openTasks().stream().allMatch(WorkflowTask::isStopWanted));
  }

  /** An owner dies at any time and another continues from the last durable record. Guards against losing an open attempt or reusing an attempt number. */
  @Property(tries = 200)
  void aRestoredWorkflowGoesOnWhereTheRecordWas(
      @ForAll List<@IntRange(min = 0, max = 4) Integer> steps) {
    WorkflowSpec spec =
        Workflows.spec(
            Workflows.step(2, 100, StepSpec.Nature.PLAIN),
            Workflows.step(2, 100, Workflows.filling(), 0));
    Workflow workflow = Workflow.of(spec);
    for (int choice : steps) {
      advance(workflow, choice);
      Workflow restored = Workflow.restore(spec, workflow.record());
      assertEquals(workflow.record(), restored.record());
      assertEquals(ready(workflow, WALL), ready(restored, WALL));
      assertEquals(
          workflow.openTasks().stream().map(WorkflowTask::openRun).toList(),
          restored.openTasks().stream().map(WorkflowTask::openRun).toList());
    }
  }

  private static void advance(Workflow workflow, int choice) {
    List<WorkflowTask> open = workflow.openTasks();
    if (choice > 1 && !open.isEmpty()) {
      RunOutcome outcome = choice == 2 ? RunOutcome.DONE : RunOutcome.LAPSED;
      workflow.ended(open.get(0).openRun(), outcome, "checkpoint-" + choice, WALL);
      return;
    }
    List<TaskKey> ready = ready(workflow, WALL);
    if (!ready.isEmpty()) {
      workflow.order(workflow.task(ready.get(0)).orElseThrow(), Workflows.HERE);
    }
  }
}
