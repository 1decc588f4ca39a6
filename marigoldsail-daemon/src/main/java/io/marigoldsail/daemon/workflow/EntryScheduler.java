package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.EnumMultiset;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Multiset;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.workflow.GangChooser;
import io.marigoldsail.workflow.Place;
import io.marigoldsail.workflow.QueueTable;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.StepSpec;
import io.marigoldsail.workflow.TaskPlacementRequest;
import io.marigoldsail.workflow.Urgency;
import io.marigoldsail.workflow.VmChooser;
import io.marigoldsail.workflow.VmOffer;
import io.marigoldsail.workflow.WaitingOrder;
import io.marigoldsail.workflow.Workflow;
import io.marigoldsail.workflow.WorkflowTask;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Offers room to waiting tasks of the partitions that this entry owns, in {@link WaitingOrder},
 * where {@link VmChooser} says.
 *
 * <p>Confined to the loop's thread.
 */
final class EntryScheduler {
  private static final EventLog LOG = EventLog.of(EntryScheduler.class);

  /** What a refused task waits before its next attempt, times the refusals in a row. */
  private static final long REFUSED_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(25);

  /**
   * The same for a gang: each refusal costs all other members a start and a stop, and the report
   * that tells how much room there really is comes within this time.
   */
  private static final long GANG_REFUSED_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** What a lasting task that failed waits, times its failures in a row. */
  private static final long FAILED_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /**
   * Between a report and the look at waiting tasks that its room is worth, in nanoseconds: reports
   * of many VMs come close together, and one look serves all of them.
   */
  private static final long CAPACITY_PASS_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  private static final int MAX_BACKOFF_FACTOR = 20;

  /**
   * The longest that a refused task or gang waits. Guards against one that stands still for seconds
   * after room has come: nobody looks at it before, whatever reports tell.
   */
  private static final long MAX_REFUSED_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  /** Where tasks that fill may work at this share of their speed at most, they are moved away. */
  private static final int THROTTLED_PERCENT = 25;

  /** Work that is not saved may be given up while it is at most this far, in percent. */
  private static final int CHEAP_RESTART_PERCENT = 25;

  private final LinkLoop loop;
  private final LongSupplier wallMillis;
  private final PartitionOwnership ownership;
  private final VmTracker vms;
  private final VmChooser chooser;
  private final GangChooser gangChooser;
  private final PlacementAdviceClient adviceClient;
  private final Supplier<Optional<QueueTable>> configuration;
  private boolean passScheduled;
  private boolean capacityPassScheduled;

  EntryScheduler(
      LinkLoop loop,
      LongSupplier wallMillis,
      PartitionOwnership ownership,
      VmTracker vms,
      VmChooser chooser,
      PlacementAdviser adviser,
      Supplier<Optional<QueueTable>> configuration) {
    this.loop = requireNonNull(loop, "loop");
    this.wallMillis = requireNonNull(wallMillis, "wallMillis");
    this.ownership = requireNonNull(ownership, "ownership");
    this.vms = requireNonNull(vms, "vms");
    this.chooser = requireNonNull(chooser, "chooser");
    this.gangChooser = GangChooser.of(chooser);
    this.adviceClient = new PlacementAdviceClient(loop, adviser, this::schedulePass);
    this.configuration = requireNonNull(configuration, "configuration");
  }

  /** Has waiting tasks looked at after what runs now. */
  void schedulePass() {
    if (!passScheduled) {
      passScheduled = true;
      loop.runLater(
          () -> {
            passScheduled = false;
            runPass();
          });
    }
  }

  /** Has waiting tasks looked at, since a VM may have other room. */
  void capacityChanged() {
    if (!capacityPassScheduled && !passScheduled) {
      capacityPassScheduled = true;
      loop.schedule(
          () -> {
            capacityPassScheduled = false;
            schedulePass();
          },
          CAPACITY_PASS_DELAY_NANOS);
    }
  }

  /** Sets how long the task of an ended run waits. */
  void runEnded(WorkflowTask task, RunOutcome outcome) {
    if (outcome == RunOutcome.REFUSED) {
      int factor = Math.min(task.refusals(), MAX_BACKOFF_FACTOR);
      boolean gang = task.step().traits().gang();
      long once = gang ? GANG_REFUSED_BACKOFF_NANOS : REFUSED_BACKOFF_NANOS;
      task.deferUntil(loop.now() + Math.min(factor * once, MAX_REFUSED_BACKOFF_NANOS));
    } else if (outcome == RunOutcome.FAILED && task.step().traits().longRunning()) {
      task.deferUntil(loop.now() + FAILED_BACKOFF_NANOS);
    }
    schedulePass();
  }

