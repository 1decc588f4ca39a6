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

  private static TargetState target(String vm, long incarnation, String zone, boolean leaving) {
    return new TargetState(vm, incarnation, "parking", zone, SLOTS, leaving);
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

  /** Sends one request and has it answered after the time that its target takes. */
  private String roundTrip(Map<String, Long> millis, AttemptOutcome outcome) {
    String vm = send(true).orElseThrow().vm();
    long sentAt = now;
    now += millis.getOrDefault(vm, 10L) * MILLI;
    router.attemptEnded(vm, outcome, sentAt, now);
    return vm;
  }

  // One executor's VM is crowded by a noisy task and answers ten times slower. It must lose its
  // share while the others keep theirs, and get it back once it is quick again.
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

  // A slow target is tried with a request that happens to be a long job: it takes ten seconds. The
  // target recovers meanwhile, and must not have to wait for that job to be tried again.
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

  // A burst keeps requests waiting until they have milliseconds left; sent then, all of them time
  // out. Counted as failures of their targets, that eased off eight of eleven healthy ones, and the
  // service stayed at a third of its capacity after the burst.
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

  // Half of the targets become slow together, say with a rack's switch. With all of them eased off
  // the rest would be full and most callers refused, while slow answers were to be had.
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

  // A target comes back while the service is busy. Filled at once with eight requests by each of
  // nine entries, it would go down again.
  @Test
  void startsANewTargetSlowly() {
    router.updateTargets(targets(1), now);
    now += 10_000 * MILLI;
    router.updateTargets(targets(2), now);
    int early = 0;
    while (send(false).filter(route -> route.vm().equals("vm-1")).isPresent()
        || router.inFlight() < SLOTS) {
      early = router.inFlight();
    }
    assertTrue(early <= SLOTS + 1, "in flight: " + early);
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

  // A side process is told to leave; its announcement is seconds old, but a report on an answer
  // says so at once.
  @Test
  void sendsNothingToADrainingTarget() {
    router.updateTargets(targets(1), now);
    router.loadReported("vm-0", new TargetLoad(0, 0, 1, true), now);
    assertTrue(send(false).isEmpty());
  }

  // A VM is replaced under its name while requests are out. Their late ends must not count against
  // the new one, or it would look idle while it is full.
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

  // Another entry has filled the target. This one, with nothing there, may still try one request,
  // else it would never learn that there is room; what is turned away is not repeated at once.
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

  // One entry alone, its target answers within 0.2 ms: 15,000 requests a second went through and no
  // more, with all processors idle. Whatever was sent in the last millisecond counted as others',
  // so that the entry left slots empty for entries that there are not.
  @Test
  void fillsTheSlotsOfATargetThatAnswersWithinAMillisecond() {
    router.updateTargets(targets(1), now);
    Deque<Long> sentAt = new ArrayDeque<>();
    int most = 0;
    for (int turn = 0; turn < 50_000; turn++) {
      while (send(false).isPresent()) {
        sentAt.add(now);
      }
      most = sentAt.size();
      now += MILLI / 5 / Math.max(1, most);
      while (!sentAt.isEmpty() && now - sentAt.peek() >= MILLI / 5) {
        long first = sentAt.remove();
        router.loadReported("vm-0", new TargetLoad(sentAt.size(), 0, 1, false), now);
        router.attemptEnded("vm-0", AttemptOutcome.ANSWERED, first, now);
      }
    }
    assertTrue(most >= SLOTS, "only " + most + " of " + SLOTS + " slots in use");
  }
}
