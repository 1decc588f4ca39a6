package io.marigoldsail.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.colocation.ImageEffects;
import io.marigoldsail.colocation.ServiceRooms;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Placement on VMs that report the room beside their services. */
class RoomsBesideServicesTest {
  private static final StepSpec HEAVY =
      WorkflowFixtures.step(1, 1_600, WorkflowFixtures.bestEffort());
  private static final StepSpec SERVICE =
      WorkflowFixtures.step(1, 3_200, WorkflowFixtures.longRunning(125));

  /** The image of best-effort tasks costs services of this image headroom, and no others. */
  private static final String SENSITIVE = "sensitive";

  private static final ImageEffects EFFECTS =
      (bestEffort, service) -> service.equals(SENSITIVE) ? 8 : 0;

  private static VmOffer offer(String vm, long freeMilli, Map<String, Double> rooms) {
    VmOffer plain = WorkflowFixtures.offer(vm, freeMilli, 0, rooms.isEmpty() ? 0 : 3);
    return new VmOffer(
        plain.place(),
        plain.service(),
        plain.labels(),
        plain.rack(),
        plain.capacity(),
        plain.free(),
        plain.bestEffortMilliProcessors(),
        plain.interferingMilliProcessors(),
        plain.overcommitMilliProcessors(),
        plain.serviceTasks(),
        plain.slowdown(),
        rooms.isEmpty() ? Optional.empty() : Optional.of(ServiceRooms.of(rooms, EFFECTS)));
  }

  private static Optional<String> choose(StepSpec step, Urgency urgency, VmOffer... offers) {
    return WorkflowFixtures.CHOOSER
        .choose(
            WorkflowFixtures.request(step, ImageInterference.INTERFERING_BELIEF, urgency),
            List.of(offers),
            offer -> 0)
        .map(offer -> offer.place().vm());
  }

  /** Guards against idle processors beside services that the task does not harm. */
  @Test
  void taskGoesBesideServicesThatItDoesNotHarm() {
    assertEquals(
        Optional.of("harmless"),
        choose(
            HEAVY,
            Urgency.HURRIED,
            offer("harmed", 8_000, Map.of(SENSITIVE, 2.0)),
            offer("harmless", 4_000, Map.of("robust", 0.0)),
            offer("empty", 16_000, Map.of())));
  }

  /** Guards against services over their targets: there is no room beside them. */
  @Test
  void taskWithoutRoomWaits() {
    VmOffer full = offer("full", 8_000, Map.of(SENSITIVE, 0.25));
    assertEquals(Optional.empty(), choose(HEAVY, Urgency.ORDINARY, full));
    assertEquals(
        VmChooser.Verdict.BEST_EFFORT_LIMIT,
        VmChooser.verdict(WorkflowFixtures.request(HEAVY, 0, Urgency.ORDINARY), full, unused -> 0));
    assertEquals(Optional.of("full"), choose(HEAVY, Urgency.STARVED, full));
  }

  /** Guards against a second task that is placed in the room of the first. */
  @Test
  void placedTaskTakesRoom() {
    VmOffer offer = offer("vm", 8_000, Map.of(SENSITIVE, 1.0));
    assertEquals(Optional.of("vm"), choose(HEAVY, Urgency.ORDINARY, offer));
    VmOffer left = offer.afterPlacing(HEAVY, 1);
    assertEquals(Optional.empty(), choose(HEAVY, Urgency.ORDINARY, left));
    assertTrue(left.rooms().orElseThrow().asMap().get(SENSITIVE) < 1);
  }

  @Test
  void servicesOfAnImageAreKeptTogether() {
    assertEquals(
        Optional.of("alike"),
        choose(
            SERVICE,
            Urgency.ORDINARY,
            offer("other", 4_000, Map.of("robust", 1.0)),
            offer("alike", 12_000, Map.of("svc", 1.0))));
  }
}
