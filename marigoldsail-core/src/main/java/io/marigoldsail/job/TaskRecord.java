package io.marigoldsail.job;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.List;

/** A record of the stream {@code tasks}. Every kind is immutable and rejects nulls. */
public sealed interface TaskRecord {
  /** Accepts a job. Has no effect if a job of that name is already known. */
  record JobAccepted(JobSpec job, long acceptedMillis) implements TaskRecord {
    /** Checks the components. */
    public JobAccepted {
      requireNonNull(job, "job");
    }
  }

  /** Cancels a job: its waiting tasks end as cancelled, its running tasks are to be stopped. */
  record JobCancelled(String job, String reason) implements TaskRecord {
    /** Checks the components. */
    public JobCancelled {
      requireNonNull(job, "job");
      requireNonNull(reason, "reason");
    }
  }

  /** Makes a VM available for tasks. The record's position is the VM's registration. */
  record VmJoined(VmDescription vm) implements TaskRecord {
    /** Checks the components. */
    public VmJoined {
      requireNonNull(vm, "vm");
    }
  }

  /** Ends the confirmation of a VM's registration; its leases are no longer renewed. */
  record VmRevoked(String vm, long registration, String reason) implements TaskRecord {
    /** Checks the components. */
    public VmRevoked {
      requireNonNull(vm, "vm");
      requireNonNull(reason, "reason");
    }
  }

  /**
   * States that all leases up to the given length on a revoked registration have expired.
   *
   * <p>An entry writes it only after it has waited that length plus the clock drift margin since it
   * read the revocation.
   */
  record VmCleared(String vm, long registration, long leaseMillis) implements TaskRecord {
    /** Checks the components. */
    public VmCleared {
      requireNonNull(vm, "vm");
    }
  }

  /**
   * Assigns a waiting task to a VM. The first valid claim in the log takes effect; later ones have
   * none.
   *
   * @param task the task
   * @param attempt the attempt that the task waits for
   * @param vm the VM
   * @param registration the VM's registration
   * @param sizes the resources booked for the attempt
   * @param leaseMillis the length of the lease, in milliseconds
   * @param entry the entry that wrote the claim
   * @param teamMost the limit of all bookings of the task's team, by the configuration in force at
   *     the entry; left out of the log if the team has no limit
   */
  record Claimed(
      String task,
      int attempt,
      String vm,
      long registration,
      Sizes sizes,
      long leaseMillis,
      String entry,
      Sizes teamMost)
      implements TaskRecord {
    /** Creates a claim for a task whose team has no limit. */
    public Claimed(
        String task,
        int attempt,
        String vm,
        long registration,
        Sizes sizes,
        long leaseMillis,
        String entry) {
      this(task, attempt, vm, registration, sizes, leaseMillis, entry, TeamQuota.DEFAULT.limit());
    }

    /** Checks the components. */
    public Claimed {
      requireNonNull(task, "task");
      requireNonNull(vm, "vm");
      requireNonNull(sizes, "sizes");
      checkArgument(leaseMillis > 0, "leaseMillis is not positive: %s", leaseMillis);
      requireNonNull(entry, "entry");
      requireNonNull(teamMost, "teamMost");
    }
  }

  /**
   * Preempts attempts on a VM to free capacity for a waiting urgent task. The first valid
   * preemption in the log takes effect; later ones have none.
   *
   * @param task the urgent task
   * @param attempt the attempt that the task waits for
   * @param vm the VM
   * @param registration the VM's registration
   * @param sizes the resources that the urgent task needs
   * @param victims the attempts to evict
   * @param replaces the position of the task's earlier preemption that this one replaces, or 0
   * @param entry the entry that wrote the preemption
   */
  record Preempted(
      String task,
      int attempt,
      String vm,
      long registration,
      Sizes sizes,
      List<Preemption.Victim> victims,
      long replaces,
      String entry)
      implements TaskRecord {
    /** Checks and copies the components. */
    public Preempted {
      requireNonNull(task, "task");
      requireNonNull(vm, "vm");
      requireNonNull(sizes, "sizes");
      victims = List.copyOf(victims);
      requireNonNull(entry, "entry");
    }
  }

  /** Records that a running attempt has written a checkpoint. */
  record Checkpointed(String task, long token, String checkpoint) implements TaskRecord {
    /** Checks the components. */
    public Checkpointed {
      requireNonNull(task, "task");
      requireNonNull(checkpoint, "checkpoint");
    }
  }

  /** Records that an attempt no longer runs; its task waits for the next attempt. */
  record Released(String task, long token, ReleaseCause cause, String checkpoint, String detail)
      implements TaskRecord {
    /** Checks the components. */
    public Released {
      requireNonNull(task, "task");
      requireNonNull(cause, "cause");
      requireNonNull(checkpoint, "checkpoint");
      requireNonNull(detail, "detail");
    }
  }

  /** Records that an attempt completed by itself, with success or without. */
  record Ended(String task, long token, boolean success, String checkpoint, String detail)
      implements TaskRecord {
    /** Checks the components. */
    public Ended {
      requireNonNull(task, "task");
      requireNonNull(checkpoint, "checkpoint");
      requireNonNull(detail, "detail");
    }
  }

  /**
   * Shows that an entry is alive, and names the VMs that became reachable or unreachable for it
   * since its last heartbeat.
   *
   * @param entry the entry's name
   * @param incarnation identifies the start of the entry's process; the first heartbeat of a new
   *     incarnation clears the set of reachable VMs
   * @param gained VMs that the entry reaches from now on
   * @param lost VMs that the entry no longer reaches
   */
  record Heartbeat(String entry, long incarnation, List<String> gained, List<String> lost)
      implements TaskRecord {
    /** Checks and copies the components. */
    public Heartbeat {
      requireNonNull(entry, "entry");
      gained = List.copyOf(gained);
      lost = List.copyOf(lost);
    }
  }
}
