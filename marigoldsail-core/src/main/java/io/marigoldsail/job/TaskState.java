package io.marigoldsail.job;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.ArrayList;
import java.util.List;

/**
 * State of a task, folded from the log up to some position.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param name the task's name: job, slash, index
 * @param phase the phase of the task's life cycle
 * @param attempt the current attempt if claimed, else the next one; starts at 1
 * @param token the fencing token of the current attempt; 0 unless claimed
 * @param vm the VM of the current claim, or else of the last one; empty if there was none
 * @param registration that VM's registration; 0 unless claimed
 * @param booked the resources that the claim books on the VM
 * @param leaseMillis the length of the current attempt's lease, in milliseconds
 * @param checkpoint the last known checkpoint, or empty
 * @param failedVms VMs on which an attempt failed by itself, oldest first, one element for each
 *     failure
 * @param evictions the number of evictions of the task
 * @param detail why it waits or how it ended; empty if nothing has happened yet
 */
public record TaskState(
    String name,
    Phase phase,
    int attempt,
    long token,
    String vm,
    long registration,
    Sizes booked,
    long leaseMillis,
    String checkpoint,
    List<String> failedVms,
    int evictions,
    String detail) {
  /** A phase of a task's life cycle. */
  public enum Phase {
    /** Waits for a claim. */
    WAITING(false),
    /** Claimed for a VM; runs or is about to start. */
    CLAIMED(false),
    /** Ended with success. */
    DONE(true),
    /** Ended because its job was cancelled. */
    CANCELLED(true),
    /** Ended without success; the detail gives the reason. */
    FAILED(true);

    private final boolean ended;

    Phase(boolean ended) {
      this.ended = ended;
    }

    /** Returns whether the phase is final. */
    public boolean ended() {
      return ended;
    }
  }

  /** Checks and copies the components. */
  public TaskState {
    requireNonNull(name, "name");
    requireNonNull(phase, "phase");
    requireNonNull(vm, "vm");
    requireNonNull(booked, "booked");
    requireNonNull(checkpoint, "checkpoint");
    failedVms = List.copyOf(failedVms);
    requireNonNull(detail, "detail");
  }

  static TaskState accepted(String name) {
    return new TaskState(name, Phase.WAITING, 1, 0, "", 0, Sizes.NONE, 0, "", List.of(), 0, "");
  }

  /** Returns the name of the task's job. */
  @JsonIgnore
  public String job() {
    return jobOf(name);
  }

  /** Returns the name of the job that a task of the given name belongs to. */
  public static String jobOf(String task) {
    int slash = task.indexOf('/');
    return slash < 0 ? task : task.substring(0, slash);
  }

  /** Returns whether the task is claimed and the token is that of its current attempt. */
  public boolean isClaimedWith(long otherToken) {
    return phase == Phase.CLAIMED && token == otherToken;
  }

  TaskState asClaimed(TaskRecord.Claimed claim, long newToken) {
    return new TaskState(
        name,
        Phase.CLAIMED,
        attempt,
        newToken,
        claim.vm(),
        claim.registration(),
        claim.sizes(),
        claim.leaseMillis(),
        checkpoint,
        failedVms,
        evictions,
        detail);
  }

  TaskState withCheckpoint(String newCheckpoint) {
    if (newCheckpoint.isEmpty()) {
      return this;
    }
    return new TaskState(
        name,
        phase,
        attempt,
        token,
        vm,
        registration,
        booked,
        leaseMillis,
        newCheckpoint,
        failedVms,
        evictions,
        detail);
  }

  TaskState withFailedVm(String failedVm) {
    List<String> vms = new ArrayList<>(failedVms);
    vms.add(failedVm);
    return new TaskState(
        name,
        phase,
        attempt,
        token,
        vm,
        registration,
        booked,
        leaseMillis,
        checkpoint,
        vms,
        evictions,
        detail);
  }

  TaskState asWaiting(boolean evicted, String newDetail) {
    return new TaskState(
        name,
        Phase.WAITING,
        attempt + 1,
        0,
        vm,
        0,
        Sizes.NONE,
        0,
        checkpoint,
        failedVms,
        evictions + (evicted ? 1 : 0),
        newDetail);
  }

  TaskState asEnded(Phase end, String newDetail) {
    return new TaskState(
        name, end, attempt, 0, vm, 0, Sizes.NONE, 0, checkpoint, failedVms, evictions, newDetail);
  }
}
