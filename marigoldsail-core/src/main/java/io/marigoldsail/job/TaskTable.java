package io.marigoldsail.job;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import io.marigoldsail.job.TaskState.Phase;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/**
 * Replicated state machine of jobs, tasks, VMs and entries. Every entry folds the stream {@code
 * tasks} into its own table, and all tables have the same state at the same position.
 *
 * <p>The state depends only on the records and their positions, not on clocks or configuration. A
 * record that does not apply, such as a claim that lost a race or a duplicate or late release,
 * changes only the position.
 *
 * <p>Thread-safe: every method holds the table's lock, and the results are immutable. Applying a
 * record takes a few map look-ups; clearing a VM takes one step for each of its tasks.
 */
public final class TaskTable {
  /** Notified of attempts that completed by themselves. Must not block. */
  @FunctionalInterface
  public interface AttemptEndListener {
    /** Called when an attempt of a job's task has completed on a VM. */
    void ended(String vm, String job, boolean success);
  }

  /** A task ends as failed after its attempts have failed on this many different VMs. */
  public static final int MAX_FAILED_VMS = 3;

  /** A task ends as failed after this many failed attempts, on any VMs. */
  public static final int MAX_FAILURES = 6;

  /** The oldest ended jobs are evicted when the ended jobs have more tasks than this in all. */
  static final int MAX_ENDED_TASKS = 5_000;

  private static final int MAX_ENTRIES = 64;

  private final Map<String, MutableJob> jobs = new LinkedHashMap<>();
  private final Map<String, MutableJob> endedJobs = new LinkedHashMap<>();
  private final Bookings bookings = new Bookings();
  private final Map<String, EntryState> entries = new TreeMap<>();
  private final List<AttemptEndListener> endListeners = new CopyOnWriteArrayList<>();
  private final List<Consumer<String>> evictionListeners = new CopyOnWriteArrayList<>();
  private final DisplacedBoots displaced = new DisplacedBoots();
  private final Preemptions preemptions = new Preemptions();
  private int endedTasks;
  private long appliedPosition = -1;

  /** Creates an empty table. */
  public TaskTable() {}

  /**
   * Applies a record.
   *
   * @param position the record's position in the log, greater than that of all records before it
   * @return whether the record changed anything but the position
   */
  public synchronized boolean apply(long position, TaskRecord record) {
    requireNonNull(record, "record");
    checkArgument(
        position > appliedPosition, "position %s is not after %s", position, appliedPosition);
    appliedPosition = position;
    if (record instanceof TaskRecord.JobAccepted accepted) {
      return accept(position, accepted);
    }
    if (record instanceof TaskRecord.JobCancelled cancelled) {
      return cancel(cancelled);
    }
    if (record instanceof TaskRecord.VmJoined joined) {
      return join(position, joined.vm());
    }
    if (record instanceof TaskRecord.VmRevoked revoked) {
      return revoke(revoked.vm(), revoked.registration());
    }
    if (record instanceof TaskRecord.VmCleared cleared) {
      return clear(cleared);
    }
    if (record instanceof TaskRecord.Claimed claimed) {
      return claim(position, claimed);
    }
    if (record instanceof TaskRecord.Preempted preempted) {
      return preempt(position, preempted);
    }
    if (record instanceof TaskRecord.Checkpointed checkpointed) {
      return checkpoint(checkpointed);
    }
    if (record instanceof TaskRecord.Released released) {
      return release(released);
    }
    if (record instanceof TaskRecord.Ended ended) {
      return end(ended);
    }
    return heartbeat(position, (TaskRecord.Heartbeat) record);
  }

  /** Returns the position of the last applied record, or -1. */
  public synchronized long appliedPosition() {
    return appliedPosition;
  }

  /** Returns the task of the given name, or empty if it is unknown or has been evicted. */
  public synchronized Optional<TaskState> task(String name) {
    MutableJob job = findJob(TaskState.jobOf(name));
    return job == null ? Optional.empty() : Optional.ofNullable(job.find(name));
  }

  /** Returns the job of the given name, or empty if it is unknown or has been evicted. */
  public synchronized Optional<JobState> job(String name) {
    return Optional.ofNullable(findJob(name)).map(MutableJob::state);
  }

  /** Returns the tasks of the job of the given name by index; empty for an unknown job. */
  public synchronized List<TaskState> tasksOf(String jobName) {
    MutableJob job = findJob(jobName);
    return job == null ? List.of() : job.tasks();
  }

  /** Returns the jobs that have not ended, in the order of their acceptance. */
  public synchronized List<JobState> jobs() {
    return jobs.values().stream().map(MutableJob::state).toList();
  }

