package io.marigoldsail.tests.pages;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that the tests named on the proofs page exist and that each rule has a row. */
final class WorkflowProofsTest {
  private static final Path ROOT = Path.of("..");
  private static final Path PAGE = ROOT.resolve("docs").resolve("proofs-workflows.md");
  private static final Pattern QUOTED = Pattern.compile("`([^`]+)`");
  private static final Pattern TEST =
      Pattern.compile(
          "@(?:Test|Property|ParameterizedTest)\\b[^;{}]*?\\bvoid\\s+([A-Za-z0-9]+)\\(");

  /** The index of the column with test names. */
  private static final int TESTS_COLUMN = 3;

  /**
   * The rules checked by the platform; each needs a row that names its tests or says that there are
   * none.
   */
  private static final List<String> RULES =
      List.of(
          "LOST", "CONFIG", "RECOVER", "LIMIT", "TWICE", "ORDER", "ROUTE", "BUDGET", "GANG",
          "UNASKED", "REFUSED", "HARM", "AVAIL", "MIXED", "ONE", "DRAIN", "Acks");

  private static List<String[]> rows() throws IOException {
    return Files.readAllLines(PAGE).stream()
        .filter(line -> line.startsWith("|"))
        .map(line -> line.split("\\|"))
        .toList();
  }

  private static Set<String> tests() throws IOException {
    Set<String> names = new HashSet<>();
    try (Stream<Path> files = Files.walk(ROOT)) {
      for (Path file :
          files
              .filter(path -> path.toString().contains("/src/test/java/"))
              .filter(path -> !path.toString().contains("/target/"))
              .filter(path -> path.toString().endsWith("Test.java"))
              .toList()) {
        names.add(file.getFileName().toString().replace(".java", ""));
        Matcher matcher = TEST.matcher(Files.readString(file));
        while (matcher.find()) {
          names.add(matcher.group(1));
        }
      }
    }
    return names;
  }

  /**
   * A page that names a test which was renamed or deleted claims a guarantee that is not checked.
   */
  @Test
  void allNamedTestsExist() throws IOException {
    Set<String> tests = tests();
    List<String> unknown = new ArrayList<>();
    int named = 0;
    for (String[] row : rows()) {
      Matcher matcher = QUOTED.matcher(row.length > TESTS_COLUMN ? row[TESTS_COLUMN] : "");
      while (matcher.find()) {
        named++;
        if (!tests.contains(matcher.group(1))) {
          unknown.add(matcher.group(1));
        }
      }
    }
    assertEquals(List.of(), unknown);
    assertTrue(named > RULES.size(), "names " + named + " tests only");
  }

  @Test
  void eachRuleHasARow() throws IOException {
    List<String> firstCells = rows().stream().map(row -> row[1]).toList();
    List<String> missing =
        RULES.stream()
            .filter(rule -> firstCells.stream().noneMatch(cell -> cell.contains(rule)))
            .toList();
    assertEquals(List.of(), missing);
  }
}
