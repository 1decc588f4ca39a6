package io.marigoldsail.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Failure;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

final class ExitCodeTest {
  private static final Path PAGE = Path.of("..", "docs", "operators-product.md");

  @Test
  void operatorsPageListsAllExitCodes() throws IOException {
    List<String> rows = new ArrayList<>();
    for (ExitCode code : ExitCode.values()) {
      rows.add("| " + code.code() + " | " + code.meaning() + " |");
    }
    List<String> shown =
        Files.readAllLines(PAGE).stream().filter(line -> line.matches("\\| \\d+ \\|.*")).toList();
    assertEquals(String.join("\n", rows), String.join("\n", shown));
  }

  @Test
  void codesDiffer() {
    long distinct = Arrays.stream(ExitCode.values()).mapToInt(ExitCode::code).distinct().count();
    assertEquals(ExitCode.values().length, distinct);
  }

  /**
   * A script retries commands that exit with "not done". If a request that may have run had that
   * exit code, the script would run a job twice or publish twice.
   */
  @ParameterizedTest
  @EnumSource(ErrorKind.class)
  void requestThatMayHaveRunIsNeverReportedAsNotDone(ErrorKind kind) {
    ExitCode code = ExitCode.of(Failure.of(kind, "x"));
    assertNotEquals(ExitCode.OK, code);
    if (kind.execution() != ErrorKind.Execution.NOT_RUN) {
      assertNotEquals(ExitCode.TRY_LATER, code);
      assertNotEquals(ExitCode.REFUSED, code);
    }
  }

  @Test
  void kindsGetTheDocumentedCodes() {
    assertEquals(ExitCode.REFUSED, ExitCode.of(Failure.of(ErrorKind.CONFLICT, "x")));
    assertEquals(ExitCode.REFUSED, ExitCode.of(Failure.of(ErrorKind.INVALID_CONTENT, "x")));
    assertEquals(ExitCode.TRY_LATER, ExitCode.of(Failure.of(ErrorKind.LOG_UNAVAILABLE, "x")));
    assertEquals(
        ExitCode.OUTCOME_UNKNOWN, ExitCode.of(Failure.of(ErrorKind.LOG_OUTCOME_UNKNOWN, "x")));
    assertEquals(ExitCode.INTERNAL, ExitCode.of(Failure.of(ErrorKind.INTERNAL, "x")));
  }
}