  /** Returns the jobs that have waiting tasks, in the order of their acceptance. */
  public synchronized List<JobState> waitingJobs() {
    return jobs.values().stream()
        .filter(MutableJob::hasWaitingTasks)
        .map(MutableJob::state)
        .toList();
  }

  /** Returns the ended jobs that have not been evicted, in the order of their ends. */
  public synchronized List<JobState> endedJobs() {
    return endedJobs.values().stream().map(MutableJob::state).toList();
  }

  /** Returns the job's first waiting tasks from an index on, up to a limit. */
  public synchronized List<TaskState> waiting(String jobName, int fromIndex, int limit) {
    MutableJob job = jobs.get(jobName);
    List<TaskState> found = new ArrayList<>();
    if (job == null) {
      return found;
    }
    int index = job.nextWaiting(fromIndex);
    while (index >= 0 && found.size() < limit) {
      found.add(job.task(index));
      index = job.nextWaiting(index + 1);
    }
    return found;
  }

  /** Returns all registrations including revoked ones, oldest first. */
  public synchronized List<VmState> vms() {
    return bookings.vms();
  }

  /** Returns the VM's latest registration, or empty if it has none or it is revoked. */
  public synchronized Optional<VmState> vm(String name) {
    return bookings.latest(name).filter(vm -> !vm.revoked());
  }

  /** Returns the tasks claimed on a registration, ordered by name. */
  public synchronized List<TaskState> tasksOn(long registration) {
    return bookings.tasksOn(registration).stream()
        .map(name -> findJob(TaskState.jobOf(name)).find(name))
        .toList();
  }

  /** Returns the total of each team's claims; teams without claims are omitted. */
  public synchronized Map<String, Sizes> bookedByTeam() {
    return bookings.byTeam();
  }

  /** Returns the number of tasks of each {@linkplain Programs program} on a registration. */
  public synchronized Map<String, Integer> programsOn(long registration) {
    return bookings.programsOn(registration);
  }

  /** Adds a listener for attempts that complete by themselves from now on. */
  public void addEndListener(AttemptEndListener listener) {
    endListeners.add(requireNonNull(listener, "listener"));
  }

  /** Adds a listener that receives the VM of every eviction from now on. It must not block. */
  public void addEvictionListener(Consumer<String> listener) {
    evictionListeners.add(requireNonNull(listener, "listener"));
  }

  /** Returns the pending preemptions, ordered by the urgent task's name. */
  public synchronized List<Preemption> preemptions() {
    return preemptions.all();
  }

  /** Returns the entries that have written heartbeats, ordered by name. */
  public synchronized Collection<EntryState> entries() {
    return List.copyOf(entries.values());
  }

  /** Returns the whole state. */
  public synchronized TaskTableSnapshot snapshot() {
    List<TaskTableSnapshot.Job> allJobs = new ArrayList<>();
    jobs.values().forEach(job -> allJobs.add(TaskTableSnapshot.Job.of(job)));
    endedJobs.values().forEach(job -> allJobs.add(TaskTableSnapshot.Job.of(job)));
    return new TaskTableSnapshot(
        appliedPosition,
        allJobs,
        bookings.vms(),
        List.copyOf(entries.values()),
        displaced.byVm(),
        preemptions.all());
  }

  /**
   * Replaces the whole state by a snapshot.
   *
   * @throws IllegalArgumentException if the snapshot is inconsistent; the table is then unchanged
   */
  public synchronized void restore(TaskTableSnapshot snapshot) {
    List<MutableJob> restored = new ArrayList<>();
    snapshot.jobs().forEach(job -> restored.add(job.toMutable()));
    snapshot.checkRegistrations(restored);
    jobs.clear();
    endedJobs.clear();
    bookings.clear();
    entries.clear();
    displaced.replace(snapshot.displaced());
    preemptions.replace(snapshot.preemptions());
    endedTasks = 0;
    appliedPosition = snapshot.applied();
    snapshot.vms().forEach(bookings::add);
    snapshot.entries().forEach(entry -> entries.put(entry.entry(), entry));
    restored.forEach(this::restoreJob);
  }

  private void restoreJob(MutableJob job) {
    if (job.ended()) {
      endedJobs.put(job.spec().name(), job);
      endedTasks += job.spec().count();
      return;
    }
    jobs.put(job.spec().name(), job);
    for (TaskState task : job.tasks()) {
      if (task.phase() == Phase.CLAIMED) {
        bookings.indexClaim(task.registration(), job.spec(), task.name(), task.booked());
      }
    }
  }

  private MutableJob findJob(String name) {
    MutableJob job = jobs.get(name);
    return job == null ? endedJobs.get(name) : job;
  }

