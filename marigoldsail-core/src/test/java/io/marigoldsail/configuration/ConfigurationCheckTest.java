package io.marigoldsail.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import io.marigoldsail.error.Failure;
import io.marigoldsail.error.Result;
import io.marigoldsail.json.InvalidFileCases;
import io.marigoldsail.json.Json;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

final class ConfigurationCheckTest {
  private static final Path RESOURCES = Path.of("src", "test", "resources");
  private static final String SITE = "vatulele";

  private final ConfigurationCheck check = new ConfigurationCheck();

  static Stream<InvalidFileCases.Case> badBases() {
    return new InvalidFileCases(RESOURCES.resolve("bad-base")).cases();
  }

  static Stream<InvalidFileCases.Case> badOverlays() {
    return new InvalidFileCases(RESOURCES.resolve("bad-overlay")).cases();
  }

  @ParameterizedTest
  @MethodSource("badBases")
  void badBaseNamesFileKeyAndRule(InvalidFileCases.Case bad) throws IOException {
    bad.assertMatches(error(bad.file(), ConfigurationFiles.BASE, ConfigurationFiles.NONE));
  }

  @ParameterizedTest
  @MethodSource("badOverlays")
  void badOverlayNamesFileKeyAndRule(InvalidFileCases.Case bad) throws IOException {
    bad.assertMatches(error(bad.file(), SITE, withValidBase()));
  }

  @Test
  void baseIsCheckedWithEveryOverlay() throws IOException {
    ConfigurationFiles files =
        withValidBase()
            .with(
                SITE,
                ConfigurationTesting.json(
                    "{'site':'vatulele','services':{'parking':" + "{'targetDelayMillis':1500}}}"));
    JsonNode shorter =
        ConfigurationTesting.json("{'services':{'parking':{'defaultDeadlineMillis':1000}}}");
    Optional<Failure> failure =
        check.checkSites("base", "base", files.with(ConfigurationFiles.BASE, shorter));
    assertEquals(
        "base: at site vatulele: services.parking.defaultDeadlineMillis: must be above"
            + " targetDelayMillis, 1500, is 1000",
        failure.orElseThrow().detail());
  }

  @Test
  void reservedAndInvalidNamesAreRefused() {
    for (String name :
        new String[] {"diff", "history", "in-force", "state", "Vatulele", "", "a/b"}) {
      assertEquals(
          "x: name: must be base or a site in lower case, is \"" + name + "\"",
          check.checkFile("x", name, Json.object()).orElseThrow().detail());
    }
  }

  private ConfigurationFiles withValidBase() throws IOException {
    byte[] base = Files.readAllBytes(RESOURCES.resolve("good-base.json"));
    JsonNode node = Json.parse("good-base.json", base).value();
    assertEquals(Optional.empty(), check.checkFile("base", "base", node));
    return ConfigurationFiles.NONE.with(ConfigurationFiles.BASE, node);
  }

  private String error(Path path, String file, ConfigurationFiles before) throws IOException {
    String origin = path.getFileName().toString();
    Result<JsonNode> parsed = Json.parse(origin, Files.readAllBytes(path));
    if (parsed instanceof Result.Failed<JsonNode> failed) {
      return failed.failure().detail();
    }
    return check
        .checkFile(origin, file, parsed.value())
        .or(() -> check.checkSites(origin, file, before.with(file, parsed.value())))
        .orElseThrow(() -> new AssertionError(origin + " passed"))
        .detail();
  }
}
