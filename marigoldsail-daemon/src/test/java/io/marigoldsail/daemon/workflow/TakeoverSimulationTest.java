package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Runs {@link TakeoverSimulation} on fixed seeds. Others are run by hand with {@code
 * -Dmarigoldsail.takeover.firstSeed=1000 -Dmarigoldsail.takeover.seeds=5000}, some 30 a second.
 */
class TakeoverSimulationTest {
  private static final long FIRST_SEED = Long.getLong("marigoldsail.takeover.firstSeed", 1);
  private static final long SEEDS = Long.getLong("marigoldsail.takeover.seeds", 240);
  private static final int MAX_HISTORIES = 2;

  private final Logger logger = Logger.getLogger(WorkerSession.class.getPackageName());
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

  /** Guards against two runs of a task at the same time, and against tasks that are never done. */
  @Test
  void noTaskRunsTwiceAndAllAreDone() {
    assertNoViolation(LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS), WorkerRestart.NEW_ID);
  }

  /** Guards against the same where workers that crash start again under their ids. */
  @Test
  void noTaskRunsTwiceWhereWorkersRestartUnderTheirIds() {
    assertNoViolation(LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS), WorkerRestart.SAME_ID);
  }

  /**
   * Guards against a start for an earlier incarnation that is sent again after the successor was
   * taken over.
   */
  @Test
  void startSentAgainToASuccessorIsNotExecutedBesideTheNextAttempt() {
    assertNoViolation(LongStream.of(1783, 2003, 2744, 3117), WorkerRestart.SAME_ID);
  }

  /**
   * Guards against a start for an earlier incarnation that its successor executes before it can be
   * taken over.
   */
  @Test
  void noTaskRunsTwiceWhereSuccessorsExecuteLateCalls() {
    assertNoViolation(
        LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS), WorkerRestart.SAME_ID_WITH_LATE_CALLS);
  }

  /**
   * Guards against a start of the predecessor that the worker executes after the first listing of a
   * restarted side process, for an owner out of reach, under a lease extended for other owners.
   */
  @Test
  void startOfThePredecessorDoesNotOutliveTheTakeover() {
    assertNoViolation(
        LongStream.of(1047, 1651, 2496, 3369, 3773, 4454, 4997), WorkerRestart.NEW_ID);
  }

  /**
   * Guards against the same after two restarts: the second one postpones the stop of the run, which
   * neither late stops nor an unresponsive worker need to do.
   */
  @Test
  void startOfAnEarlierPredecessorDoesNotOutliveTheTakeover() {
    assertNoViolation(LongStream.of(6984, 8949), WorkerRestart.NEW_ID);
  }

  private static void assertNoViolation(LongStream seeds, WorkerRestart restart) {
    List<String> violations = new ArrayList<>();
    seeds.forEach(
        seed -> {
          Optional<String> violation = new TakeoverSimulation(seed, false, restart).run();
          if (violation.isPresent()) {
            violations.add("seed " + seed + ", " + violation.get());
            if (violations.size() < 2 * MAX_HISTORIES) {
              violations.add(historyOf(seed, restart));
            }
          }
        });
    assertTrue(violations.isEmpty(), () -> String.join("\n", violations));
  }

  private static String historyOf(long seed, WorkerRestart restart) {
    TakeoverSimulation again = new TakeoverSimulation(seed, true, restart);
    again.run();
    return again.history();
  }
}
