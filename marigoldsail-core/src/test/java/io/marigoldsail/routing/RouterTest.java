package io.marigoldsail.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.dispatch.AttemptOutcome;
import io.marigoldsail.dispatch.TargetLoad;
import io.marigoldsail.dispatch.TargetState;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class RouterTest {
  private static final long MILLI = 1_000_000;
  private static final int SLOTS = 8;

  private final Router router = new Router("suva", new SplittableRandom(9));
  private long now = 1;

  private static TargetState target(String vm, long incarnation, String zone, boolean draining) {
    return new TargetState(vm, incarnation, "parking", zone, SLOTS, draining);
  }

  private static List<TargetState> targets(int count) {
    List<TargetState> states = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      states.add(target("vm-" + i, 1, i % 2 == 0 ? "suva" : "nadi", false));
    }
    return states;
  }

  private Optional<Route> send(boolean mayProbe) {
    Optional<Route> route = router.choose("", false, mayProbe, now);
    route.ifPresent(chosen -> router.attemptSent(chosen.vm(), now));
    return route;
  }

  /** Sends one request and records its outcome after the service time of its target. */
  private String roundTrip(Map<String, Long> millis, AttemptOutcome outcome) {
    String vm = send(true).orElseThrow().vm();
    long sentAt = now;
    now += millis.getOrDefault(vm, 10L) * MILLI;
    router.attemptEnded(vm, outcome, sentAt, now);
    return vm;
  }

  // A target that a noisy neighbour slows down tenfold loses its share while the others keep
  // theirs, and regains it once it is fast again.
  @Test
  void ejectsASlowTargetAndReadmitsItAfterRecovery() {
    router.updateTargets(targets(5), now);
    Map<String, Long> slow = new HashMap<>(Map.of("vm-2", 100L));
    for (int i = 0; i < 200; i++) {
      roundTrip(slow, AttemptOutcome.ANSWERED);
    }
    assertEquals(List.of("vm-2"), router.ejectedVms());
    slow.clear();
    for (int i = 0; i < 400 && !router.ejectedVms().isEmpty(); i++) {
      now += 5 * MILLI;
      roundTrip(slow, AttemptOutcome.ANSWERED);
    }
    assertEquals(List.of(), router.ejectedVms());
  }

  // A probe of a slow target happens to be a long job of ten seconds. The target recovers
  // meanwhile, and must be probed again without waiting for that job.
  @Test
  void probesAnEjectedTargetWhileAnotherProbeIsInFlight() {
    router.updateTargets(targets(5), now);
    for (int i = 0; i < 200; i++) {
      roundTrip(Map.of("vm-2", 100L), AttemptOutcome.ANSWERED);
    }
    router.attemptSent("vm-2", now);
    for (int i = 0; i < 400 && !router.ejectedVms().isEmpty(); i++) {
      now += 5 * MILLI;
      roundTrip(Map.of(), AttemptOutcome.ANSWERED);
    }
    assertEquals(List.of(), router.ejectedVms());
  }

  // After a burst, requests are sent with milliseconds left, and all of them time out. Counted as
  // failures, these timeouts ejected eight of eleven healthy targets, and the service stayed at a
  // third of its capacity.
  @Test
  void ignoresTimeoutsOfRequestsSentWithLittleTimeLeft() {
    router.updateTargets(targets(4), now);
    for (int i = 0; i < 100; i++) {
      roundTrip(Map.of(), AttemptOutcome.ANSWERED);
    }
    for (int i = 0; i < 50; i++) {
      send(false)
          .ifPresent(r -> router.attemptEnded(r.vm(), AttemptOutcome.TIMED_OUT, now, now + 1));
    }
    assertEquals(List.of(), router.ejectedVms());
  }

  // Half of the targets become slow together, for instance because of a rack's switch. With all of
  // them ejected, the rest would be full and most callers refused, although slow responses were
  // available.
  @Test
  void neverEjectsMoreThanAThird() {
    router.updateTargets(targets(6), now);
    Map<String, Long> slow = Map.of("vm-0", 100L, "vm-2", 100L, "vm-4", 100L);
    for (String vm : List.of("vm-1", "vm-3", "vm-5", "vm-0", "vm-2", "vm-4")) {
      for (int i = 0; i < 50; i++) {
        router.attemptSent(vm, now);
        long sentAt = now;
        now += slow.getOrDefault(vm, 10L) * MILLI;
        router.attemptEnded(vm, AttemptOutcome.ANSWERED, sentAt, now);
      }
    }
    assertEquals(List.of("vm-0", "vm-2"), router.ejectedVms());
  }

  // A target restarts while the service is busy. If each of nine entries filled it at once with
  // eight requests, it would fail again.
  @Test
  void startsANewTargetSlowly() {
    router.updateTargets(targets(1), now);
    now += 10_000 * MILLI;
    router.updateTargets(targets(2), now);
    int inFlight = 0;
    while (send(false).filter(route -> route.vm().equals("vm-1")).isPresent()
        || router.inFlight() < SLOTS) {
      inFlight = router.inFlight();
    }
    assertTrue(inFlight <= SLOTS + 1, "in flight: " + inFlight);
  }

  @Test
  void prefersItsOwnZoneUntilThatIsBusy() {
    router.updateTargets(targets(2), now);
    assertEquals("vm-0", send(false).orElseThrow().vm());
    for (int i = 0; i < 6; i++) {
      send(false);
    }
    assertEquals("vm-1", send(false).orElseThrow().vm());
  }

  // A side process starts draining. Its last announcement is seconds old, but a report with a
  // response takes effect immediately.
  @Test
  void sendsNothingToADrainingTarget() {
    router.updateTargets(targets(1), now);
    router.loadReported("vm-0", new TargetLoad(0, 0, 1, true), now);
    assertTrue(send(false).isEmpty());
  }

  // A VM is replaced under the same name while requests are in flight. Their late outcomes must not
  // be counted against the new target, which would look idle while it is full.
  @Test
  void ignoresLateOutcomesOfAReplacedTarget() {
    router.updateTargets(targets(1), now);
    String vm = send(false).orElseThrow().vm();
    long sentAt = now;
    now += MILLI;
    router.updateTargets(List.of(target("vm-0", 2, "suva", false)), now);
    router.attemptSent(vm, now);
    router.attemptEnded(vm, AttemptOutcome.LOST, sentAt, now);
    assertEquals(1, router.inFlight());
  }

  // Another entry has filled the target. An entry without requests there may still send one,
  // otherwise it would never learn of free capacity. After a rejection it backs off.
  @Test
  void triesOneRequestAtATargetFilledByOtherEntries() {
    router.updateTargets(targets(1), now);
    router.loadReported("vm-0", new TargetLoad(SLOTS, 4, 2, false), now);
    assertTrue(send(false).isPresent());
    assertFalse(send(false).isPresent());
    router.attemptEnded("vm-0", AttemptOutcome.NOT_RUN, now, now);
    assertFalse(send(false).isPresent());
    assertTrue(router.nextBackoffEnd(now) > now);
  }

  // A single entry with a target that responds within 0.2 ms. Requests of the last millisecond were
  // attributed to other entries, so the entry left slots idle and reached only 15,000 requests per
  // second with idle processors.
  @Test
  void fillsTheSlotsOfATargetThatAnswersWithinAMillisecond() {
    router.updateTargets(targets(1), now);
    Deque<Long> sentAt = new ArrayDeque<>();
    int inFlight = 0;
    for (int round = 0; round < 50_000; round++) {
      while (send(false).isPresent()) {
        sentAt.add(now);
      }
      inFlight = sentAt.size();
      now += MILLI / 5 / Math.max(1, inFlight);
      while (!sentAt.isEmpty() && now - sentAt.peek() >= MILLI / 5) {
        long first = sentAt.remove();
        router.loadReported("vm-0", new TargetLoad(sentAt.size(), 0, 1, false), now);
        router.attemptEnded("vm-0", AttemptOutcome.ANSWERED, first, now);
      }
    }
    assertTrue(inFlight >= SLOTS, "only " + inFlight + " of " + SLOTS + " slots in use");
  }
}
