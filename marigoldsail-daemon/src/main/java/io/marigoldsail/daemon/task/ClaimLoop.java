package io.marigoldsail.daemon.task;

import io.marigoldsail.error.Result;
import io.marigoldsail.job.JobSpec;
import io.marigoldsail.job.JobState;
import io.marigoldsail.job.QueueOrder;
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
 * Assigns waiting tasks to VMs on behalf of an entry: takes them in the order of the job queue,
 * chooses a VM and writes the claim.
 *
 * <p>Thousands of tasks may wait when capacity becomes free or the log becomes available again. Pending
 * claims are bounded, so that the round trip to the log limits their rate, and so is the work of a
 * round.
 *
 * <p>Tasks are partitioned among the live entries by a hash of their names. Otherwise all entries would
 * claim the head of the same queue, and all but one append would be wasted. An entry takes over the
 * tasks of others after their job has made no progress for {@value #OTHERS_TASKS_MILLIS} ms.
 *
 * <p>Not thread-safe; runs under the lock of {@link EntryTasks}.
 */
final class ClaimLoop {
  private static final int MAX_ON_THEIR_WAY = 64;
  private static final int MAX_TRIES_A_ROUND = 128;
  private static final int CANDIDATES = 256;

  /**
   * Interval of rounds while the log has not changed. Conditions outside the log, such as which VMs
   * are reachable, may have changed.
   */
  private static final long LOOK_AGAIN_MILLIS = 200;

  private static final long NEVER = Long.MIN_VALUE;
  private static final long OTHERS_TASKS_MILLIS = 3_000;
  private static final long LOG_BACK_OFF_MILLIS = 500;

  private record Pending(VmState vm, String program, Sizes sizes) {}

  private record Progress(long marker, long othersFrom) {}

  /** The waiting tasks of a job in one round, and the number of its tasks in each spread group. */
  private record Candidates(Deque<TaskState> tasks, Map<String, Integer> inGroup) {}

  private final EntryContext context;
  private final VmWatch watch;
  private final StartLoop starts;
  private final Placer placer;
  private final PlacementKnowledge knowledge;
  private final PreemptionLoop preemptions;
  private final Map<String, Pending> onTheirWay = new HashMap<>();
  private final Map<String, Progress> progress = new HashMap<>();
  private final Map<String, String> whyWaiting = new HashMap<>();
  private long pausedUntil;

  /** Position of the log at which the last round found nothing to claim. */
  private long fruitlessAt = NEVER;

  private long lookAgain;

  ClaimLoop(
      EntryContext context,
      VmWatch watch,
      StartLoop starts,
      Placer placer,
      PlacementKnowledge knowledge,
      PreemptionLoop preemptions) {
    this.context = context;
    this.watch = watch;
    this.starts = starts;
    this.placer = placer;
    this.knowledge = knowledge;
    this.preemptions = preemptions;
    this.pausedUntil = context.nanos();
    this.lookAgain = context.nanos();
  }

  void tick() {
    if (!context.passed(pausedUntil) || onTheirWay.size() >= MAX_ON_THEIR_WAY) {
      return;
    }
    long applied = context.table().applied();
    if (applied == fruitlessAt && !context.passed(lookAgain)) {
      return;
    }
    List<JobState> jobs = context.table().waitingJobs();
    noteProgress(jobs);
    int claimsBefore = onTheirWay.size();
    if (!jobs.isEmpty()) {
      decide(jobs);
    }
    fruitlessAt = onTheirWay.size() == claimsBefore ? applied : NEVER;
    lookAgain = context.afterMillis(LOOK_AGAIN_MILLIS);
  }

  private void decide(List<JobState> jobs) {
    Fleet fleet = new Fleet(context.table().vms(), this::usable, context.table()::programsOn);
    fleet.reservePreempted(context.table().preemptions());
    onTheirWay.values().forEach(p -> fleet.allocate(p.vm().registration(), p.program(), p.sizes()));
    knowledge.reserveFor(jobs, fleet);
    placer.beginRound();
    QueueOrder order =
        new QueueOrder(
            jobs,
            context.table().bookedByTeam(),
            team -> context.terms().quota(team),
            fleet.capacity(),
            context.wallMillis());
    round(order, fleet);
  }

  /** Returns the reason for which the job's tasks wait; empty if this entry knows none. */
  String whyWaiting(String job) {
    return whyWaiting.getOrDefault(job, "");
  }

  private boolean usable(VmState vm) {
    return watch.usable(vm.vm()) && knowledge.usable(vm);
  }

  private void round(QueueOrder order, Fleet fleet) {
    Map<String, Candidates> candidates = new HashMap<>();
    Optional<JobState> next = order.next();
    int placements = 0;
    while (next.isPresent() && placements < MAX_TRIES_A_ROUND && onTheirWay.size() < MAX_ON_THEIR_WAY) {
      placements++;
      JobState job = next.get();
      Candidates waiting =
          candidates.computeIfAbsent(job.spec().name(), unused -> candidatesOf(job));
      TaskState task = waiting.tasks().poll();
      if (task != null) {
        Sizes sizes = knowledge.booking(job.spec());
        if (tryClaim(order, fleet, job, task, waiting.inGroup())) {
          order.took(job, sizes, !waiting.tasks().isEmpty());
        }
      }
      next = order.next();
    }
  }

  private boolean tryClaim(
      QueueOrder order, Fleet fleet, JobState job, TaskState task, Map<String, Integer> inGroup) {
    JobSpec spec = job.spec();
    Sizes sizes = knowledge.booking(spec);
    if (!order.withinQuota(spec.team(), sizes)) {
      wait(spec, "team " + spec.team() + " has reached its quota");
      return false;
    }
    PlacementDecision decision =
        placer.place(new PlacementRequest(spec, task, sizes, inGroup), fleet);
    if (decision instanceof PlacementDecision.NoCapacity noCapacity) {
      wait(spec, noCapacity.reason());
      if (spec.urgent()) {
        preemptions.noRoom(spec, task, sizes, fleet);
      }
      return false;
    }
    PlacementDecision.Chosen chosen = (PlacementDecision.Chosen) decision;
    whyWaiting.remove(spec.name());
    VmState vm = chosen.candidate().state();
    fleet.allocate(vm.registration(), spec.program(), sizes);
    if (spec.spread() != Spread.NONE) {
      inGroup.merge(spec.spread().groupOf(vm.description()), 1, Integer::sum);
    }
    claim(spec, task, vm, sizes, chosen.reason());
    return true;
  }

  private void wait(JobSpec spec, String reason) {
    String before = whyWaiting.put(spec.name(), reason);
    if (before == null) {
      context.record(
          Event.of(EventKind.TASK_WAITING)
              .withTask(spec.name())
              .withTeam(spec.team())
              .withDetail(reason));
    }
  }

  private void claim(JobSpec spec, TaskState task, VmState vm, Sizes sizes, String reason) {
    TaskRecord.Claimed claim =
        new TaskRecord.Claimed(
            task.name(),
            task.attempt(),
            vm.vm(),
            vm.registration(),
            sizes,
            context.terms().leases().leaseMillis(spec.taskClass()),
            context.identity().name(),
            context.terms().quota(spec.team()).most());
    onTheirWay.put(task.name(), new Pending(vm, spec.program(), sizes));
    context.record(
        Event.of(EventKind.TASK_PLACED).withTask(task.name()).withVm(vm.vm()).withDetail(reason));
    context.append(claim, result -> claimed(claim, spec, result));
  }

  private void claimed(TaskRecord.Claimed claim, JobSpec spec, Result<Long> result) {
    onTheirWay.remove(claim.task());
    if (!(result instanceof Result.Ok<Long> ok)) {
      // If the claim took effect all the same, the sweep of the start loop starts the task.
      pausedUntil = context.afterMillis(LOG_BACK_OFF_MILLIS);
      return;
    }
    Optional<TaskState> task = context.table().task(claim.task());
    boolean accepted = task.isPresent() && task.get().holds(ok.value());
    EventKind kind = accepted ? EventKind.TASK_CLAIMED : EventKind.TASK_CLAIM_LOST;
    context.record(
        Event.of(kind)
            .withTask(claim.task())
            .withVm(claim.vm())
            .withTeam(spec.team())
            .withDetail("attempt " + claim.attempt() + " token " + ok.value()));
    if (accepted) {
      starts.claimed(task.get(), spec);
    }
  }

  private Candidates candidatesOf(JobState job) {
    List<TaskState> waiting = context.table().waiting(job.spec().name(), 0, CANDIDATES);
    List<String> live = watch.liveEntries();
    int ownIndex = live.indexOf(context.identity().name());
    boolean takeover = context.passed(progress.get(job.spec().name()).othersFrom());
    Deque<TaskState> tasks = new ArrayDeque<>();
    for (TaskState task : waiting) {
      boolean isOwn = Math.floorMod(task.name().hashCode(), live.size()) == ownIndex;
      if ((isOwn || takeover) && !onTheirWay.containsKey(task.name())) {
        tasks.add(task);
      }
    }
    return new Candidates(tasks, inGroup(job.spec()));
  }

  private Map<String, Integer> inGroup(JobSpec spec) {
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

  private void noteProgress(List<JobState> jobs) {
    Set<String> names = new HashSet<>();
    for (JobState job : jobs) {
      String name = job.spec().name();
      names.add(name);
      Progress before = progress.get(name);
      if (before == null || before.marker() != job.waiting()) {
        long othersFrom = context.afterMillis(OTHERS_TASKS_MILLIS);
        progress.put(name, new Progress(job.waiting(), othersFrom));
      }
    }
    progress.keySet().retainAll(names);
    whyWaiting.keySet().retainAll(names);
  }
}
