package io.marigoldsail.tests.pages;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Replays lists of failed days with a stub of the program that runs days. */
final class ReplayFailedTest {
  private static final Path ROOT = Path.of("..");

  @TempDir private Path directory;

  private record Run(int status, List<String> output) {}

  private Run replay(String bench, String... entries) throws IOException, InterruptedException {
    Path program = directory.resolve("bench");
    Files.writeString(
        program, "#!/usr/bin/env bash\necho \"$@\" >>" + directory.resolve("calls") + "\n" + bench);
    assertTrue(program.toFile().setExecutable(true));
    List<String> command = new ArrayList<>();
    command.add("bash");
    command.add(ROOT.resolve("bin").resolve("replay-failed").toString());
    command.add("/sites");
    command.add(program.toString());
    command.addAll(List.of("--out", directory.resolve("out").toString()));
    command.addAll(
        List.of("--list", Files.write(directory.resolve("list"), List.of(entries)).toString()));
    Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
    String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    return new Run(process.waitFor(), output.lines().toList());
  }

  private static String days(String row) {
    return "[ \"$1\" = build ] && exit\necho 'day                  own/srv  score'\n" + row;
  }

  @Test
  void eachEntryIsReplayedWithItsSeed() throws IOException, InterruptedException {
    Run run =
        replay(
            days("echo 'mix  14/0  0.60'"),
            "# heading",
            "one.toml | mix | 7 | LOST 4 | yes | a cause",
            "one.toml | hunt-1 | replay | HARM 1 | yes | a cause",
            "two.toml | quiet-1 | - | floor | yes | a cause",
            "two.toml | sweep | 7 | fault | 100 machines | a cause");
    assertEquals(0, run.status(), run.output().toString());
    assertEquals(
        List.of(
            "build",
            "replay /sites/one.toml hunt-1 --jobs 1 --why Days that ever failed, once more",
            "run /sites/one.toml mix --seed 7 --jobs 1 --why Days that ever failed, once more",
            "run /sites/two.toml quiet-1 --jobs 1 --why Days that ever failed, once more"),
        Files.readAllLines(directory.resolve("calls")).stream().sorted().toList());
    assertTrue(
        run.output().contains("| two.toml | sweep | 7 | fault | not run: 100 machines |"),
        run.output().toString());
    assertTrue(run.output().contains("3 passed, 0 failed or not played, 1 not run"));
  }

  @Test
  void aBrokenRuleOrFaultIsReportedAndFails() throws IOException, InterruptedException {
    Run run =
        replay(
            days("echo 'mix  14/0  0.00  prices 0.04  BROKEN: LOST 4 (else 0.76)'"),
            "one.toml | mix | 7 | HARM 1 | yes | a cause");
    assertNotEquals(0, run.status());
    assertTrue(
        run.output().contains("| one.toml | mix | 7 | HARM 1 | failed: LOST 4 |"),
        run.output().toString());
  }

  @Test
  void aDayShortOfAFloorIsReportedAndPasses() throws IOException, InterruptedException {
    Run run =
        replay(
            days("echo 'mix  14/0  0.00'\necho 'short of the gate: 0.1 of the credit'"),
            "one.toml | mix | 7 | floor | yes | a cause");
    assertEquals(0, run.status());
    assertTrue(
        run.output().contains("| one.toml | mix | 7 | floor | passed, short of a floor |"),
        run.output().toString());
  }

  /** A day that was aborted or not found has no result and must not be reported as passed. */
  @Test
  void aDayThatWasNotReplayedFails() throws IOException, InterruptedException {
    Run run =
        replay(
            "[ \"$1\" = build ] && exit\necho no such day",
            "one.toml | mix | 7 | LOST 4 | yes | a cause");
    assertNotEquals(0, run.status());
    assertTrue(
        run.output().contains("| one.toml | mix | 7 | LOST 4 | not played |"),
        run.output().toString());
  }

  @Test
  void nothingIsReplayedAfterABrokenBuildOrForABrokenList()
      throws IOException, InterruptedException {
    Run brokenBuild = replay("exit 1", "one.toml | mix | 7 | LOST 4 | yes | a cause");
    assertNotEquals(0, brokenBuild.status());
    assertEquals(List.of("build"), Files.readAllLines(directory.resolve("calls")));
    Run brokenList = replay("exit", "one.toml | mix | 7");
    assertNotEquals(0, brokenList.status());
    assertTrue(
        brokenList.output().get(0).contains("has not its six parts"),
        brokenList.output().toString());
  }
}
