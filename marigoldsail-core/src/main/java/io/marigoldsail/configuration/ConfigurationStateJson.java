package io.marigoldsail.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.marigoldsail.json.Json;
import io.marigoldsail.log.Position;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Converts a {@link ConfigurationState} to and from JSON, for snapshots in the log and for peers
 * that start during a log outage. Stateless, safe for any thread.
 */
public final class ConfigurationStateJson {
  private ConfigurationStateJson() {}

  /** Returns the complete state as JSON. */
  public static ObjectNode write(ConfigurationState state) {
    ObjectNode node = Json.object();
    node.put("revision", state.revision());
    node.put("nextOffset", state.nextPosition().offset());
    node.put("nextIndex", state.nextPosition().index());
    ObjectNode files = node.putObject("files");
    state
        .files()
        .contents()
        .forEach(
            (file, content) -> {
              ObjectNode entry = files.putObject(file);
              entry.put("revision", state.fileRevision(file));
              entry.put("schema", state.schemas().get(file));
              entry.set("content", content);
            });
    node.put("revisionInForce", state.revisionInForce());
    if (state.revisionInForce() != state.revision()) {
      ObjectNode inForce = node.putObject("filesInForce");
      state.filesInForce().contents().forEach(inForce::set);
    }
    ArrayNode history = node.putArray("history");
    state.history().forEach(version -> history.add(write(version)));
    return node;
  }

  /** Returns one publish, with its content if retained. */
  public static ObjectNode write(PublishedVersion version) {
    ObjectNode node = Json.object();
    node.put("revision", version.revision());
    node.put("file", version.file());
    node.put("publishId", version.publishId());
    node.put("author", version.author());
    node.put("note", version.note());
    node.put("atMillis", version.atMillis());
    version.content().ifPresent(content -> node.set("content", content));
    return node;
  }

  /** Returns the state, or empty if the document is invalid. */
  static Optional<ConfigurationState> read(JsonNode node) {
    if (!node.path("revision").isIntegralNumber() || !node.path("files").isObject()) {
      return Optional.empty();
    }
    Map<String, JsonNode> contents = new TreeMap<>();
    Map<String, Long> revisions = new TreeMap<>();
    Map<String, Integer> schemas = new TreeMap<>();
    for (Map.Entry<String, JsonNode> file : node.get("files").properties()) {
      contents.put(file.getKey(), file.getValue().path("content"));
      revisions.put(file.getKey(), file.getValue().path("revision").asLong());
      schemas.put(file.getKey(), file.getValue().path("schema").asInt());
    }
    ConfigurationFiles files = ConfigurationFiles.of(contents);
    Map<String, JsonNode> inForce = new TreeMap<>();
    node.path("filesInForce").properties().forEach(f -> inForce.put(f.getKey(), f.getValue()));
    List<PublishedVersion> history = new ArrayList<>();
    node.path("history").forEach(item -> history.add(readVersion(item)));
    Position next =
        new Position(
            Math.max(0, node.path("nextOffset").asLong()),
            Math.max(0, node.path("nextIndex").asInt()));
    return Optional.of(
        new ConfigurationState(
            node.get("revision").asLong(),
            next,
            files,
            revisions,
            schemas,
            node.path("revisionInForce").asLong(),
            node.has("filesInForce") ? ConfigurationFiles.of(inForce) : files,
            new ConfigurationHistory(history)));
  }

  private static PublishedVersion readVersion(JsonNode node) {
    return new PublishedVersion(
        node.path("revision").asLong(),
        node.path("file").asText(),
        node.path("publishId").asText(),
        node.path("author").asText(),
        node.path("note").asText(),
        node.path("atMillis").asLong(),
        Optional.ofNullable(node.get("content")));
  }
}
