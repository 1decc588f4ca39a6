package io.marigoldsail.job;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.collect.ImmutableSet;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Result;
import java.io.IOException;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Iterator;
import java.util.Optional;

/**
 * Parser of job files. A job file is JSON; every key is checked, and the failure names the file and
 * the first invalid key.
 *
 * <p>A job of 20 batch tasks that use half a processor each:
 *
 * <pre>{@code
 * {"name": "payout-march", "team": "payments", "class": "batch", "count": 20,
 *  "sizes": {"milliProcessors": 500, "memoryMebibytes": 256},
 *  "command": "payout --month 3", "runMillis": 60000}
 * }</pre>
 *
 * <p>Optional keys with their defaults: {@code sizes.accelerators} (0), {@code urgent} (false),
 * {@code finishBy} (none; an instant such as {@code 2026-12-02T22:00:00Z}), {@code idempotent}
 * (true), {@code checkpointIntervalMillis} (0, no checkpoints), {@code spread} ({@code none}; or
 * {@code rack} or {@code zone}).
 *
 * <p>Thread-safe.
 */
public final class JobFile {
  /** Maximum size of a job file, in bytes. */
  public static final int MAX_BYTES = 64 * 1024;

  private static final int MAX_COMMAND_CHARS = 4_096;
  private static final long MAX_RUN_MILLIS = 366L * 24 * 3_600_000;
  private static final long MAX_MILLI_PROCESSORS = 1_024_000;
  private static final long MAX_MEBIBYTES = 16L * 1024 * 1024;
  private static final long MAX_ACCELERATORS = 64;

  private static final ImmutableSet<String> KEYS =
      ImmutableSet.of(
          "name",
          "team",
          "class",
          "count",
          "sizes",
          "command",
          "runMillis",
          "urgent",
          "finishBy",
          "idempotent",
          "checkpointIntervalMillis",
          "spread");
  private static final ImmutableSet<String> SIZE_KEYS =
      ImmutableSet.of("milliProcessors", "memoryMebibytes", "accelerators");

  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private final String fileName;

  private JobFile(String fileName) {
    this.fileName = fileName;
  }

  /** Signals an invalid file; converted to a failed result before it leaves this class. */
  private static final class InvalidFileException extends RuntimeException {
    private static final long serialVersionUID = 1;

    InvalidFileException(String message) {
      super(message, null, false, false);
    }
  }

  /**
   * Parses a job file.
   *
   * <p>Fails with {@code BODY_TOO_LARGE} for more than {@value #MAX_BYTES} bytes, with {@code
   * INVALID_CONTENT} for anything that is not a valid job.
   *
   * @param fileName the file's name for failure messages
   * @param bytes the file's content
   */
  public static Result<JobSpec> read(String fileName, byte[] bytes) {
    requireNonNull(fileName, "fileName");
    if (bytes.length > MAX_BYTES) {
      return Result.failed(
          ErrorKind.BODY_TOO_LARGE,
          "%s: has %d bytes, the limit is %d".formatted(fileName, bytes.length, MAX_BYTES));
    }
    try {
      return Result.ok(new JobFile(fileName).readJob(MAPPER.readTree(bytes)));
    } catch (JsonProcessingException e) {
      return Result.failed(
          ErrorKind.INVALID_CONTENT,
          "%s: is not valid JSON: %s".formatted(fileName, e.getOriginalMessage()));
    } catch (IOException e) {
      return Result.failed(ErrorKind.INVALID_CONTENT, fileName + ": " + e.getMessage());
    } catch (InvalidFileException e) {
      return Result.failed(ErrorKind.INVALID_CONTENT, e.getMessage());
    }
  }

  private JobSpec readJob(JsonNode root) {
    checkObject("", root, KEYS);
    JsonNode sizes = required("", root, "sizes");
    checkObject("sizes", sizes, SIZE_KEYS);
    return new JobSpec(
        readName(root, "name"),
        readName(root, "team"),
        readTaskClass(root),
        (int) readNumber("", root, "count", 1, JobSpec.MAX_COUNT, Optional.of(1L)),
        readSizes(sizes),
        readCommand(root),
        readNumber("", root, "runMillis", 1, MAX_RUN_MILLIS, Optional.empty()),
        readFlag(root, "urgent", false),
        readFinishBy(root),
        readFlag(root, "idempotent", true),
        readNumber("", root, "checkpointIntervalMillis", 0, MAX_RUN_MILLIS, Optional.of(0L)),
        readSpread(root));
  }

