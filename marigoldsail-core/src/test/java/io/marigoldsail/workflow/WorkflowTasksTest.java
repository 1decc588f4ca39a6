package io.marigoldsail.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** What a workflow keeps of its tasks, and that it loses nothing by it. */
class WorkflowTasksTest {
  private static final long MINUTE_MILLIS = 60_000;

  private static WorkflowSpec scheduled(int occurrences, long interval, StepSpec... steps) {
    WorkflowSpec.Schedule schedule = new WorkflowSpec.Schedule(occurrences, 0, interval);
    return WorkflowFixtures.spec(WorkflowFixtures.ID, 0, 0, schedule, steps);
  }

  private static StepSpec step(int tasks, Integer... dependsOn) {
    return WorkflowFixtures.step(tasks, 100, StepSpec.TaskTraits.PLAIN, dependsOn);
  }

  private static List<WorkflowTask> ready(Workflow workflow, long wallMillis) {
    List<WorkflowTask> ready = new ArrayList<>();
    workflow.forEachReady(wallMillis, ready::add);
    return ready;
  }

  private static void complete(Workflow workflow, WorkflowTask task) {
    RunKey run = workflow.startAttempt(task, WorkflowFixtures.PLACE);
    workflow.recordEnd(run, RunOutcome.DONE, "checkpoint", 1);
  }

  /** Guards against a short submission that takes megabytes of its owner until it is due. */
  @Test
  void occurrencesThatAreNotDueTakeNoMemory() {
    List<Workflow> workflows = new ArrayList<>();
    for (int i = 0; i < 2_000; i++) {
      workflows.add(Workflow.of(scheduled(WorkflowSpec.MAX_TASKS, MINUTE_MILLIS, step(1))));
    }
    assertEquals(1, ready(workflows.get(1_999), 0).size());
    assertTrue(
        workflows.get(0).footprintBytes() < 4_000, () -> "" + workflows.get(0).footprintBytes());
  }

  /** Guards against occurrences that are kept for as long as a schedule goes on. */
  @Test
  void occurrencesThatAreDoneTakeNoMemory() {
    Workflow workflow = Workflow.of(scheduled(WorkflowSpec.MAX_TASKS, MINUTE_MILLIS, step(1)));
    long before = workflow.footprintBytes();
    for (int occurrence = 0; occurrence < WorkflowSpec.MAX_TASKS; occurrence++) {
      List<WorkflowTask> due = ready(workflow, occurrence * MINUTE_MILLIS);
      assertEquals(1, due.size());
      complete(workflow, due.get(0));
      assertTrue(workflow.footprintBytes() < before + 2_000);
    }
    assertEquals(WorkflowStatus.DONE, workflow.status());
  }

  /** One below the limit, at it, and one above. */
  @Test
  void newTasksBeyondTheLimitAreLeftForTheNextLook() {
    for (int tasks = Workflow.MAX_NEW_READY - 1; tasks <= Workflow.MAX_NEW_READY + 1; tasks++) {
      Workflow workflow = Workflow.of(WorkflowFixtures.spec(step(tasks)));
      List<WorkflowTask> first = new ArrayList<>();
      assertEquals(tasks > Workflow.MAX_NEW_READY, workflow.forEachReady(0, first::add));
      assertEquals(Math.min(tasks, Workflow.MAX_NEW_READY), first.size());
      first.forEach(task -> workflow.startAttempt(task, WorkflowFixtures.PLACE));
      assertEquals(tasks - first.size(), ready(workflow, 0).size());
    }
  }

  @Test
  void oneNewTaskOfEachStepIsPassedOnIfNoMoreAreAskedFor() {
    Workflow workflow = Workflow.of(scheduled(3, 0, step(5), step(4)));
    List<WorkflowTask> ready = new ArrayList<>();
    assertTrue(workflow.forEachReady(0, 1, ready::add));
    assertEquals(
        List.of(
            new TaskKey(WorkflowFixtures.ID, 0, 0, 0), new TaskKey(WorkflowFixtures.ID, 0, 1, 0)),
        ready.stream().map(WorkflowTask::key).toList());
  }

  /** Guards against tasks that are never started again behind many that never started. */
  @Test
  void tasksThatFailedAreReadyBesideAnyNumberOfNewOnes() {
    Workflow workflow = Workflow.of(scheduled(WorkflowSpec.MAX_TASKS / 2, 0, step(1), step(1, 0)));
    WorkflowTask last = workflow.task(new TaskKey(WorkflowFixtures.ID, 9_999, 0, 0)).orElseThrow();
    RunKey run = workflow.startAttempt(last, WorkflowFixtures.PLACE);
    workflow.recordEnd(run, RunOutcome.FAILED, "", 1);
    assertTrue(ready(workflow, 0).contains(last));
  }

