package io.marigoldsail.tests.pages;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs the parser of KNOWN-RED.txt on a temporary repository. */
final class KnownRedTest {
  private static final Path ROOT = Path.of("..");

  @TempDir private Path directory;

  private record Run(int status, List<String> options, String messages) {}

  @BeforeEach
  void writeRepository() throws IOException {
    write(
        "core/src/test/java/a/LeaseTest.java",
        """
        final class LeaseTest {
          @Test
          void expires() {
            helper();
          }

          @Property(tries = 10)
          void neverGrows(
              @ForAll int millis) {}

          private void helper() {}

          @Test
          void expires(int overloaded) {}

          @ParameterizedTest
          @ValueSource(
              strings = {
                "a"
              })
          void isGranted(String to) throws IOException {}
        }
        """);
    write("core/src/test/java/a/TwinTest.java", "class TwinTest {\n  @Test\n  void a() {}\n}\n");
    write("cli/src/test/java/b/TwinTest.java", "class TwinTest {\n  @Test\n  void a() {}\n}\n");
    write("core/src/test/java/a/World.java", "class World {\n  @Test\n  void a() {}\n}\n");
    write(
        "tests/src/test/resources/one.feature",
        """
        @whole-feature
        Feature: one

          @late
          Scenario: first

          @twice @second
          Scenario: second

          @twice
          Scenario Outline: third
        """);
  }

  private void write(String name, String text) throws IOException {
    Path file = directory.resolve(name);
    Files.createDirectories(file.getParent());
    Files.writeString(file, text);
  }

  private Run read(String... lines) throws IOException, InterruptedException {
    Path list = Files.write(directory.resolve("list.txt"), List.of(lines));
    Path messages = directory.resolve("messages.txt");
    Process process =
        new ProcessBuilder(
                "bash",
                ROOT.resolve(".ci").resolve("known-red").toString(),
                list.toString(),
                directory.toString())
            .redirectError(messages.toFile())
            .start();
    String options =
        new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
    return new Run(process.waitFor(), options.lines().toList(), Files.readString(messages));
  }

  private static String entry(String test) {
    return test + " | mvn verify, seed 3 | an answer was lost | 10";
  }

  @Test
  void anEmptyListExcludesNothing() throws IOException, InterruptedException {
    Run run = read("# heading", "");
    assertEquals(new Run(0, List.of(), ""), run);
  }

  @Test
  void entriesArePrintedAndOnlyTheseAreExcluded() throws IOException, InterruptedException {
    Run run =
        read(
            "# heading",
            entry("LeaseTest#isGranted"),
            entry("LeaseTest#neverGrows"),
            entry("@late"),
            "",
            entry("@second"));
    assertEquals(0, run.status(), run.messages());
    assertEquals(
        List.of(
            "-Dtest=!LeaseTest#isGranted,!LeaseTest#neverGrows",
            "-Dsurefire.failIfNoSpecifiedTests=false",
            "-Dcucumber.filter.tags=not (@late or @second)"),
        run.options());
    for (String test :
        new String[] {"LeaseTest#isGranted", "LeaseTest#neverGrows", "@late", "@second"}) {
      assertTrue(run.messages().contains("  " + entry(test) + "\n"), run.messages());
    }
  }

  /**
   * An entry whose test was renamed excludes nothing, and would silently exclude a failing test
   * that gets this name later.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "LeaseTest#isGone", // no such test
        "LeaseTest#helper", // not a test
        "LeaseTest#expires", // two tests of that name
        "GoneTest#expires", // no such class
        "TwinTest#a", // two classes of that name
        "World#a", // not a test class
        "LeaseTest", // a whole class
        "LeaseTest#*",
        "Lease*#expires",
        "LeaseTest#isGranted+neverGrows",
        "!LeaseTest#isGranted",
        "@gone",
        "@twice", // two scenarios
        "@whole-feature",
        "@late or @second",
        "@lat"
      })
  void anEntryThatDoesNotNameExactlyOneTestFailsTheRun(String test)
      throws IOException, InterruptedException {
    Run run = read(entry("LeaseTest#isGranted"), entry(test));
    assertNotEquals(0, run.status());
    assertEquals(List.of(), run.options());
    assertTrue(run.messages().contains("list.txt: " + test + ": "), run.messages());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "LeaseTest#isGranted",
        "LeaseTest#isGranted | seed 3 | an answer was lost",
        "LeaseTest#isGranted | seed 3 | | 10",
        "LeaseTest#isGranted | seed 3 | an answer was lost | 10 | more"
      })
  void anEntryWithoutFourPartsFailsTheRun(String line) throws IOException, InterruptedException {
    Run run = read("# heading", line);
    assertNotEquals(0, run.status());
    assertEquals(List.of(), run.options());
    assertTrue(run.messages().contains("line 2 has not the four parts"), run.messages());
  }

  @Test
  void aTestListedTwiceFailsTheRun() throws IOException, InterruptedException {
    Run run = read(entry("@late"), entry("@late"));
    assertNotEquals(0, run.status());
    assertTrue(run.messages().contains("@late: listed twice"), run.messages());
  }

  @Test
  void ciReadsTheListOfThisRepository() throws IOException {
    String run = Files.readString(ROOT.resolve(".ci").resolve("run"));
    assertTrue(run.contains("$(.ci/known-red KNOWN-RED.txt .)"), run);
  }
}
