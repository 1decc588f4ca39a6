package io.marigoldsail.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.error.Result;
import io.marigoldsail.json.InvalidFileCases;
import java.net.URI;
import java.nio.file.Path;
import java.util.Optional;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

final class SettingsReaderTest {
  private static final Path RESOURCES = Path.of("src", "test", "resources");

  static Stream<InvalidFileCases.Case> badFiles() {
    return new InvalidFileCases(RESOURCES.resolve("bad-settings")).cases();
  }

  @ParameterizedTest
  @MethodSource("badFiles")
  void badFileNamesFileKeyAndRule(InvalidFileCases.Case bad) {
    Result<ProcessSettings> result = SettingsReader.read(bad.file());
    bad.assertMatches(((Result.Failed<ProcessSettings>) result).failure().detail());
  }

  @Test
  void missingFileIsNamedInTheError() {
    Result<ProcessSettings> result = SettingsReader.read(Path.of("no-such-file.json"));
    String detail = ((Result.Failed<ProcessSettings>) result).failure().detail();
    assertTrue(detail.startsWith("no-such-file.json: cannot be read"), detail);
  }

  @Test
  void readsAnEntry() {
    ProcessSettings settings =
        SettingsReader.read(RESOURCES.resolve("good-settings/entry.json")).value();
    assertEquals(
        new EntrySettings(
            "entry-1",
            "vatulele",
            "suva",
            new HostPort("127.0.0.1", 8080),
            new HostPort("127.0.0.1", 8081),
            new HostPort("127.0.0.1", 8082),
            URI.create("http://127.0.0.1:7000")),
        settings);
  }

  @Test
  void readsASideProcess() {
    SideSettings settings =
        (SideSettings) SettingsReader.read(RESOURCES.resolve("good-settings/side.json")).value();
    assertEquals("suva-r1", settings.rack());
    assertEquals(
        Optional.of(new TargetSettings("parking", URI.create("http://127.0.0.1:9001"), 8, 64)),
        settings.target());
    assertEquals(Optional.of(URI.create("http://127.0.0.1:9002")), settings.worker());
  }

  @Property(seed = "1")
  void addressesRoundTrip(@ForAll @IntRange(max = 65535) int port) {
    for (String host : new String[] {"127.0.0.1", "vm-1", "::1"}) {
      HostPort address = new HostPort(host, port);
      assertEquals(Optional.of(address), HostPort.parse(address.toString()));
    }
  }

  @Property(seed = "2")
  void arbitraryTextDoesNotThrow(@ForAll String text) {
    HostPort.parse(text).ifPresent(address -> assertTrue(address.port() <= 65535));
  }
}