  /** A task, or a gang by its first member. */
  private record WaitingTask(OwnedPartition partition, WorkflowTask task, Urgency urgency) {
    List<WorkflowTask> members() {
      return task.step().traits().gang() ? task.workflow().gangMembers(task) : List.of(task);
    }

    WaitingTask withoutStarvation() {
      boolean starved = urgency == Urgency.STARVED;
      return starved ? new WaitingTask(partition, task, Urgency.ORDINARY) : this;
    }
  }

  /**
   * All that decides whether a task finds room: where equal needs found none, this finds none.
   *
   * <p>Guards against tasks that are never ordered though there is room: equal steps are found in
   * workflows of several services, and one whose service is full would speak for them all.
   *
   * @param countedStep the step, where VMs take so many tasks of each only
   */
  private record Requirements(
      String service, StepSpec step, Urgency urgency, Optional<StepKey> countedStep) {
    static Requirements of(WaitingTask waiting) {
      WorkflowTask task = waiting.task();
      boolean counts = task.step().placement().maxPerVm() > 0;
      return new Requirements(
          task.workflow().spec().policy().service(),
          task.step(),
          waiting.urgency(),
          counts ? Optional.of(StepKey.of(task.key())) : Optional.empty());
    }
  }

  private void runPass() {
    Optional<QueueTable> queues = configuration.get();
    if (queues.isEmpty()) {
      return;
    }
    List<WaitingTask> waiting = waitingTasks(queues.get());
    if (waiting.isEmpty()) {
      return;
    }
    Map<String, VmOffer> offers = new HashMap<>();
    vms.offers().forEach(offer -> offers.put(offer.place().vm(), offer));
    // Rooms only fill up in one pass.
    Set<Requirements> full = new HashSet<>();
    Set<Workflow> fed = new HashSet<>();
    boolean roomy = VmOffer.hasSpareCapacity(offers.values());
    for (WaitingTask candidate : waiting) {
      WorkflowTask task = candidate.task();
      // One task at work is enough for a workflow not to starve.
      boolean mayStarve = roomy && !fed.contains(task.workflow());
      WaitingTask each = mayStarve ? candidate : candidate.withoutStarvation();
      Requirements need = Requirements.of(each);
      if (full.contains(need)) {
        continue;
      }
      List<VmOffer> chosen = chooseWithAdvice(each, offers.values());
      if (chosen.isEmpty()) {
        if (!needsAdvice(task)) {
          full.add(need);
        }
        continue;
      }
      chosen.forEach(
          offer -> offers.computeIfPresent(offer.place().vm(), (vm, now) -> offerAfter(now, task)));
      order(each, chosen.stream().map(VmOffer::place).toList());
      fed.add(task.workflow());
    }
  }

  private VmOffer offerAfter(VmOffer offer, WorkflowTask task) {
    return offer.afterPlacing(task.step(), vms.interferenceOf(task.step().traits().image()));
  }

  private static boolean needsAdvice(WorkflowTask task) {
    return task.workflow().spec().policy().advice().isPresent();
  }

  /**
   * Asks the adviser where a queue's policy wants that, about more VMs when the allowed are full.
   */
  private List<VmOffer> chooseWithAdvice(WaitingTask waiting, Collection<VmOffer> offers) {
    WorkflowTask task = waiting.task();
    if (!needsAdvice(task)) {
      return choose(waiting, offers);
    }
    List<VmOffer> chosen = choose(waiting, adviceClient.allowed(task, offers));
    if (chosen.isEmpty()) {
      adviceClient.request(
          task,
          chooser.rankedOffers(
              placementRequest(task, waiting.urgency(), ""), offers, offers.size()));
    }
    return chosen;
  }

