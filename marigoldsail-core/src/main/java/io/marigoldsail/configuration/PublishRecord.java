package io.marigoldsail.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Result;
import io.marigoldsail.json.Json;

/**
 * The body of a publish in the log.
 *
 * @param schema the version of the file's schema
 * @param publishId the id of this attempt
 * @param checkedAgainst the revision that the publisher checked the content against
 * @param file the changed file
 * @param content the complete new content of the file
 * @param author who published
 * @param note the reason for the change
 * @param atMillis the publisher's wall clock
 */
record PublishRecord(
    int schema,
    String publishId,
    long checkedAgainst,
    String file,
    JsonNode content,
    String author,
    String note,
    long atMillis) {
  /** The entry type in the log. */
  static final String TYPE = "configuration-published";

  /** The schema version that this software writes and supports. */
  static final int CURRENT_SCHEMA = 1;

  ObjectNode write() {
    ObjectNode node = Json.object();
    node.put("schema", schema);
    node.put("publish", publishId);
    node.put("checkedAgainst", checkedAgainst);
    node.put("file", file);
    node.set("content", content);
    node.put("author", author);
    node.put("note", note);
    node.put("atMillis", atMillis);
    return node;
  }

  /** Reads a body; unknown keys are ignored, since a newer version may add some. */
  static Result<PublishRecord> read(JsonNode node) {
    boolean complete =
        node.path("schema").canConvertToInt()
            && node.path("publish").isTextual()
            && node.path("checkedAgainst").isIntegralNumber()
            && node.path("file").isTextual()
            && ConfigurationFiles.isName(node.path("file").asText())
            && node.path("content").isObject();
    if (!complete) {
      return Result.failed(
          ErrorKind.BAD_REQUEST, "log entry is not a publish of a configuration file");
    }
    return Result.ok(
        new PublishRecord(
            node.get("schema").asInt(),
            node.get("publish").asText(),
            node.get("checkedAgainst").asLong(),
            node.get("file").asText(),
            node.get("content"),
            node.path("author").asText(),
            node.path("note").asText(),
            node.path("atMillis").asLong()));
  }
}
