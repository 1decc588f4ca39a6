package io.marigoldsail.cli.logs;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.marigoldsail.cli.MarigoldsailCommand;
import io.marigoldsail.cli.logs.LogStarts.Stage;
import io.marigoldsail.cli.logs.LogStarts.Start;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class LogStartsTest {
  private static final String LOG =
      """
      time=2026-07-15T01:00:00.000Z process=edge event=starting role=ENTRY
      time=2026-07-15T01:00:00.100Z process=side event=starting role=SIDE
      not a line of a log
      time=2026-07-15T01:00:00.400Z process=edge event=started
      time=2026-07-15T01:00:00.900Z process=edge event=partition-owned partition=1
      time=2026-07-15T01:00:01.200Z process=edge event=partition-owned partition=2
      time=2026-07-15T01:00:00.350Z process=side event=worker-found worker=i-1
      time=2026-07-15T01:00:05.000Z process=edge event=starting role=ENTRY
      time=2026-07-15T01:00:05.070Z process=edge event=started
      """;

  private static List<LogEntry> entries(Stream<String> lines) {
    return lines.map(LogEntry::parse).flatMap(Optional::stream).toList();
  }

  @Test
  void stagesAreTimedFromTheirOwnStart() {
    List<Start> starts = LogStarts.of(entries(LOG.lines()));
    assertEquals(List.of("edge", "side", "edge"), starts.stream().map(Start::process).toList());
    assertEquals(OptionalLong.of(400), starts.get(0).millis(Stage.LISTENING));
    assertEquals(OptionalLong.of(900), starts.get(0).millis(Stage.OWNER));
    assertEquals(OptionalLong.empty(), starts.get(0).millis(Stage.ORDER));
    assertEquals(OptionalLong.of(250), starts.get(1).millis(Stage.WORKER));
    assertEquals(OptionalLong.of(70), starts.get(2).millis(Stage.LISTENING));
    assertEquals(OptionalLong.empty(), starts.get(2).millis(Stage.OWNER));
  }

  @Test
  void linesBeforeTheFirstStartBelongToNone() {
    assertEquals(List.of(), LogStarts.of(entries(LOG.lines().skip(3).limit(3))));
  }

  @Test
  void commandPrintsOneRowForEachStart(@TempDir Path folder) throws IOException {
    Path file = Files.writeString(folder.resolve("all.log"), LOG);
    StringWriter out = new StringWriter();
    int exit =
        MarigoldsailCommand.run(
            new PrintWriter(out), new PrintWriter(new StringWriter()), "starts", file.toString());
    assertEquals(0, exit);
    List<String> lines = out.toString().lines().toList();
    assertEquals(4, lines.size());
    assertEquals(
        List.of("2026-07-15T01:00:00Z", "edge", "400", "-", "-", "900", "-", "-", "-", "-"),
        List.of(lines.get(1).split(" +")));
  }
}
