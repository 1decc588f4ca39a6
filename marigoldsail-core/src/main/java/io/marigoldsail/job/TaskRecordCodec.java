package io.marigoldsail.job;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableBiMap;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Result;

/**
 * Converts task records from and to the JSON that the log stores.
 *
 * <p>Unknown fields, such as those of a newer version, are ignored; a missing or ill-typed field is
 * a failure of kind {@code INVALID_CONTENT}. Thread-safe.
 */
public final class TaskRecordCodec {
  private static final ImmutableBiMap<String, Class<? extends TaskRecord>> TYPES =
      ImmutableBiMap.<String, Class<? extends TaskRecord>>builder()
          .put("job-accepted", TaskRecord.JobAccepted.class)
          .put("job-cancelled", TaskRecord.JobCancelled.class)
          .put("vm-joined", TaskRecord.VmJoined.class)
          .put("vm-revoked", TaskRecord.VmRevoked.class)
          .put("vm-cleared", TaskRecord.VmCleared.class)
          .put("claimed", TaskRecord.Claimed.class)
          .put("preempted", TaskRecord.Preempted.class)
          .put("checkpointed", TaskRecord.Checkpointed.class)
          .put("released", TaskRecord.Released.class)
          .put("ended", TaskRecord.Ended.class)
          .put("heartbeat", TaskRecord.Heartbeat.class)
          .buildOrThrow();

  private static final String TEAM_MOST = "teamMost";
  private static final Sizes NO_LIMIT = TeamQuota.DEFAULT.limit();

  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
          .build();

  private TaskRecordCodec() {}

  /** Returns the type name of the record in the log. */
  public static String type(TaskRecord record) {
    String type = TYPES.inverse().get(record.getClass());
    return requireNonNull(type, "type");
  }

  /** Returns the record as JSON. */
  public static JsonNode body(TaskRecord record) {
    ObjectNode body = MAPPER.valueToTree(record);
    if (record instanceof TaskRecord.Claimed claimed && claimed.teamMost().equals(NO_LIMIT)) {
      body.remove(TEAM_MOST);
    }
    return body;
  }

  /** Parses a record of the given type, or fails with {@code INVALID_CONTENT}. */
  public static Result<TaskRecord> read(String type, JsonNode body) {
    Class<? extends TaskRecord> recordClass = TYPES.get(type);
    if (recordClass == null) {
      return Result.failed(ErrorKind.INVALID_CONTENT, "unknown type of task record: " + type);
    }
    try {
      return Result.ok(MAPPER.treeToValue(complete(recordClass, body), recordClass));
    } catch (JsonProcessingException | IllegalArgumentException e) {
      return Result.failed(
          ErrorKind.INVALID_CONTENT, "invalid task record of type " + type + ": " + e.getMessage());
    }
  }

  /** Adds the team limit, which claims for teams without one and claims of old versions omit. */
  private static JsonNode complete(Class<? extends TaskRecord> recordClass, JsonNode body) {
    boolean lacksLimit = recordClass == TaskRecord.Claimed.class && !body.has(TEAM_MOST);
    if (!lacksLimit || !(body instanceof ObjectNode fields)) {
      return body;
    }
    ObjectNode completed = MAPPER.createObjectNode();
    completed.setAll(fields);
    completed.set(TEAM_MOST, MAPPER.valueToTree(NO_LIMIT));
    return completed;
  }

  static ObjectMapper mapper() {
    return MAPPER;
  }
}