  /**
   * Returns a VM for each member, or none. A task that failed on a VM goes elsewhere as long as it
   * can: the VM may be what fails.
   */
  private List<VmOffer> choose(WaitingTask waiting, Collection<VmOffer> offers) {
    List<WorkflowTask> members = waiting.members();
    List<VmOffer> others =
        offers.stream()
            .filter(offer -> members.stream().noneMatch(each -> hasFailedOn(each, offer)))
            .toList();
    List<VmOffer> elsewhere = chooseAmong(waiting, others);
    if (others.size() == offers.size()) {
      return elsewhere;
    }
    List<VmOffer> anywhere = chooseAmong(waiting, offers);
    if (members.size() > 1) {
      return elsewhere.isEmpty() ? anywhere : elsewhere;
    }
    StepSpec step = waiting.task().step();
    boolean leave =
        VmChooser.prefersOtherVm(
            step, elsewhere.stream().findFirst(), anywhere.stream().findFirst());
    return leave ? elsewhere : anywhere;
  }

  private static boolean hasFailedOn(WorkflowTask task, VmOffer offer) {
    return task.hasFailedOn(offer.place().vm());
  }

  private List<VmOffer> chooseAmong(WaitingTask waiting, Collection<VmOffer> offers) {
    WorkflowTask task = waiting.task();
    if (task.step().traits().gang()) {
      TaskPlacementRequest wish = placementRequest(task, waiting.urgency(), "");
      Optional<ImmutableList<VmOffer>> all =
          gangChooser.choose(wish, waiting.members().size(), offers);
      return all.orElse(ImmutableList.of());
    }
    return chooseAmong(task, waiting.urgency(), offers).stream().toList();
  }

  private Optional<VmOffer> chooseAmong(
      WorkflowTask task, Urgency urgency, Collection<VmOffer> offers) {
    String rack = task.step().placement().sameRack() ? vms.rackOfStep(task) : "";
    return chooser.choose(
        placementRequest(task, urgency, rack),
        offers,
        offer -> vms.openRunsOfStep(offer.place().vm(), task));
  }

  private TaskPlacementRequest placementRequest(
      WorkflowTask task, Urgency urgency, String siblingRack) {
    double harm = vms.interferenceOf(task.step().traits().image());
    return new TaskPlacementRequest(
        task.workflow().spec(), task.step(), harm, urgency, siblingRack);
  }

  private List<WaitingTask> waitingTasks(QueueTable queues) {
    long now = loop.now();
    long wall = wallMillis.getAsLong();
    record Candidate(OwnedPartition partition, Workflow workflow, WaitingOrder.Rank rank) {}
    List<Candidate> candidates = new ArrayList<>();
    for (OwnedPartition partition : ownership.active()) {
      for (Workflow workflow : partition.workflows()) {
        if (!workflow.status().isTerminal()
            && queues.usesService(workflow.spec().policy().service())) {
          candidates.add(new Candidate(partition, workflow, WaitingOrder.rank(workflow, wall)));
        }
      }
    }
    candidates.sort(Comparator.comparing(Candidate::rank));
    List<WaitingTask> waiting = new ArrayList<>();
    for (Candidate candidate : candidates) {
      candidate
          .workflow()
          .forEachReady(
              wall,
              task -> {
                WaitingTask each =
                    new WaitingTask(candidate.partition(), task, candidate.rank().urgency());
                if (isFirstOfGang(task) && isDue(each, now)) {
                  waiting.add(each);
                }
              });
    }
    return waiting;
  }

  /**
   * Returns why a ready task has no order out, as if nothing else waited.
   *
   * @param offers the VMs that may be given work now
   */
  WaitCause waitCause(OwnedPartition partition, WorkflowTask task, Collection<VmOffer> offers) {
    Optional<QueueTable> queues = configuration.get();
    if (queues.isEmpty()) {
      return WaitCause.NO_CONFIGURATION;
    }
    if (!queues.get().usesService(task.workflow().spec().policy().service())) {
      return WaitCause.SERVICE_UNUSED;
    }
    Urgency urgency = WaitingOrder.rank(task.workflow(), wallMillis.getAsLong()).urgency();
    WaitingTask ranked = new WaitingTask(partition, task, urgency);
    WaitingTask waiting = VmOffer.hasSpareCapacity(offers) ? ranked : ranked.withoutStarvation();
    if (!isDue(waiting, loop.now())) {
      return WaitCause.BACKING_OFF;
    }
    if (offers.isEmpty()) {
      return WaitCause.NO_VM_OFFERED;
    }
    if (choose(waiting, offers).isEmpty()) {
      return WaitCause.NO_VM_ADMITS;
    }
    boolean unadvised =
        needsAdvice(task) && choose(waiting, adviceClient.allowed(task, offers)).isEmpty();
    return unadvised ? WaitCause.NOT_ADVISED : WaitCause.ADMITTED;
  }

