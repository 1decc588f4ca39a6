package io.marigoldsail.json;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/**
 * A folder of bad files and, in {@code expected.txt}, what the error of each must name: one line
 * {@code file | key | rule}.
 */
public record InvalidFileCases(Path folder) {
  /** What is expected of one file. */
  public record Case(Path file, String key, String rule) {
    @Override
    public String toString() {
      return file.getFileName().toString();
    }

    /** Holds an error against the expectation: one line that names file, key and rule. */
    public void assertMatches(String error) {
      assertEquals(1, error.lines().count(), error);
      assertTrue(error.contains(file.getFileName().toString()), error);
      assertTrue(error.contains(key), () -> "no key " + key + " in: " + error);
      assertTrue(error.contains(rule), () -> "no rule " + rule + " in: " + error);
    }
  }

  /** Returns all cases; fails if a file has no expectation or an expectation no file. */
  public Stream<Case> cases() {
    try {
      List<String> lines = Files.readAllLines(folder.resolve("expected.txt"));
      List<Case> cases = lines.stream().map(this::parse).toList();
      try (Stream<Path> files = Files.list(folder)) {
        assertEquals(
            files.filter(f -> !f.endsWith("expected.txt")).sorted().toList(),
            cases.stream().map(Case::file).sorted().toList());
      }
      return cases.stream();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private Case parse(String line) {
    String[] columns = line.split(" \\| ", 3);
    return new Case(folder.resolve(columns[0]), columns[1], columns[2]);
  }
}
