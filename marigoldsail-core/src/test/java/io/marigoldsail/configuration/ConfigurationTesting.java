package io.marigoldsail.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import io.marigoldsail.json.Json;
import io.marigoldsail.log.LogEntry;
import io.marigoldsail.log.Position;
import java.nio.charset.StandardCharsets;

/** Factories for contents and records in the tests of this package. */
final class ConfigurationTesting {
  private ConfigurationTesting() {}

  /** Parses JSON that is written with single quotes. */
  static JsonNode json(String text) {
    byte[] bytes = text.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
    return Json.parse("test", bytes).value();
  }

  static JsonNode baseWithWaiting(int maxWaiting) {
    return json("{'services':{'parking':{'maxWaiting':" + maxWaiting + "}}}");
  }

  static JsonNode overlayWithWaiting(String site, int maxWaiting) {
    return json("{'site':'" + site + "','services':{'parking':{'maxWaiting':" + maxWaiting + "}}}");
  }

  static PublishRecord publish(String id, long checkedAgainst, String file, JsonNode content) {
    return new PublishRecord(1, id, checkedAgainst, file, content, "ana", "", 0);
  }

  static PublishRecord newer(PublishRecord published) {
    return new PublishRecord(
        2,
        published.publishId(),
        published.checkedAgainst(),
        published.file(),
        published.content(),
        published.author(),
        published.note(),
        published.atMillis());
  }

  static LogEntry entry(long offset, PublishRecord published) {
    return new LogEntry(
        new Position(offset, 0), "test/1/" + offset, PublishRecord.TYPE, published.write());
  }
}
