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
 * A {@link TaskTable} at one position.
 *
 * <p>Immutable. Rejects nulls. Tasks that nothing happened to yet are left out of their job.
 *
 * @param applied the position of the last record in it
 * @param jobs the jobs, those under way before those that ended
 * @param vms every registration
 * @param entries the entries
 * @param displaced boots that a later boot of the same VM has displaced, oldest first
 * @param preemptions the preemptions under way; snapshots of earlier versions have none
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
   * One job with what became of its tasks.
   *
   * @param spec what was asked for
   * @param accepted the position where it was accepted
   * @param acceptedMillis when, in milliseconds since the Unix epoch
   * @param cancelReason why it was cancelled, or empty
   * @param tasks its tasks, but for those that are as they were accepted
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
        boolean held = task.phase() == TaskState.Phase.CLAIMED;
        checkArgument(
            !held || known.contains(task.registration()), "%s is on no known VM", task.name());
      }
    }
  }

  /** Returns this as JSON. */
  public JsonNode toJson() {
    return TaskRecordCodec.mapper().valueToTree(this);
  }

  /** Returns the snapshot that the JSON stands for. */
  public static Result<TaskTableSnapshot> fromJson(JsonNode json) {
    try {
      return Result.ok(
          TaskRecordCodec.mapper().treeToValue(complete(json), TaskTableSnapshot.class));
    } catch (JsonProcessingException | IllegalArgumentException e) {
      return Result.failed(
          ErrorKind.INVALID_CONTENT, "snapshot of tasks is broken: " + e.getMessage());
    }
  }

  /** Adds what an earlier version did not write yet. */
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
