package io.marigoldsail.tests;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.testlib.fault.ProcessFleet;
import io.marigoldsail.tests.scenario.FreePorts;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class DaemonStartTest {
  private static final String MAIN = "io.marigoldsail.daemon.Main";

  @TempDir private Path directory;

  private Path settings(String callers, String operators, String processes) throws IOException {
    return Files.writeString(
        directory.resolve("entry.json"),
        """
        {"role": "entry", "name": "entry-1", "site": "vatulele", "zone": "suva",
         "addresses": {"callers": "%s", "operators": "%s", "processes": "%s"},
         "logService": "http://127.0.0.1:9"}
        """
            .formatted(callers, operators, processes));
  }

  /**
   * An entry is started on a port in use. Guards against a stack trace of a close that runs before
   * the start has finished, instead of an error that names the file and key.
   */
  @ParameterizedTest
  @ValueSource(strings = {"callers", "operators", "processes"})
  void portInUseIsOneLineThatNamesFileAndKey(String key) throws IOException {
    try (ServerSocket occupied = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        ProcessFleet fleet = new ProcessFleet(directory, List.of("-Xmx64m"))) {
      String inUse = "127.0.0.1:" + occupied.getLocalPort();
      Path file =
          settings(
              key.equals("callers") ? inUse : FreePorts.address(),
              key.equals("operators") ? inUse : FreePorts.address(),
              key.equals("processes") ? inUse : FreePorts.address());

      fleet.start("entry", MAIN, List.of("--settings", file.toString()));

      assertEquals(2, fleet.awaitExit("entry"), () -> fleet.output("entry"));
      List<String> lines =
          fleet.output("entry").lines().filter(line -> !line.startsWith("time=")).toList();
      assertEquals(1, lines.size(), lines::toString);
      assertTrue(lines.get(0).startsWith(file + ": addresses." + key), lines::toString);
      assertTrue(lines.get(0).contains(inUse), lines::toString);
    }
  }

  @Test
  void checkOnlyChecksAndListensNowhere() throws IOException {
    try (ProcessFleet fleet = new ProcessFleet(directory, List.of("-Xmx64m"))) {
      Path file = settings("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3");

      fleet.start("entry", MAIN, List.of("--settings", file.toString(), "--check"));

      assertEquals(0, fleet.awaitExit("entry"), () -> fleet.output("entry"));
    }
  }
}
