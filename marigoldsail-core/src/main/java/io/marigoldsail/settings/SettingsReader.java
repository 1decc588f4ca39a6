package io.marigoldsail.settings;

import com.fasterxml.jackson.databind.JsonNode;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Failure;
import io.marigoldsail.error.Result;
import io.marigoldsail.json.Json;
import io.marigoldsail.json.SchemaCheck;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Reads and checks a settings file.
 *
 * <p>Every failure is one line that opens with the file and names the key and the rule. The schema
 * of a role is published beside this class. Stateless, safe for any thread; blocks on the file.
 */
public final class SettingsReader {
  private static final String ENTRY_SCHEMA = "entry-settings.schema.json";
  private static final String SIDE_SCHEMA = "side-settings.schema.json";

  private SettingsReader() {}

  /**
   * Reads the file.
   *
   * @return the settings, or a failure of kind {@code BAD_REQUEST} (no file, no JSON) or {@code
   *     INVALID_CONTENT} (a broken rule)
   */
  public static Result<ProcessSettings> read(Path file) {
    byte[] bytes;
    try {
      bytes = Files.readAllBytes(file);
    } catch (IOException e) {
      return Result.failed(ErrorKind.BAD_REQUEST, file + ": cannot be read: " + e);
    }
    return Json.parse(file.toString(), bytes).then(node -> parse(file.toString(), node));
  }

  /**
   * Checks a document that was read already.
   *
   * @param origin the file's name, which opens every failure
   */
  public static Result<ProcessSettings> parse(String origin, JsonNode node) {
    String role = node.path("role").asText();
    boolean side = role.equals(SideSettings.ROLE);
    if (!side && !role.equals(EntrySettings.ROLE)) {
      return invalid(origin, "role", "must be \"entry\" or \"side\", is " + node.get("role"));
    }
    String schema = side ? SIDE_SCHEMA : ENTRY_SCHEMA;
    Optional<Failure> broken =
        SchemaCheck.ofResource(SettingsReader.class, schema).check(origin, node);
    if (broken.isPresent()) {
      return Result.failed(broken.get());
    }
    try {
      Fields fields = new Fields(origin, node);
      ProcessSettings settings = side ? sideSettings(fields) : entrySettings(fields);
      return addressConflict(origin, settings).orElse(Result.ok(settings));
    } catch (InvalidValueException e) {
      return Result.failed(ErrorKind.INVALID_CONTENT, e.getMessage());
    }
  }

  private static ProcessSettings entrySettings(Fields fields) {
    return new EntrySettings(
        fields.text("/name"),
        fields.text("/site"),
        fields.text("/zone"),
        fields.hostPort("/addresses/callers"),
        fields.hostPort("/addresses/operators"),
        fields.hostPort("/addresses/processes"),
        fields.uri("/logService"),
        fields.hostPorts("/peers"));
  }

  private static ProcessSettings sideSettings(Fields fields) {
    return new SideSettings(
        fields.text("/name"),
        fields.text("/site"),
        fields.text("/zone"),
        fields.text("/rack"),
        fields.hostPort("/addresses/operators"),
        fields.hostPort("/addresses/processes"),
        fields.uri("/logService"),
        fields.has("/target") ? Optional.of(target(fields)) : Optional.empty(),
        fields.has("/worker") ? Optional.of(fields.uri("/worker/address")) : Optional.empty(),
        fields.hostPorts("/entries"),
        fields.hostPorts("/peers"));
  }

  private static TargetSettings target(Fields fields) {
    return new TargetSettings(
        fields.text("/target/service"),
        fields.uri("/target/address"),
        fields.node.at("/target/slots").asInt(),
        fields.node.at("/target/connections").asInt());
  }

  /** Two servers of one process on one address would fail on start with a less clear message. */
  private static Optional<Result<ProcessSettings>> addressConflict(
      String origin, ProcessSettings settings) {
    Map<HostPort, String> keys = new HashMap<>();
    Map<String, HostPort> own = new java.util.LinkedHashMap<>();
    if (settings instanceof EntrySettings entry) {
      own.put("addresses.callers", entry.callersAddress());
    }
    own.put("addresses.operators", settings.operatorsAddress());
    own.put("addresses.processes", settings.processesAddress());
    for (Map.Entry<String, HostPort> address : own.entrySet()) {
      String other =
          address.getValue().port() == 0 ? null : keys.put(address.getValue(), address.getKey());
      if (other != null) {
        return Optional.of(invalid(origin, address.getKey(), "is the same address as " + other));
      }
    }
    return Optional.empty();
  }

  private static Result<ProcessSettings> invalid(String origin, String key, String rule) {
    return Result.failed(ErrorKind.INVALID_CONTENT, origin + ": " + key + ": " + rule);
  }

  /** Carries a broken rule out of the typed reading; never leaves this class. */
  private static final class InvalidValueException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    InvalidValueException(String message) {
      super(message);
    }
  }

  /** Typed access to a document that passed its schema. */
  private record Fields(String origin, JsonNode node) {
    boolean has(String pointer) {
      return !node.at(pointer).isMissingNode();
    }

    String text(String pointer) {
      return node.at(pointer).asText();
    }

    HostPort hostPort(String pointer) {
      return hostPort(key(pointer), text(pointer));
    }

    List<HostPort> hostPorts(String pointer) {
      List<HostPort> addresses = new ArrayList<>();
      for (JsonNode item : node.at(pointer)) {
        addresses.add(hostPort(key(pointer) + "[" + addresses.size() + "]", item.asText()));
      }
      return addresses;
    }

    URI uri(String pointer) {
      String text = text(pointer);
      try {
        URI uri = new URI(text);
        if ("http".equals(uri.getScheme()) && uri.getHost() != null) {
          return uri;
        }
      } catch (java.net.URISyntaxException e) {
        throw invalidValue(key(pointer), text, "an http address such as http://127.0.0.1:7000");
      }
      throw invalidValue(key(pointer), text, "an http address such as http://127.0.0.1:7000");
    }

    private HostPort hostPort(String key, String text) {
      return HostPort.parse(text)
          .orElseThrow(() -> invalidValue(key, text, "host:port such as 127.0.0.1:8080"));
    }

    private InvalidValueException invalidValue(String key, String text, String rule) {
      return new InvalidValueException(
          origin + ": " + key + ": must be " + rule + ", is \"" + text + "\"");
    }

    private static String key(String pointer) {
      return pointer.substring(1).replace('/', '.');
    }
  }
}