  /** Guards against an end that is reported again after its task was dropped. */
  @Test
  void endOfATaskThatIsDoneChangesNothing() {
    Workflow workflow = Workflow.of(WorkflowFixtures.spec(step(3)));
    WorkflowTask task = ready(workflow, 0).get(1);
    complete(workflow, task);
    RunKey run = new RunKey(task.key(), 1);
    assertFalse(workflow.recordEnd(run, RunOutcome.DONE, "", 2));
    assertFalse(workflow.recordLateCompletion(run, "", 2));
    assertTrue(workflow.task(task.key()).orElseThrow().hasEnded(1));
    assertFalse(workflow.task(task.key()).orElseThrow().isSuperseded(1, RunOutcome.DONE));
  }

  /**
   * Guards against a gang that is done in part, for which no attempt can start: its members are in
   * two parts of the record, and the former owner died when one of them was durable.
   */
  @Test
  void gangThatIsDurableInPartIsCompletedByTheNextOwner() {
    int members = Workflow.TASKS_PER_PART + 10;
    WorkflowSpec spec = WorkflowFixtures.spec(WorkflowFixtures.gang(members, 100, false));
    Workflow former = Workflow.of(spec);
    former.startGangAttempt(
        former.tasks().get(0), Collections.nCopies(members, WorkflowFixtures.PLACE));
    List<TaskRecordState> open = former.recordOfPart(0).tasks();
    former.recordEnd(former.tasks().get(70).openRun(), RunOutcome.DONE, "", 1);
    List<TaskRecordState> tasks = new ArrayList<>(open);
    tasks.addAll(former.recordOfPart(1).tasks());
    WorkflowRecordState state =
        new WorkflowRecordState(WorkflowStatus.RUNNING, ImmutableList.copyOf(tasks), 0, "");
    Workflow restored = Workflow.restore(spec, state);
    assertTrue(restored.reconcile(7));
    assertEquals(WorkflowStatus.DONE, restored.status());
    assertEquals(7, restored.endedMillis());
    assertFalse(restored.hasOpenTasks());
    assertFalse(restored.reconcile(8));
  }

  /** What a test remembers of a task. */
  private static final class Model {
    private boolean done;
    private boolean open;
    private int attempts;
  }

  /**
   * Guards against a task that is lost, or started twice, as its object is dropped and created
   * anew: random runs, with a new owner now and then, against a plain table of all tasks.
   */
  @Property(tries = 200)
  void readyAndOpenTasksAreThoseOfAPlainTable(@ForAll long seed) {
    Random random = new Random(seed);
    int width = 1 + random.nextInt(60);
    int occurrences = random.nextInt(5);
    WorkflowSpec spec =
        scheduled(occurrences, random.nextInt(3), step(width), step(1 + random.nextInt(60), 0));
    Workflow workflow = Workflow.of(spec);
    Map<TaskKey, Model> model = new HashMap<>();
    workflow.tasks().forEach(task -> model.put(task.key(), new Model()));
    for (int round = 0; round < 60; round++) {
      long wall = random.nextInt(12);
      Set<String> expected = new TreeSet<>();
      model.forEach(
          (key, task) -> {
            boolean due = occurrences == 0 || spec.schedule().dueMillis(key.occurrence()) <= wall;
            if (due && !task.done && !task.open && dependenciesDone(model, key)) {
              expected.add(key.toString());
            }
          });
      Set<String> actual = new TreeSet<>();
      List<WorkflowTask> ready = ready(workflow, wall);
      ready.forEach(task -> actual.add(task.key().toString()));
      if (!workflow.status().isTerminal()) {
        assertEquals(expected, actual);
      }
      for (WorkflowTask task : ready) {
        if (random.nextInt(3) == 0) {
          Model known = model.get(task.key());
          assertEquals(
              ++known.attempts, workflow.startAttempt(task, WorkflowFixtures.PLACE).attempt());
          known.open = true;
        }
      }
      for (WorkflowTask task : workflow.openTasks()) {
        if (random.nextInt(2) == 0) {
          Model known = model.get(task.key());
          boolean done = random.nextInt(4) > 0;
          workflow.recordEnd(
              task.openRun(), done ? RunOutcome.DONE : RunOutcome.REFUSED, "saved", wall);
          known.open = false;
          known.done = done;
        }
      }
      assertEquals(
          model.values().stream().filter(task -> task.open).count(), workflow.openTasks().size());
      assertEquals(!workflow.openTasks().isEmpty(), workflow.hasOpenTasks());
      assertEquals(
          model.values().stream().allMatch(task -> task.done),
          workflow.status() == WorkflowStatus.DONE);
      if (random.nextInt(5) == 0) {
        Optional<WorkflowRecordState> before = Optional.of(workflow.record());
        workflow = Workflow.restore(spec, before.get());
        assertEquals(before.get(), workflow.record());
      }
    }
  }

  private static boolean dependenciesDone(Map<TaskKey, Model> model, TaskKey key) {
    return key.step() == 0
        || model.entrySet().stream()
            .filter(each -> each.getKey().occurrence() == key.occurrence())
            .filter(each -> each.getKey().step() == 0)
            .allMatch(each -> each.getValue().done);
  }
}
