package io.marigoldsail.job;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.List;

/** What may be written on the stream {@code tasks}; each kind is immutable and rejects nulls. */
public sealed interface TaskRecord {
  /** A job is accepted, unless one of its name is known. */
  record JobAccepted(JobSpec job, long acceptedMillis) implements TaskRecord {
    /** Checks the components. */
    public JobAccepted {
      requireNonNull(job, "job");
    }
  }

  /** A job's waiting tasks end as cancelled; running ones are to be stopped. */
  record JobCancelled(String job, String reason) implements TaskRecord {
    /** Checks the components. */
    public JobCancelled {
      requireNonNull(job, "job");
      requireNonNull(reason, "reason");
    }
  }

  /** A VM may be given tasks; the record's position is its registration. */
  record VmJoined(VmDescription vm) implements TaskRecord {
    /** Checks the components. */
    public VmJoined {
      requireNonNull(vm, "vm");
    }
  }

  /** A VM's registration is no longer vouched for; its leases run out. */
  record VmRevoked(String vm, long registration, String reason) implements TaskRecord {
    /** Checks the components. */
    public VmRevoked {
      requireNonNull(vm, "vm");
      requireNonNull(reason, "reason");
    }
  }

  /**
   * Leases up to the given length on a revoked registration are surely over. Only written after
   * waiting that length and the drift margin, counted from having read the revocation.
   */
  record VmCleared(String vm, long registration, long leaseMillis) implements TaskRecord {
    /** Checks the components. */
    public VmCleared {
      requireNonNull(vm, "vm");
    }
  }

  /**
   * An entry wants a task to run on a VM; the first acceptable claim wins.
   *
   * @param task the task
   * @param attempt the attempt that it waits for
   * @param vm the VM
   * @param registration that VM's registration
   * @param sizes what the attempt takes up
   * @param leaseMillis its lease, in milliseconds
   * @param entry the entry
   * @param teamMost what the task's team may take up in all, by the configuration that the entry
   *     had in force; left out of the log where the team has no bound
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
    /** Creates a claim for a task whose team has no bound. */
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
   * An entry wants attempts on a VM to go for a waiting urgent task; the first acceptable one wins.
   *
   * @param task the urgent task
   * @param attempt the attempt that it waits for
   * @param vm the VM
   * @param registration that VM's registration
   * @param sizes what the urgent task takes up
   * @param victims the attempts that go
   * @param replaces the position of the task's preemption that this one is put in place of, or 0
   * @param entry the entry
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

  /** A running attempt has written a checkpoint. */
  record Checkpointed(String task, long token, String checkpoint) implements TaskRecord {
    /** Checks the components. */
    public Checkpointed {
      requireNonNull(task, "task");
      requireNonNull(checkpoint, "checkpoint");
    }
  }

  /** An attempt no longer runs and its task waits for the next one. */
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

  /** An attempt ended by itself, with success or without. */
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
   * An entry lives, and which VMs it has begun and ceased to hear since its last heartbeat.
   *
   * @param entry the entry's name
   * @param incarnation the entry's start; the first heartbeat of a new one forgets what was heard
   * @param gained VMs that it hears from now on
   * @param lost VMs that it no longer hears
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
