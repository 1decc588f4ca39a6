package io.marigoldsail.testlib.interference;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

class InterferenceModelTest {
  private static final long DAYS = 10;

  private static double meanValue(FleetShape shape, FleetPolicy policy) {
    return LongStream.rangeClosed(1, DAYS)
        .parallel()
        .mapToDouble(seed -> FleetRun.play(FleetDay.of(shape, seed), policy).value())
        .average()
        .orElseThrow();
  }

  @Test
  void sameSeedGivesTheSameDay() {
    FleetDay day = FleetDay.of(FleetShape.SMALL_VMS, 7);
    double worth = FleetRun.play(day, FleetPolicy.PRODUCT).value();
    assertEquals(worth, FleetRun.play(day, FleetPolicy.PRODUCT).value());
    FleetDay other = FleetDay.of(FleetShape.SMALL_VMS, 8);
    assertNotEquals(worth, FleetRun.play(other, FleetPolicy.PRODUCT).value());
  }

  /** Guards against a model whose interference no policy could exploit. */
  @Test
  void oracleOutperformsProductAndNaivePolicy() {
    double oracle = meanValue(FleetShape.LARGE_VMS, FleetPolicy.ORACLE);
    assertTrue(oracle > meanValue(FleetShape.LARGE_VMS, FleetPolicy.PRODUCT));
    assertTrue(oracle > meanValue(FleetShape.LARGE_VMS, FleetPolicy.NAIVE));
  }

  /**
   * Bursts of heavy work on VMs whose processors are mostly booked by services but half idle.
   * Guards against a policy that leaves processors idle and relaxes throttling too slowly.
   */
  @Test
  void overcommitAndBudgetedThrottlingServeBurstsBetter() {
    double product = meanValue(FleetShape.LARGE_VMS, FleetPolicy.PRODUCT);
    assertTrue(product > meanValue(FleetShape.LARGE_VMS, FleetPolicy.NO_OVERCOMMIT));
    assertTrue(
        product > meanValue(FleetShape.LARGE_VMS, FleetPolicy.NO_OVERCOMMIT_UNIFORM_THROTTLING));
  }

  @Test
  void rejectsASingleDay() {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    InterferenceBench bench =
        new InterferenceBench(new PrintStream(output, true, StandardCharsets.UTF_8));
    CommandLine command =
        new CommandLine(bench).setErr(new PrintWriter(output, true, StandardCharsets.UTF_8));
    assertEquals(CommandLine.ExitCode.USAGE, command.execute("--days", "1"));
    assertTrue(output.toString(StandardCharsets.UTF_8).contains("--days is under 2: 1"));
  }
}
