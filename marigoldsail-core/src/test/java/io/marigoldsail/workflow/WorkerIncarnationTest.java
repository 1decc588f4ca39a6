package io.marigoldsail.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class WorkerIncarnationTest {
  @Property
  void nameIdentifiesTheIncarnation(@ForAll @LongRange(min = 0, max = 1L << 58) long birth) {
    WorkerIncarnation incarnation = WorkerIncarnation.of("i-1", birth);
    assertEquals(incarnation, WorkerIncarnation.parse(incarnation.name()));
    assertEquals("i-1", WorkerIncarnation.idOf(incarnation.name()));
  }

  @Test
  void workerWithoutBirthIsItsOwnIncarnation() {
    assertEquals("i-1", WorkerIncarnation.of("i-1").name());
    assertEquals(WorkerIncarnation.of("i-1"), WorkerIncarnation.parse("i-1"));
  }

  @Test
  void onlyDifferentBirthsUnderOneIdAreSuccessive() {
    assertTrue(WorkerIncarnation.areSuccessive("i-1@1", "i-1@2"));
    assertFalse(WorkerIncarnation.areSuccessive("i-1@1", "i-1@1"));
    assertFalse(WorkerIncarnation.areSuccessive("i-1@1", "i-2@2"));
    assertFalse(WorkerIncarnation.areSuccessive("i-1", "i-1@2"));
    assertFalse(WorkerIncarnation.areSuccessive("", "i-1"));
  }

  /** Programs that know no births name the id alone. */
  @Test
  void nameWithoutBirthMayBeTheSame() {
    assertTrue(WorkerIncarnation.mayBeSame("i-1", "i-1@1"));
    assertTrue(WorkerIncarnation.mayBeSame("i-1@1", "i-1"));
    assertTrue(WorkerIncarnation.mayBeSame("i-1", "i-1"));
    assertFalse(WorkerIncarnation.mayBeSame("i-1@1", "i-1@2"));
    assertFalse(WorkerIncarnation.mayBeSame("i-1", "i-2@1"));
    assertFalse(WorkerIncarnation.mayBeSame("i-1", "i-2"));
  }

  /** Guards against a name that is written in another spelling than it was read in. */
  @Test
  void anotherSpellingOfABirthIsRejected() {
    assertThrows(IllegalArgumentException.class, () -> WorkerIncarnation.parse("i-1@007"));
    assertThrows(IllegalArgumentException.class, () -> WorkerIncarnation.parse("i-1@\u0667"));
    assertEquals("i-1@0", WorkerIncarnation.parse("i-1@0").name());
  }

  @Test
  void idWithSeparatorIsRejected() {
    assertThrows(IllegalArgumentException.class, () -> WorkerIncarnation.of("i@1"));
    assertThrows(IllegalArgumentException.class, () -> WorkerIncarnation.parse("i-1@x"));
    assertThrows(IllegalArgumentException.class, () -> WorkerIncarnation.of(""));
  }
}
