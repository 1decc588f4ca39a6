package io.marigoldsail.workflow;

import static io.marigoldsail.workflow.WorkflowFixtures.ID;
import static io.marigoldsail.workflow.WorkflowFixtures.spec;
import static io.marigoldsail.workflow.WorkflowFixtures.step;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import java.util.Collections;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class WorkflowSpecTest {
  private static final StepSpec.TaskTraits PLAIN = StepSpec.TaskTraits.PLAIN;

  private static WorkflowSpec repeated(int steps, int tasks, int occurrences) {
    StepSpec step = step(tasks, 100, PLAIN);
    return spec(
        ID,
        0,
        1,
        new WorkflowSpec.Schedule(occurrences, 1, 1),
        Collections.nCopies(steps, step).toArray(new StepSpec[0]));
  }

  /** Guards against a product of counts that overflows: its owners ran out of memory. */
  @ParameterizedTest
  @CsvSource({
    "1, 2147483647, 1",
    "1, 1, 2147483647",
    "1, 2147483647, 2147483647",
    "2, 2147483647, 2147483647",
    "3, 2147483647, 2147483647",
    "4, 2147483647, 2147483647",
    "4, 1073741824, 2147483647",
    "8, 1073741824, 1073741824",
    "16, 1073741824, 1073741824",
    "1, 20001, 0",
    "2, 100, 101"
  })
  void moreTasksThanTheMaximumAreRefused(int steps, int tasks, int occurrences) {
    assertThrows(IllegalArgumentException.class, () -> repeated(steps, tasks, occurrences));
  }

  @Test
  void maximumOfTasksIsAccepted() {
    assertEquals(200, repeated(1, 100, 200).schedule().occurrenceCount());
  }

  /** Guards against passes that take time in proportion to repeated dependencies. */
  @Test
  void repeatedDependenciesAreLeftOut() {
    assertEquals(ImmutableList.of(1, 0), step(1, 1, PLAIN, 1, 0, 1, 0, 0).dependsOn());
  }

  /** Guards against start orders that fit in no frame and close the link to a VM. */
  @Test
  void textsThatFitInNoFrameAreRefused() {
    WorkflowSpec sound = spec(step(1, 100, PLAIN));
    String text = "x".repeat(WorkflowSpec.MAX_PROGRAM_LENGTH + 1);
    assertThrows(
        IllegalArgumentException.class,
        () -> new WorkflowSpec(ID, "q", sound.policy(), text, sound.steps(), sound.schedule(), 1));
    WorkflowSpec.QueuePolicy policy =
        new WorkflowSpec.QueuePolicy(text, 0, 1, Optional.empty(), 1, 1);
    assertThrows(
        IllegalArgumentException.class,
        () -> new WorkflowSpec(ID, "q", policy, "p", sound.steps(), sound.schedule(), 1));
    assertThrows(
        IllegalArgumentException.class,
        () -> new WorkflowSpec(ID, text, sound.policy(), "p", sound.steps(), sound.schedule(), 1));
    assertThrows(IllegalArgumentException.class, () -> new StepSpec.Placement(text, "", false, 0));
    assertThrows(IllegalArgumentException.class, () -> new StepSpec.Placement("", text, false, 0));
    assertThrows(
        IllegalArgumentException.class,
        () -> new StepSpec.TaskTraits(false, false, false, false, false, text, 0, 0));
  }
}
