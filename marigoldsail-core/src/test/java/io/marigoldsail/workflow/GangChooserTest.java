package io.marigoldsail.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class GangChooserTest {
  private static final GangChooser GANGS = GangChooser.of(WorkflowFixtures.CHOOSER);

  private static Optional<List<String>> choose(StepSpec step, VmOffer... offers) {
    return GANGS
        .choose(WorkflowFixtures.request(step, 0, Urgency.ORDINARY), step.tasks(), List.of(offers))
        .map(chosen -> chosen.stream().map(each -> each.place().vm()).sorted().toList());
  }

  private static VmOffer offer(String vm, String rack, long freeMilli) {
    VmOffer plain = WorkflowFixtures.offer(vm, freeMilli, 0, 0);
    return new VmOffer(
        plain.place(),
        plain.service(),
        plain.labels(),
        rack,
        plain.capacity(),
        plain.free(),
        0,
        0,
        0,
        0,
        1,
        Optional.empty());
  }

  /**
   * Two wide gangs share a fleet with capacity for one. Guards against placing them task by task:
   * each held half of the capacity and waited for the other half until the workers gave both up.
   * The first gang must be placed whole, the second not at all.
   */
  @Test
  void placesAllMembersOrNone() {
    StepSpec gang = WorkflowFixtures.gang(4, 3_000, false);
    assertEquals(
        Optional.of(List.of("a", "a", "b", "b")),
        choose(
            gang,
            WorkflowFixtures.offer("a", 6_000, 0, 0),
            WorkflowFixtures.offer("b", 6_500, 0, 0)));
    assertEquals(
        Optional.empty(),
        choose(
            gang,
            WorkflowFixtures.offer("a", 6_000, 0, 0),
            WorkflowFixtures.offer("b", 5_900, 0, 0)));
  }

  /**
   * Members that are slower on separate racks do not wait, but prefer a rack that holds all of
   * them.
   */
  @Test
  void prefersOneRackThatFitsAllMembers() {
    StepSpec gang = WorkflowFixtures.gang(4, 3_000, true);
    VmOffer empty = offer("empty", "r1", 9_000);
    VmOffer left = offer("left", "r2", 7_000);
    VmOffer right = offer("right", "r2", 6_000);
    assertEquals(
        Optional.of(List.of("left", "left", "right", "right")), choose(gang, empty, left, right));
    VmOffer narrow = offer("right", "r2", 2_000);
    assertEquals(
        Optional.of(List.of("empty", "empty", "left", "left")), choose(gang, empty, left, narrow));
  }
}