  private boolean accept(long position, TaskRecord.JobAccepted accepted) {
    String name = accepted.job().name();
    if (findJob(name) != null) {
      return false;
    }
    jobs.put(name, new MutableJob(accepted.job(), position, accepted.acceptedMillis(), ""));
    return true;
  }

  private boolean cancel(TaskRecord.JobCancelled cancelled) {
    MutableJob job = jobs.get(cancelled.job());
    if (job == null || job.cancelled()) {
      return false;
    }
    job.cancel(cancelled.reason());
    int index = job.nextWaiting(0);
    while (index >= 0) {
      preemptions.end(job.task(index).name());
      job.put(job.task(index).asEnded(Phase.CANCELLED, job.cancelReason()));
      index = job.nextWaiting(index + 1);
    }
    retireIfEnded(job);
    return true;
  }

  private boolean join(long position, VmDescription vm) {
    VmState current = bookings.latest(vm.vm()).orElse(null);
    if (current != null && current.description().bootIncarnation() == vm.bootIncarnation()) {
      // Either two entries wrote the join, or the VM is revoked and its leases may not have
      // expired.
      return false;
    }
    if (displaced.contains(vm.vm(), vm.bootIncarnation())) {
      return false;
    }
    bookings.add(new VmState(vm, position, false, Sizes.NONE, 0));
    if (current != null) {
      // A new boot under the same name. The old boot gets no new tasks, but its claims are kept
      // until their leases have expired, because the name alone does not prove that it has stopped.
      displaced.add(vm.vm(), current.description().bootIncarnation());
      revoke(vm.vm(), current.registration());
    }
    return true;
  }

  private boolean revoke(String name, long registration) {
    VmState vm = findActiveVm(name, registration);
    if (vm == null) {
      return false;
    }
    bookings.revoke(vm);
    preemptions.endOnRegistration(registration);
    return true;
  }

  private boolean clear(TaskRecord.VmCleared cleared) {
    VmState vm = bookings.find(cleared.registration());
    if (vm == null || !vm.revoked() || !vm.vm().equals(cleared.vm())) {
      return false;
    }
    for (TaskState task : tasksOn(cleared.registration())) {
      if (task.leaseMillis() <= cleared.leaseMillis()) {
        releaseTask(task, ReleaseCause.VM_LOST, "VM " + cleared.vm() + " was lost");
      }
    }
    bookings.removeIfUnused(cleared.registration());
    return true;
  }

  private boolean claim(long position, TaskRecord.Claimed claim) {
    TaskState task = findWaiting(claim.task(), claim.attempt());
    VmState vm = findActiveVm(claim.vm(), claim.registration());
    if (task == null || vm == null) {
      return false;
    }
    // Entries choose VMs by views that may be seconds old. Only here are the bookings the same for
    // all, so only here can two claims for the same capacity be detected. Capacity that a
    // preemption has freed is reserved for its urgent task.
    Sizes reserved = preemptions.reservedForOthers(claim.task(), claim.registration());
    MutableJob job = jobs.get(task.job());
    Sizes teamTotal = bookings.bookedByTeam(job.spec().team()).plus(claim.sizes());
    if (!claim.sizes().fitsIn(vm.free().minus(reserved)) || !teamTotal.fitsIn(claim.teamMost())) {
      return false;
    }
    preemptions.end(claim.task());
    bookings.addClaim(vm, job.spec(), claim.task(), claim.sizes());
    job.put(task.asClaimed(claim, position));
    return true;
  }

  private boolean preempt(long position, TaskRecord.Preempted preempted) {
    TaskState task = findWaiting(preempted.task(), preempted.attempt());
    VmState vm = findActiveVm(preempted.vm(), preempted.registration());
    if (task == null || vm == null || !jobs.get(task.job()).spec().urgent()) {
      return false;
    }
    Sizes freed = vm.free();
    for (Preemption.Victim victim : preempted.victims()) {
      TaskState claimed = findClaimed(victim.task(), victim.token());
      boolean onVm = claimed != null && claimed.registration() == vm.registration();
      if (!onVm || !jobs.get(claimed.job()).spec().preemptable()) {
        return false;
      }
      freed = freed.plus(claimed.booked());
    }
    return preempted.sizes().fitsIn(freed) && preemptions.accept(position, preempted);
  }

  /** Returns the task if it waits for exactly that attempt, else null. */
  private TaskState findWaiting(String name, int attempt) {
    MutableJob job = jobs.get(TaskState.jobOf(name));
    TaskState task = job == null ? null : job.find(name);
    boolean waits = task != null && task.phase() == Phase.WAITING && task.attempt() == attempt;
    return waits ? task : null;
  }

