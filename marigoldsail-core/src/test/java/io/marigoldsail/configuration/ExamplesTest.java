package io.marigoldsail.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.marigoldsail.job.JobFile;
import io.marigoldsail.json.Json;
import io.marigoldsail.settings.SettingsReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

final class ExamplesTest {
  private static final Path EXAMPLES = Path.of("..", "examples");
  private static final List<String> SITES = List.of("vatulele", "kitamizora");

  private final ConfigurationCheck check = new ConfigurationCheck();

  @Test
  void exampleConfigurationIsValid() throws IOException {
    ConfigurationFiles files =
        ConfigurationFiles.NONE.with("base", read(EXAMPLES.resolve("base.json")));
    assertEquals(Optional.empty(), check.checkFile("base", "base", files.contents().get("base")));
    for (String site : SITES) {
      JsonNode overlay = read(EXAMPLES.resolve(site).resolve("overlay.json"));
      assertEquals(Optional.empty(), check.checkFile(site, site, overlay));
      files = files.with(site, overlay);
    }
    assertEquals(Optional.empty(), check.checkSites("base", "base", files));
    Configuration kitamizora =
        ConfigurationParser.parse(1, "kitamizora", files.merged("kitamizora"));
    Configuration vatulele = ConfigurationParser.parse(1, "vatulele", files.merged("vatulele"));
    assertTrue(kitamizora.guard().evictionsWeight() > vatulele.guard().evictionsWeight());
  }

  @Test
  void exampleSettingsAndJobsAreValid() throws IOException {
    for (String site : SITES) {
      try (Stream<Path> files = Files.list(EXAMPLES.resolve(site))) {
        for (Path file : files.toList()) {
          checkFile(file);
        }
      }
    }
  }

  private static void checkFile(Path file) throws IOException {
    JsonNode node = read(file);
    if (node.has("role")) {
      assertTrue(SettingsReader.read(file).isOk(), () -> "" + SettingsReader.read(file));
    } else if (node.has("command")) {
      assertTrue(JobFile.read(file.toString(), Files.readAllBytes(file)).isOk(), file.toString());
    } else {
      assertEquals("overlay.json", file.getFileName().toString());
    }
  }

  private static JsonNode read(Path file) throws IOException {
    return Json.parse(file.toString(), Files.readAllBytes(file)).value();
  }
}
