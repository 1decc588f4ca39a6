package io.marigoldsail.daemon.task;

import io.marigoldsail.error.Result;
import io.marigoldsail.job.JobQueue;
import io.marigoldsail.job.JobSpec;
import io.marigoldsail.job.JobState;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.job.Spread;
import io.marigoldsail.job.TaskRecord;
import io.marigoldsail.job.TaskState;
import io.marigoldsail.job.VmState;
import io.marigoldsail.placement.Fleet;
import io.marigoldsail.placement.PlacementDecision;
import io.marigoldsail.placement.PlacementRequest;
import io.marigoldsail.placement.Placer;
import io.marigoldsail.timeline.Event;
import io.marigoldsail.timeline.EventKind;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * One entry's part in giving waiting tasks a VM: takes them in the queue's order, chooses a VM and
 * writes the claim.
 *
 * <p>Load pattern: thousands of tasks wait when a fleet frees up, or the log comes back after an
 * outage. Claims on their way are bounded, so that a round trip to the log paces them, and rounds
 * are bounded in work. Tasks are divided among the living entries by a hash of their name; without
 * that every entry would race for the head of the same queue and all but one append would be
 * wasted. An entry takes another's tasks only after the job has not moved for a while.
 */
final class ClaimLoop {
  private static final int MAX_PENDING_CLAIMS = 64;
  private static final int MAX_PLACEMENTS_PER_ROUND = 128;
  private static final int MAX_CANDIDATES_PER_JOB = 256;

  /** What the log does not tell, such as which VMs are heard, is looked at so often. */
  private static final long RECHECK_MILLIS = 200;

  private static final long NO_POSITION = Long.MIN_VALUE;
  private static final long TAKEOVER_MILLIS = 3_000;
  private static final long LOG_BACKOFF_MILLIS = 500;

  private record PendingClaim(VmState vm, String program, Sizes sizes) {}

  private record Progress(long waitingTasks, long takeoverAt) {}

  /** One job's waiting tasks in one round. */
  private record Candidates(Deque<TaskState> tasks, Map<String, Integer> tasksByGroup) {}

  private final EntryContext context;
  private final VmMembership membership;
  private final StartLoop startLoop;
  private final Placer placer;
  private final PlacementModel placementModel;
  private final PreemptionLoop preemptionLoop;
  private final Map<String, PendingClaim> pendingClaims = new HashMap<>();
  private final Map<String, Progress> progress = new HashMap<>();
  private final Map<String, String> waitingReason = new HashMap<>();
  private long pausedUntil;

  /** How far the log was read when a round found nothing to claim. */
  private long idlePosition = NO_POSITION;

  private long nextRecheck;

  ClaimLoop(
      EntryContext context,
      VmMembership watch,
      StartLoop starts,
      Placer placer,
      PlacementModel knowledge,
      PreemptionLoop preemptions) {
    this.context = context;
    this.membership = watch;
    this.startLoop = starts;
    this.placer = placer;
    this.placementModel = knowledge;
    this.preemptionLoop = preemptions;
    this.pausedUntil = context.nanos();
    this.nextRecheck = context.nanos();
  }

  void tick() {
    if (!context.hasPassed(pausedUntil) || pendingClaims.size() >= MAX_PENDING_CLAIMS) {
      return;
    }
    long applied = context.table().appliedPosition();
    if (applied == idlePosition && !context.hasPassed(nextRecheck)) {
      return;
    }
    List<JobState> jobs = context.table().waitingJobs();
    updateProgress(jobs);
    int before = pendingClaims.size();
    if (!jobs.isEmpty()) {
      runRound(jobs);
    }
    idlePosition = pendingClaims.size() == before ? applied : NO_POSITION;
    nextRecheck = context.deadlineAfterMillis(RECHECK_MILLIS);
  }

  private void runRound(List<JobState> jobs) {
    Fleet fleet = new Fleet(context.table().vms(), this::isUsable, context.table()::programsOn);
    fleet.reservePreempted(context.table().preemptions());
    pendingClaims
        .values()
        .forEach(p -> fleet.allocate(p.vm().registration(), p.program(), p.sizes()));
    placementModel.reserveForUrgentJobs(jobs, fleet);
    placer.beginRound();
    JobQueue order =
        new JobQueue(
            jobs,
            context.table().bookedByTeam(),
            team -> context.policy().quota(team),
            fleet.capacity(),
            context.wallMillis());
    claimInOrder(order, fleet);
  }

  /** Returns why the job's tasks wait, as far as this entry has looked; empty if it has not. */
  String waitingReason(String job) {
    return waitingReason.getOrDefault(job, "");
  }

  private boolean isUsable(VmState vm) {
    return membership.isSchedulable(vm.vm()) && placementModel.isUsable(vm);
  }

  private void claimInOrder(JobQueue order, Fleet fleet) {
    Map<String, Candidates> candidates = new HashMap<>();
    Optional<JobState> next = order.next();
    int tries = 0;
    while (next.isPresent()
        && tries < MAX_PLACEMENTS_PER_ROUND
        && pendingClaims.size() < MAX_PENDING_CLAIMS) {
      tries++;
      JobState job = next.get();
      Candidates waiting =
          candidates.computeIfAbsent(job.spec().name(), unused -> candidatesOf(job));
      TaskState task = waiting.tasks().poll();
      if (task != null) {
        Sizes sizes = placementModel.booking(job.spec());
        if (tryClaim(order, fleet, job, task, waiting.tasksByGroup())) {
          order.recordAllocation(job, sizes, !waiting.tasks().isEmpty());
        }
      }
      next = order.next();
    }
  }