  /** Returns what the VMs offered say to a ready task, such as {@code 6 without room}. */
  String verdictCounts(WorkflowTask task, Collection<VmOffer> offers) {
    Urgency urgency = WaitingOrder.rank(task.workflow(), wallMillis.getAsLong()).urgency();
    Multiset<VmChooser.Verdict> verdicts = EnumMultiset.create(VmChooser.Verdict.class);
    for (VmOffer offer : offers) {
      verdicts.add(
          VmChooser.verdict(
              placementRequest(task, urgency, ""),
              offer,
              each -> vms.openRunsOfStep(each.place().vm(), task)));
    }
    return CountFormat.format(verdicts);
  }

  private static boolean isFirstOfGang(WorkflowTask task) {
    return !task.step().traits().gang() || task.key().index() == 0;
  }

  private static boolean isDue(WaitingTask waiting, long now) {
    return waiting.members().stream().allMatch(task -> task.notBefore() <= now);
  }

  private void order(WaitingTask waiting, List<Place> places) {
    WorkflowTask first = waiting.task();
    Workflow workflow = first.workflow();
    if (first.step().traits().gang()) {
      workflow.startGangAttempt(first, places);
    } else {
      workflow.startAttempt(first, places.get(0));
    }
    waiting.members().forEach(task -> logOrdered(waiting, task));
    vms.addOrdered(
        waiting.partition(),
        waiting.members().stream().map(task -> newRun(waiting, task)).toList());
  }

  private OpenRun newRun(WaitingTask waiting, WorkflowTask task) {
    String worker = task.place().orElseThrow().worker();
    String ticket = needsAdvice(task) ? adviceClient.ticket(task, worker) : "";
    boolean starved = waiting.urgency() == Urgency.STARVED;
    return OpenRun.decided(waiting.partition(), task, loop.now(), starved, ticket);
  }

  private void logOrdered(WaitingTask waiting, WorkflowTask task) {
    Workflow workflow = task.workflow();
    Place place = task.place().orElseThrow();
    LOG.info(
        LogLine.of("run-ordered")
            .with("run", task.openRun())
            .with("vm", place.vm())
            .with("worker", place.worker())
            .with("queue", workflow.spec().queue())
            .with("epoch", waiting.partition().epoch())
            .with("urgency", waiting.urgency())
            .with("waited_ms", wallMillis.getAsLong() - workflow.spec().acceptedMillis()));
  }

  /** Moves what can be moved off VMs whose workers leave, or where it is slowed down. */
  void evacuateRuns() {
    for (OpenRun run : vms.runsOnDrainingVms()) {
      boolean movable =
          run.task().step().traits().longRunning() || run.task().step().traits().checkpointable();
      if (movable) {
        move(run, "its worker leaves");
      }
    }
    for (OpenRun run : vms.excessRuns()) {
      if (isCheapToMove(run.task())) {
        move(run, "too many that may disturb stand beside services");
      }
    }
    moveThrottled(vms.runsThrottledTo(THROTTLED_PERCENT));
  }

  private void moveThrottled(List<OpenRun> slowed) {
    if (slowed.isEmpty()) {
      return;
    }
    List<VmOffer> free = new ArrayList<>();
    vms.offers().stream().filter(offer -> offer.serviceTasks() == 0).forEach(free::add);
    for (OpenRun run : slowed) {
      WorkflowTask task = run.task();
      Optional<VmOffer> better =
          isCheapToStop(task) ? chooseAmong(task, Urgency.ORDINARY, free) : Optional.empty();
      if (better.isPresent() && move(run, "it is slowed down beside tasks that serve")) {
        free.remove(better.get());
        free.add(offerAfter(better.get(), task));
      }
    }
  }

  /** The last run of a workflow stays, or nothing of it would be at work. */
  private static boolean isCheapToMove(WorkflowTask task) {
    return task.workflow().openTasks().size() > 1 && isCheapToStop(task);
  }

  private static boolean isCheapToStop(WorkflowTask task) {
    return task.step().traits().checkpointable() || task.percent() <= CHEAP_RESTART_PERCENT;
  }

  private boolean move(OpenRun run, String reason) {
    WorkflowTask task = run.task();
    if (!run.isDurable() || !task.isStarted() || run.shouldStop()) {
      return false;
    }
    task.requestStop();
    LOG.info(LogLine.of("run-moved").with("run", task.openRun()).with("reason", reason));
    vms.stopUnwanted(task.workflow());
    return true;
  }
}
