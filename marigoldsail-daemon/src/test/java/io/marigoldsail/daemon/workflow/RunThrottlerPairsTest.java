package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.colocation.ImagePair;
import io.marigoldsail.colocation.InterferenceScope;
import io.marigoldsail.colocation.PairEvidence;
import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.workflow.Overcommit;
import io.marigoldsail.workflow.RunKey;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Best-effort runs beside a service, throttled by pairs of images, on virtual time. */
class RunThrottlerPairsTest {
  private static final long CAPACITY = 16_000;
  private static final int DECLARED = 1_600;
  private static final int TARGET = 50;

  private final VirtualLoop time = new VirtualLoop();
  private final RunThrottler throttler =
      new RunThrottler(
          time.loop(),
          new ScriptedWorker(time),
          "worker-1",
          new Overcommit(),
          InterferenceScope.PER_PAIR);
  private final SideRun service = run(0, "s", TARGET, false);
  private final SideRun heavy = run(1, "heavy", 0, true);
  private final SideRun light = run(2, "light", 0, true);
  private final List<SideRun> runs = List.of(service, heavy, light);

  RunThrottlerPairsTest() {
    throttler.setRemotePairEvidence(
        Map.of(
            new ImagePair("heavy", "s"), new PairEvidence(10, 80),
            new ImagePair("light", "s"), new PairEvidence(10, 0)));
  }

  private static SideRun run(int index, String image, int target, boolean bestEffort) {
    StartRun order =
        StartRun.newBuilder()
            .setImage(image)
            .setLatencyTargetMillis(target)
            .setFills(bestEffort)
            .setMilliProcessors(DECLARED)
            .build();
    RunKey key = new RunKey(TestIds.task(7, 0, 0, index), 1);
    return new SideRun(key, 0, Optional.of(order), new WorkerLease.Mark(0, 0));
  }

  private void observe(long tail, long used) {
    service.applyListing("", 100, tail);
    heavy.applyListing("", 10, used);
    light.applyListing("", 10, used);
    throttler.observe(runs, CAPACITY);
    time.advance(500);
  }

  private void settle() {
    for (int i = 0; i < 6; i++) {
      observe(20, 0);
    }
  }

  /**
   * Guards against harmless work that is slowed down for the sake of a service it does not harm.
   */
  @Test
  void onlyTheHarmfulImageIsSlowedDown() {
    settle();
    observe(60, DECLARED);
    assertFalse(heavy.isThrottledTo(100));
    assertTrue(light.isThrottledTo(100));
  }

  /** Guards against runs that stay for good where they hardly work. */
  @Test
  void runThrottledToNothingIsMarkedForItsOwner() {
    settle();
    for (int i = 0; i < 3; i++) {
      observe(49, 0);
      assertFalse(heavy.report().getCrowded());
    }
    observe(49, 0);
    assertTrue(heavy.report().getCrowded());
    assertFalse(light.report().getCrowded());
  }

  /** Guards against two owners that place a task in the same room. */
  @Test
  void admittedRunTakesRoom() {
    settle();
    assertTrue(throttler.admits(runs, "light", DECLARED, CAPACITY));
    int admitted = 0;
    while (admitted < 10 && throttler.admits(runs, "heavy", DECLARED / 2, CAPACITY)) {
      throttler.recordAdmitted("heavy", DECLARED / 2, CAPACITY);
      admitted++;
    }
    assertEquals(1, admitted);
    assertEquals(List.of("s"), List.copyOf(throttler.rooms().keySet()));
  }

  /** Guards against room that is taken by a run which is refused for another reason. */
  @Test
  void refusedRunTakesNoRoom() {
    settle();
    Map<String, Double> before = throttler.rooms();
    assertTrue(throttler.admits(runs, "heavy", DECLARED / 2, CAPACITY));
    assertEquals(before, throttler.rooms());
  }

  /** Guards against any work beside a service that has not been measured yet. */
  @Test
  void serviceThatIsNotMeasuredHasLittleRoom() {
    observe(0, 0);
    assertEquals(List.of("s"), List.copyOf(throttler.rooms().keySet()));
    assertFalse(throttler.admits(runs, "heavy", DECLARED, CAPACITY));
    assertTrue(throttler.admits(runs, "light", DECLARED, CAPACITY));
  }

  /** Guards against a service that counts as new after one reading without a measurement. */
  @Test
  void missingMeasurementDoesNotForgetTheService() {
    settle();
    Map<String, Double> before = throttler.rooms();
    observe(0, 0);
    assertEquals(before, throttler.rooms());
  }
}
