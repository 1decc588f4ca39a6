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
 * Task records as JSON, as they stand in the log.
 *
 * <p>Fields that a newer version adds are passed over; a missing or ill-typed one is a failure of
 * kind {@code INVALID_CONTENT}. Safe for any thread.
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
  private static final Sizes UNBOUNDED = TeamQuota.DEFAULT.limit();

  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
          .build();

  private TaskRecordCodec() {}

  /** Returns the name of the record's kind in the log. */
  public static String type(TaskRecord record) {
    String type = TYPES.inverse().get(record.getClass());
    return requireNonNull(type, "type");
  }

  /** Returns the record as JSON. */
  public static JsonNode body(TaskRecord record) {
    ObjectNode body = MAPPER.valueToTree(record);
    if (record instanceof TaskRecord.Claimed claimed && claimed.teamMost().equals(UNBOUNDED)) {
      body.remove(TEAM_MOST);
    }
    return body;
  }

  /** Returns the record that the type and JSON stand for. */
  public static Result<TaskRecord> read(String type, JsonNode body) {
    Class<? extends TaskRecord> recordClass = TYPES.get(type);
    if (recordClass == null) {
      return Result.failed(ErrorKind.INVALID_CONTENT, "no task record is called " + type);
    }
    try {
      return Result.ok(MAPPER.treeToValue(complete(recordClass, body), recordClass));
    } catch (JsonProcessingException | IllegalArgumentException e) {
      return Result.failed(
          ErrorKind.INVALID_CONTENT, "task record " + type + " is broken: " + e.getMessage());
    }
  }

  /** Adds what is left out of claims for teams without a bound, and of all of earlier versions. */
  private static JsonNode complete(Class<? extends TaskRecord> recordClass, JsonNode body) {
    boolean unbounded = recordClass == TaskRecord.Claimed.class && !body.has(TEAM_MOST);
    if (!unbounded || !(body instanceof ObjectNode fields)) {
      return body;
    }
    ObjectNode completed = MAPPER.createObjectNode();
    completed.setAll(fields);
    completed.set(TEAM_MOST, MAPPER.valueToTree(UNBOUNDED));
    return completed;
  }

  static ObjectMapper mapper() {
    return MAPPER;
  }
}
