package io.marigoldsail.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.IntNode;
import java.util.List;
import org.junit.jupiter.api.Test;

final class ConfigurationViewTest {
  private static final String KEY = "services.parking.maxWaiting";

  private final ConfigurationFiles files =
      ConfigurationFiles.NONE
          .with("base", ConfigurationTesting.baseWithWaiting(500))
          .with("vatulele", ConfigurationTesting.overlayWithWaiting("vatulele", 200));

  @Test
  void sourceIsTheFileThatSetsTheValue() {
    assertEquals(
        new EffectiveValue(KEY, IntNode.valueOf(200), "vatulele"), effectiveValue("vatulele", KEY));
    assertEquals(
        new EffectiveValue(KEY, IntNode.valueOf(500), "base"), effectiveValue("kitamizora", KEY));
    assertEquals(
        "default", effectiveValue("vatulele", "services.parking.targetDelayMillis").source());
    assertEquals("default", effectiveValue("vatulele", "guard.weights.evictions").source());
  }

  @Test
  void nullInAnOverlayRestoresTheDefault() {
    ConfigurationFiles reset =
        files.with(
            "vatulele",
            ConfigurationTesting.json(
                "{'site':'vatulele','services':{'parking':{'maxWaiting':null}}}"));
    EffectiveValue found =
        ConfigurationView.effectiveValues(reset, "vatulele").stream()
            .filter(r -> r.key().equals(KEY))
            .findFirst()
            .orElseThrow();
    assertEquals(ServiceConfiguration.DEFAULT.maxWaiting(), found.value().asInt());
    assertEquals("default", found.source());
  }

  @Test
  void baseChangeIsListedOnlyAtSitesWhereItTakesEffect() {
    ConfigurationFiles after = files.with("base", ConfigurationTesting.baseWithWaiting(600));
    assertEquals(List.of(), ConfigurationView.changes(files, after, "vatulele"));
    assertEquals(
        List.of(
            new ConfigurationChange(
                KEY, IntNode.valueOf(500), "base", IntNode.valueOf(600), "base")),
        ConfigurationView.changes(files, after, "base"));
  }

  private EffectiveValue effectiveValue(String site, String key) {
    return ConfigurationView.effectiveValues(files, site).stream()
        .filter(r -> r.key().equals(key))
        .findFirst()
        .orElseThrow();
  }
}
