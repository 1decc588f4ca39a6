package io.marigoldsail.job;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Result;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * State of a {@link TaskTable} at one position.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param applied the position of the last applied record
 * @param jobs the jobs; those that have not ended precede those that have
 * @param vms all registrations
 * @param entries the entries
 * @param displaced by VM, the boots that a later boot of the same VM has displaced, oldest first
 * @param preemptions the pending preemptions; missing in the JSON of earlier versions
 */
public record TaskTableSnapshot(
    long applied,
    List<Job> jobs,
    List<VmState> vms,
    List<EntryState> entries,
    Map<String, List<Long>> displaced,
    List<Preemption> preemptions) {
  private static final String PREEMPTIONS = "preemptions";

  /**
   * A job and its tasks.
   *
   * @param spec the accepted specification
   * @param accepted the position of the record that accepted it
   * @param acceptedMillis when its entry accepted it, in milliseconds since the Unix epoch
   * @param cancelReason the reason of its cancellation, or empty if it was not cancelled
   * @param tasks its tasks without those whose state has not changed since the acceptance
   */
  public record Job(
      JobSpec spec,
      long accepted,
      long acceptedMillis,
      String cancelReason,
      List<TaskState> tasks) {
    /** Checks and copies the components. */
    public Job {
      requireNonNull(spec, "spec");
      requireNonNull(cancelReason, "cancelReason");
      tasks = List.copyOf(tasks);
    }

    static Job of(MutableJob job) {
      JobState state = job.state();
      List<TaskState> changed =
          job.tasks().stream().filter(t -> !t.equals(TaskState.accepted(t.name()))).toList();
      return new Job(
          state.spec(), state.accepted(), state.acceptedMillis(), state.cancelReason(), changed);
    }

    MutableJob toMutable() {
      MutableJob job = new MutableJob(spec, accepted, acceptedMillis, cancelReason);
      tasks.forEach(job::put);
      return job;
    }
  }

  /** Checks and copies the components. */
  public TaskTableSnapshot {
    jobs = List.copyOf(jobs);
    vms = List.copyOf(vms);
    entries = List.copyOf(entries);
    displaced = ImmutableMap.copyOf(displaced);
    preemptions = List.copyOf(preemptions);
  }

  /**
   * Checks that every claimed task is on a known registration.
   *
   * @throws IllegalArgumentException if one is not
   */
  void checkRegistrations(List<MutableJob> restored) {
    Set<Long> known = new HashSet<>();
    vms.forEach(vm -> known.add(vm.registration()));
    for (MutableJob job : restored) {
      for (TaskState task : job.tasks()) {
        boolean claimed = task.phase() == TaskState.Phase.CLAIMED;
        checkArgument(
            !claimed || known.contains(task.registration()),
            "%s is claimed on an unknown registration",
            task.name());
      }
    }
  }

  /** Returns this as JSON. */
  public JsonNode toJson() {
    return TaskRecordCodec.mapper().valueToTree(this);
  }

  /** Parses a snapshot, or fails with {@code INVALID_CONTENT}. */
  public static Result<TaskTableSnapshot> fromJson(JsonNode json) {
    try {
      return Result.ok(
          TaskRecordCodec.mapper().treeToValue(complete(json), TaskTableSnapshot.class));
    } catch (JsonProcessingException | IllegalArgumentException e) {
      return Result.failed(
          ErrorKind.INVALID_CONTENT, "invalid snapshot of tasks: " + e.getMessage());
    }
  }

  /** Adds the fields that earlier versions did not write. */
  private static JsonNode complete(JsonNode json) {
    if (!(json instanceof ObjectNode fields) || fields.has(PREEMPTIONS)) {
      return json;
    }
    ObjectNode completed = JsonNodeFactory.instance.objectNode();
    completed.setAll(fields);
    completed.putArray(PREEMPTIONS);
    return completed;
  }
}
