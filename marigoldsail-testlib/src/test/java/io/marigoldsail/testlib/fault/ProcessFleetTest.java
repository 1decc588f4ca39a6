package io.marigoldsail.testlib.fault;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.testlib.platform.StandIns;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class ProcessFleetTest {
  private static final List<String> OPTIONS = List.of("-Xmx64m", "-XX:+UseSerialGC");
  private static final List<String> LOG = List.of("log", "--listen", "127.0.0.1:0");

  @Test
  void startsPausesAndKills(@TempDir Path directory) {
    try (ProcessFleet fleet = new ProcessFleet(directory, OPTIONS)) {
      fleet.start("log", StandIns.class.getName(), LOG);
      fleet.await("address", 60, () -> fleet.output("log").contains("listening http://"));
      fleet.pause("log");
      assertTrue(fleet.isAlive("log"));
      fleet.resume("log");
      fleet.kill("log");
      assertFalse(fleet.isAlive("log"));

      fleet.start("log", StandIns.class.getName(), List.of("nonsense"));
      assertEquals(2, fleet.awaitExit("log"));
      assertThrows(
          IllegalStateException.class,
          () -> fleet.await("condition that never holds", 0, () -> false));
    }
  }
}
