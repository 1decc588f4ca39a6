package io.marigoldsail.cli.logs;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Reads collected logs. Stateless. */
public final class LogFiles {
  /** The file name that denotes standard input. */
  private static final String STANDARD_INPUT = "-";

  private LogFiles() {}

  /**
   * Returns the entries of the files in order; lines that are not entries are skipped.
   *
   * @throws IOException if a file cannot be read
   */
  public static ImmutableList<LogEntry> read(List<String> files) throws IOException {
    ImmutableList.Builder<LogEntry> entries = ImmutableList.builder();
    for (String file : files) {
      byte[] bytes =
          file.equals(STANDARD_INPUT)
              ? System.in.readAllBytes()
              : Files.readAllBytes(Path.of(file));
      new String(bytes, UTF_8)
          .lines()
          .forEach(line -> LogEntry.parse(line).ifPresent(entries::add));
    }
    return entries.build();
  }
}
