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

  private static double meanWorth(FleetShape shape, FleetPolicy policy) {
    return LongStream.rangeClosed(1, DAYS)
        .parallel()
        .mapToDouble(seed -> FleetRun.play(FleetDay.of(shape, seed), policy).worth())
        .average()
        .orElseThrow();
  }

  @Test
  void theSameSeedPlaysTheSameDay() {
    FleetDay day = FleetDay.of(FleetShape.SMALL_VMS, 7);
    double worth = FleetRun.play(day, FleetPolicy.PRODUCT).worth();
    assertEquals(worth, FleetRun.play(day, FleetPolicy.PRODUCT).worth());
    FleetDay other = FleetDay.of(FleetShape.SMALL_VMS, 8);
    assertNotEquals(worth, FleetRun.play(other, FleetPolicy.PRODUCT).worth());
  }

  /** Guards against a model whose interference no policy could exploit. */
  @Test
  void whoKnowsTheEffectsDoesBetterThanWhoHeedsNone() {
    double oracle = meanWorth(FleetShape.LARGE_VMS, FleetPolicy.ORACLE);
    assertTrue(oracle > meanWorth(FleetShape.LARGE_VMS, FleetPolicy.PRODUCT));
    assertTrue(oracle > meanWorth(FleetShape.LARGE_VMS, FleetPolicy.NAIVE));
  }

  /**
   * Bursts of heavy work on VMs whose processors are mostly booked by services but half idle. Guards
   * against a policy that leaves processors idle and relaxes throttling too slowly.
   */
  @Test
  void overcommitAndSharedProcessorsServeBurstsBetter() {
    double product = meanWorth(FleetShape.LARGE_VMS, FleetPolicy.PRODUCT);
    assertTrue(product > meanWorth(FleetShape.LARGE_VMS, FleetPolicy.NO_OVERCOMMIT));
    assertTrue(product > meanWorth(FleetShape.LARGE_VMS, FleetPolicy.FORMER));
  }

  @Test
  void aDayAloneHasNoInterval() {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    InterferenceBench bench =
        new InterferenceBench(new PrintStream(output, true, StandardCharsets.UTF_8));
    CommandLine command =
        new CommandLine(bench).setErr(new PrintWriter(output, true, StandardCharsets.UTF_8));
    assertEquals(CommandLine.ExitCode.USAGE, command.execute("--days", "1"));
    assertTrue(output.toString(StandardCharsets.UTF_8).contains("--days is under 2: 1"));
  }
}
