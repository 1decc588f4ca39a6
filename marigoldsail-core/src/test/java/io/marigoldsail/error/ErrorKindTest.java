package io.marigoldsail.error;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class ErrorKindTest {
  private static final Path PAGE = Path.of("..", "docs", "errors.md");

  @Test
  void documentationListsEveryErrorKind() throws IOException {
    List<String> rows = new ArrayList<>();
    for (ErrorKind kind : ErrorKind.values()) {
      rows.add(
          String.format(
              "| `%s` | %d | %s | %s | %s |",
              kind.code(),
              kind.httpStatus(),
              kind.execution().name().toLowerCase(java.util.Locale.ROOT).replace('_', ' '),
              kind.title(),
              kind.advice().text()));
    }
    List<String> shown =
        Files.readAllLines(PAGE).stream().filter(l -> l.startsWith("| `")).toList();
    assertEquals(String.join("\n", rows), String.join("\n", shown));
  }

  @Test
  void codesAreUniqueAndResolvable() {
    for (ErrorKind kind : ErrorKind.values()) {
      assertEquals(Optional.of(kind), ErrorKind.forCode(kind.code()));
    }
    assertTrue(ErrorKind.forCode("no-such-kind").isEmpty());
  }
}