  private Sizes readSizes(JsonNode node) {
    long processors =
        readNumber("sizes", node, "milliProcessors", 1, MAX_MILLI_PROCESSORS, Optional.empty());
    long mebibytes =
        readNumber("sizes", node, "memoryMebibytes", 1, MAX_MEBIBYTES, Optional.empty());
    long accelerators =
        readNumber("sizes", node, "accelerators", 0, MAX_ACCELERATORS, Optional.of(0L));
    return new Sizes(processors, mebibytes * Sizes.BYTES_PER_MEBIBYTE, accelerators);
  }

  private String readName(JsonNode root, String key) {
    String name = readText("", root, key);
    if (!JobSpec.NAME.matcher(name).matches()) {
      throw invalid(key, "\"%s\" does not match %s".formatted(name, JobSpec.NAME));
    }
    return name;
  }

  private String readCommand(JsonNode root) {
    String command = readText("", root, "command");
    if (command.isEmpty() || command.length() > MAX_COMMAND_CHARS) {
      throw invalid(
          "command",
          "has %d characters, must have 1 to %d".formatted(command.length(), MAX_COMMAND_CHARS));
    }
    return command;
  }

  private TaskClass readTaskClass(JsonNode root) {
    String code = readText("", root, "class");
    try {
      return TaskClass.forCode(code);
    } catch (IllegalArgumentException e) {
      throw invalid("class", "\"%s\" is not one of latency-critical, batch".formatted(code));
    }
  }

  private Spread readSpread(JsonNode root) {
    if (!root.has("spread")) {
      return Spread.NONE;
    }
    String code = readText("", root, "spread");
    try {
      return Spread.forCode(code);
    } catch (IllegalArgumentException e) {
      throw invalid("spread", "\"%s\" is not one of none, rack, zone".formatted(code));
    }
  }

  private long readFinishBy(JsonNode root) {
    if (!root.has("finishBy")) {
      return 0;
    }
    String text = readText("", root, "finishBy");
    try {
      return Math.max(1, Instant.parse(text).toEpochMilli());
    } catch (DateTimeParseException | ArithmeticException e) {
      throw invalid(
          "finishBy", "\"%s\" is not an instant such as 2026-12-02T22:00:00Z".formatted(text));
    }
  }

  private boolean readFlag(JsonNode root, String key, boolean defaultValue) {
    JsonNode node = root.get(key);
    if (node == null) {
      return defaultValue;
    }
    if (!node.isBoolean()) {
      throw invalid(key, "is not a boolean: " + node);
    }
    return node.booleanValue();
  }

  private String readText(String prefix, JsonNode parent, String key) {
    JsonNode node = required(prefix, parent, key);
    if (!node.isTextual()) {
      throw invalid(path(prefix, key), "is not a string: " + node);
    }
    return node.textValue();
  }

  private long readNumber(
      String prefix, JsonNode parent, String key, long min, long max, Optional<Long> defaultValue) {
    if (!parent.has(key) && defaultValue.isPresent()) {
      return defaultValue.get();
    }
    JsonNode node = required(prefix, parent, key);
    if (!node.isIntegralNumber() || !node.canConvertToLong()) {
      throw invalid(path(prefix, key), "is not an integer: " + node);
    }
    long value = node.longValue();
    if (value < min || value > max) {
      throw invalid(path(prefix, key), "is %d, must be %d to %d".formatted(value, min, max));
    }
    return value;
  }

  private JsonNode required(String prefix, JsonNode parent, String key) {
    JsonNode node = parent.get(key);
    if (node == null) {
      throw invalid(path(prefix, key), "is missing");
    }
    return node;
  }

  private void checkObject(String path, JsonNode node, ImmutableSet<String> keys) {
    if (node == null || !node.isObject()) {
      throw invalid(path, "is not a JSON object");
    }
    Iterator<String> names = node.fieldNames();
    while (names.hasNext()) {
      String key = names.next();
      if (!keys.contains(key)) {
        throw invalid(
            path(path, key), "is not a known key; known keys: " + String.join(", ", keys));
      }
    }
  }

  private static String path(String prefix, String key) {
    return prefix.isEmpty() ? key : prefix + "." + key;
  }

  private InvalidFileException invalid(String key, String problem) {
    String subject = key.isEmpty() ? "the file" : "key " + key;
    return new InvalidFileException("%s: %s %s".formatted(fileName, subject, problem));
  }
}
