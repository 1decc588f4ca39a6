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

/** Holds the page of proofs to the tests that there are. */
final class WorkflowProofsTest {
  private static final Path ROOT = Path.of("..");
  private static final Path PAGE = ROOT.resolve("docs").resolve("proofs-workflows.md");
  private static final Pattern QUOTED = Pattern.compile("`([^`]+)`");
  private static final Pattern TEST =
      Pattern.compile(
          "@(?:Test|Property|ParameterizedTest)\\b[^;{}]*?\\bvoid\\s+([A-Za-z0-9]+)\\(");

  /** The column of the tables that names tests. */
  private static final int TESTS_COLUMN = 3;

  /** The rules that the platform judges; a row tells how each is kept, or that none does. */
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
              .filter(each -> each.toString().contains("/src/test/java/"))
              .filter(each -> !each.toString().contains("/target/"))
              .filter(each -> each.toString().endsWith("Test.java"))
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
   * A test is renamed or dropped, and the page goes on to call it the proof of a promise. Whoever
   * reads the page relies on what nothing checks any more.
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
    List<String> first = rows().stream().map(row -> row[1]).toList();
    List<String> missing =
        RULES.stream()
            .filter(rule -> first.stream().noneMatch(cell -> cell.contains(rule)))
            .toList();
    assertEquals(List.of(), missing);
  }
}
