package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Runs {@link GangFaultsSimulation} on fixed seeds. Others are run by hand with {@code
 * -Dmarigoldsail.gangs.firstSeed=1000 -Dmarigoldsail.gangs.seeds=500}.
 */
class GangFaultsSimulationTest {
  private static final long FIRST_SEED = Long.getLong("marigoldsail.gangs.firstSeed", 1);
  private static final long SEEDS = Long.getLong("marigoldsail.gangs.seeds", 20);

  private final Logger logger = Logger.getLogger(VmTracker.class.getPackageName());
  private final Level levelBefore = logger.getLevel();

  /** Injected faults are logged as warnings; thousands of them would hide the result. */
  @BeforeEach
  void silenceWarnings() {
    logger.setLevel(Level.SEVERE);
  }

  @AfterEach
  void restoreLevel() {
    logger.setLevel(levelBefore);
  }

  /**
   * Guards against gangs under overlapping interruptions that run twice, never end, or keep other
   * workflows from starting.
   */
  @Test
  void allWorkflowsAreDoneOnceAfterOverlappingInterruptions() {
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      assertEquals(Optional.empty(), new GangFaultsSimulation(seed).run(), "seed " + seed);
    }
  }
}