  /** Returns the registration if it is known and not revoked, else null. */
  private VmState findActiveVm(String name, long registration) {
    VmState vm = bookings.find(registration);
    return vm == null || vm.revoked() || !vm.vm().equals(name) ? null : vm;
  }

  private boolean checkpoint(TaskRecord.Checkpointed checkpointed) {
    TaskState task = findClaimed(checkpointed.task(), checkpointed.token());
    if (task == null) {
      return false;
    }
    jobs.get(task.job()).put(task.withCheckpoint(checkpointed.checkpoint()));
    return true;
  }

  private boolean release(TaskRecord.Released released) {
    // A duplicate release, or a late one of an earlier attempt, has a stale token. Applying it
    // would let a second attempt start while the first one runs.
    TaskState task = findClaimed(released.task(), released.token());
    if (task == null) {
      return false;
    }
    if (released.cause() == ReleaseCause.EVICTED) {
      evictionListeners.forEach(listener -> listener.accept(task.vm()));
    }
    releaseTask(task.withCheckpoint(released.checkpoint()), released.cause(), released.detail());
    return true;
  }

  private boolean end(TaskRecord.Ended ended) {
    TaskState task = findClaimed(ended.task(), ended.token());
    if (task == null) {
      return false;
    }
    for (AttemptEndListener listener : endListeners) {
      listener.ended(task.vm(), task.job(), ended.success());
    }
    TaskState updated = task.withCheckpoint(ended.checkpoint());
    if (ended.success()) {
      applyTransition(task, updated.asEnded(Phase.DONE, ended.detail()));
    } else {
      applyTransition(task, afterFailure(updated.withFailedVm(task.vm()), ended.detail()));
    }
    return true;
  }

  private TaskState afterFailure(TaskState task, String detail) {
    MutableJob job = jobs.get(task.job());
    if (job.cancelled()) {
      return task.asEnded(Phase.CANCELLED, job.cancelReason());
    }
    if (!job.spec().idempotent()) {
      return task.asEnded(
          Phase.FAILED, "failed on " + task.vm() + " and must not run twice: " + detail);
    }
    long distinctVms = task.failedVms().stream().distinct().count();
    if (distinctVms >= MAX_FAILED_VMS || task.failedVms().size() >= MAX_FAILURES) {
      return task.asEnded(
          Phase.FAILED, "failed on " + String.join(", ", task.failedVms()) + ": " + detail);
    }
    return task.asWaiting(false, "failed on " + task.vm() + ": " + detail);
  }

  /** Releases a claimed task whose attempt did not complete by itself. */
  private void releaseTask(TaskState task, ReleaseCause cause, String detail) {
    MutableJob job = jobs.get(task.job());
    if (job.cancelled()) {
      applyTransition(task, task.asEnded(Phase.CANCELLED, job.cancelReason()));
      return;
    }
    boolean workLost = cause.mayHaveRun() && !cause.endsAtCheckpoint();
    if (workLost && !job.spec().idempotent()) {
      applyTransition(
          task, task.asEnded(Phase.FAILED, "may have run and must not run twice: " + detail));
      return;
    }
    applyTransition(task, task.asWaiting(cause == ReleaseCause.EVICTED, detail));
  }

  private void applyTransition(TaskState before, TaskState after) {
    MutableJob job = jobs.get(before.job());
    bookings.releaseClaim(job.spec(), before);
    job.put(after);
    retireIfEnded(job);
  }

  private TaskState findClaimed(String taskName, long token) {
    MutableJob job = jobs.get(TaskState.jobOf(taskName));
    TaskState task = job == null ? null : job.find(taskName);
    return task != null && task.isClaimedWith(token) ? task : null;
  }

  private void retireIfEnded(MutableJob job) {
    if (!job.ended()) {
      return;
    }
    jobs.remove(job.spec().name());
    endedJobs.put(job.spec().name(), job);
    endedTasks += job.spec().count();
    var oldestFirst = endedJobs.values().iterator();
    while (endedTasks > MAX_ENDED_TASKS && endedJobs.size() > 1) {
      endedTasks -= oldestFirst.next().spec().count();
      oldestFirst.remove();
    }
  }

  private boolean heartbeat(long position, TaskRecord.Heartbeat heartbeat) {
    EntryState before = entries.get(heartbeat.entry());
    entries.put(heartbeat.entry(), EntryState.after(before, heartbeat, position));
    if (entries.size() > MAX_ENTRIES) {
      var byHeartbeat = Comparator.comparingLong(EntryState::lastHeartbeat);
      entries.remove(Collections.min(entries.values(), byHeartbeat).entry());
    }
    return true;
  }
}
