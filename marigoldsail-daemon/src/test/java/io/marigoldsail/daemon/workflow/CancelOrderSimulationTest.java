package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Runs {@link CancelOrderSimulation} on fixed seeds. Others are run by hand with {@code
 * -Dmarigoldsail.cancels.firstSeed=1000 -Dmarigoldsail.cancels.seeds=500}, some 5 a second.
 */
class CancelOrderSimulationTest {
  private static final long FIRST_SEED = Long.getLong("marigoldsail.cancels.firstSeed", 1);
  private static final long SEEDS = Long.getLong("marigoldsail.cancels.seeds", 50);
  private static final int MAX_HISTORIES = 2;

  private final Logger logger = Logger.getLogger(WorkflowEntry.class.getPackageName());
  private final Logger logOfEvents = Logger.getLogger("io.marigoldsail.daemon.observe");
  private final Level levelBefore = logger.getLevel();

  /** Injected faults are logged as warnings; thousands of them would hide the result. */
  @BeforeEach
  void silenceWarnings() {
    logger.setLevel(Level.SEVERE);
    logOfEvents.setLevel(Level.SEVERE);
  }

  @AfterEach
  void restoreLevel() {
    logger.setLevel(levelBefore);
    logOfEvents.setLevel(null);
  }

  /**
   * Guards against cancels that are answered and do not hold, accepted workflows that are lost, and
   * calls without an answer in calm times.
   */
  @Test
  void cancelsHoldInWhateverOrderTheyAndTheSubmissionsArrive() {
    List<String> violations =
        LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS)
            .mapToObj(CancelOrderSimulationTest::violation)
            .flatMap(Optional::stream)
            .toList();
    assertEquals(
        List.of(), violations.stream().limit(MAX_HISTORIES).toList(), violations.size() + " seeds");
  }

  private static Optional<String> violation(long seed) {
    return new CancelOrderSimulation(seed).run().map(text -> "seed " + seed + ", " + text);
  }
}