  private boolean tryClaim(
      JobQueue order, Fleet fleet, JobState job, TaskState task, Map<String, Integer> inGroup) {
    JobSpec spec = job.spec();
    Sizes sizes = placementModel.booking(spec);
    if (!order.withinQuota(spec.team(), sizes)) {
      markWaiting(spec, "team " + spec.team() + " is at its quota");
      return false;
    }
    PlacementDecision decision =
        placer.place(new PlacementRequest(spec, task, sizes, inGroup), fleet);
    if (decision instanceof PlacementDecision.NoCapacity noRoom) {
      markWaiting(spec, noRoom.reason());
      if (spec.urgent()) {
        preemptionLoop.onInsufficientCapacity(spec, task, sizes, fleet);
      }
      return false;
    }
    PlacementDecision.Chosen chosen = (PlacementDecision.Chosen) decision;
    waitingReason.remove(spec.name());
    VmState vm = chosen.candidate().state();
    fleet.allocate(vm.registration(), spec.program(), sizes);
    if (spec.spread() != Spread.NONE) {
      inGroup.merge(spec.spread().groupOf(vm.description()), 1, Integer::sum);
    }
    claim(spec, task, vm, sizes, chosen.reason());
    return true;
  }

  private void markWaiting(JobSpec spec, String why) {
    String before = waitingReason.put(spec.name(), why);
    if (before == null) {
      context.record(
          Event.of(EventKind.TASK_WAITING)
              .withTask(spec.name())
              .withTeam(spec.team())
              .withDetail(why));
    }
  }

  private void claim(JobSpec spec, TaskState task, VmState vm, Sizes sizes, String why) {
    TaskRecord.Claimed claim =
        new TaskRecord.Claimed(
            task.name(),
            task.attempt(),
            vm.vm(),
            vm.registration(),
            sizes,
            context.policy().leases().leaseMillis(spec.taskClass()),
            context.identity().name(),
            context.policy().quota(spec.team()).limit());
    pendingClaims.put(task.name(), new PendingClaim(vm, spec.program(), sizes));
    context.record(
        Event.of(EventKind.TASK_PLACED).withTask(task.name()).withVm(vm.vm()).withDetail(why));
    context.append(claim, result -> onClaimAppended(claim, spec, result));
  }

  private void onClaimAppended(TaskRecord.Claimed claim, JobSpec spec, Result<Long> result) {
    pendingClaims.remove(claim.task());
    if (!(result instanceof Result.Ok<Long> ok)) {
      // Should it have got in after all, the sweep finds it in the table and starts it.
      pausedUntil = context.deadlineAfterMillis(LOG_BACKOFF_MILLIS);
      return;
    }
    Optional<TaskState> task = context.table().task(claim.task());
    boolean won = task.isPresent() && task.get().isClaimedWith(ok.value());
    EventKind kind = won ? EventKind.TASK_CLAIMED : EventKind.TASK_CLAIM_LOST;
    context.record(
        Event.of(kind)
            .withTask(claim.task())
            .withVm(claim.vm())
            .withTeam(spec.team())
            .withDetail("attempt " + claim.attempt() + " token " + ok.value()));
    if (won) {
      startLoop.onClaimAccepted(task.get(), spec);
    }
  }

  private Candidates candidatesOf(JobState job) {
    List<TaskState> waiting = context.table().waiting(job.spec().name(), 0, MAX_CANDIDATES_PER_JOB);
    List<String> live = membership.liveEntries();
    int own = live.indexOf(context.identity().name());
    boolean others = context.hasPassed(progress.get(job.spec().name()).takeoverAt());
    Deque<TaskState> tasks = new ArrayDeque<>();
    for (TaskState task : waiting) {
      boolean mine = Math.floorMod(task.name().hashCode(), live.size()) == own;
      if ((mine || others) && !pendingClaims.containsKey(task.name())) {
        tasks.add(task);
      }
    }
    return new Candidates(tasks, tasksByGroup(job.spec()));
  }

  private Map<String, Integer> tasksByGroup(JobSpec spec) {
    Map<String, Integer> counts = new HashMap<>();
    if (spec.spread() == Spread.NONE) {
      return counts;
    }
    Map<Long, VmState> vms = new HashMap<>();
    context.table().vms().forEach(vm -> vms.put(vm.registration(), vm));
    for (TaskState task : context.table().tasksOf(spec.name())) {
      VmState vm = vms.get(task.registration());
      if (vm != null) {
        counts.merge(spec.spread().groupOf(vm.description()), 1, Integer::sum);
      }
    }
    return counts;
  }

  private void updateProgress(List<JobState> jobs) {
    Set<String> names = new HashSet<>();
    for (JobState job : jobs) {
      String name = job.spec().name();
      names.add(name);
      Progress before = progress.get(name);
      if (before == null || before.waitingTasks() != job.waiting()) {
        long othersFrom = context.deadlineAfterMillis(TAKEOVER_MILLIS);
        progress.put(name, new Progress(job.waiting(), othersFrom));
      }
    }
    progress.keySet().retainAll(names);
    waitingReason.keySet().retainAll(names);
  }
}
