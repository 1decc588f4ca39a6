package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.EnumMultiset;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Multiset;
import io.marigoldsail.daemon.identity.WorkflowIdCodec;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.daemon.scheduling.PlacementRequirements;
import io.marigoldsail.daemon.scheduling.RetryPlacement;
import io.marigoldsail.workflow.AdviserTiming;
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
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Places the waiting tasks of the partitions that this entry owns.
 *
 * <p>{@link WaitingOrder} decides which task is next, {@link VmChooser} and {@link GangChooser}
 * decide where it runs. Confined to the loop's thread.
 */
final class EntryScheduler {
  private static final EventLog LOG = EventLog.of(EntryScheduler.class);

  /**
   * Delay between a report of capacity and the scheduling pass that it causes, in nanoseconds.
   * Reports of many VMs arrive together, and one pass serves all of them.
   */
  private static final long CAPACITY_PASS_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  /**
   * Number of waiting tasks above which a pass looks at one task of each further step only: all of
   * them get their turn, and the memory of a pass is bounded.
   */
  private static final int MAX_DETAILED = 20_000;

  private final LinkLoop loop;
  private final LongSupplier wallMillis;
  private final PartitionOwnership ownership;
  private final VmTracker vms;
  private final VmChooser chooser;
  private final GangChooser gangChooser;
  private final PlacementAdviceClient adviceClient;
  private final Supplier<Optional<QueueTable>> configuration;
  private final EarliestTimer backoffTimer;
  private final RunMover mover;
  private final ItemGuard guard = new ItemGuard(LOG, "workflow-not-scheduled");
  private boolean passScheduled;
  private boolean capacityPassScheduled;

  /** Whether the last pass left a ready task without a VM, or there was none yet. */
  private boolean tasksWait = true;

  /** Whether the last pass left out ready tasks that are like others which it looked at. */
  private boolean tasksOmitted;

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
    this.backoffTimer = new EarliestTimer(loop, this::schedulePass);
    this.mover =
        new RunMover(
            vms, (task, offers) -> chooseAmong(task, Urgency.ORDINARY, representing(task, offers)));
  }

  /** Schedules a pass over the waiting tasks after the current task of the loop. */
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

  /**
   * Schedules a delayed pass because the capacity of a VM may have changed; does nothing while no
   * task waits. A task that becomes ready schedules a pass itself.
   */
  void capacityChanged() {
    if (tasksWait && !capacityPassScheduled && !passScheduled) {
      capacityPassScheduled = true;
      loop.schedule(
          () -> {
            capacityPassScheduled = false;
            schedulePass();
          },
          CAPACITY_PASS_DELAY_NANOS);
    }
  }

  /** Sets the backoff of the task of an ended run and schedules a pass. */
  void runEnded(WorkflowTask task, RunOutcome outcome) {
    OptionalLong backoff = StartBackoff.of(task, outcome);
    backoff.ifPresent(nanos -> task.deferUntil(loop.now() + nanos));
    if (outcome == RunOutcome.REJECTED) {
      LOG.warning(
          LogLine.of("start-rejected")
              .with("task", task.key())
              .with("attempt", task.lastAttempt())
              .with("epoch", epochOf(task))
              .with("rejections", task.rejections())
              .with("retry_ms", TimeUnit.NANOSECONDS.toMillis(backoff.orElse(0))));
    }
    if (outcome == RunOutcome.REFUSED) {
      // The capacity known here is outdated.
      vms.recordUnplaced();
    }
    schedulePass();
  }

  private String epochOf(WorkflowTask task) {
    return ownership
        .active(ownership.partitionOf(task.key().workflow()))
        .map(partition -> String.valueOf(partition.epoch()))
        .orElse("none");
  }

  /** A waiting task, or a waiting gang represented by its first member. */
  private record WaitingTask(OwnedPartition partition, WorkflowTask task, Urgency urgency) {
    List<WorkflowTask> members() {
      return task.step().traits().gang() ? task.workflow().gangMembers(task) : List.of(task);
    }

    WaitingTask withoutStarvation() {
      boolean starved = urgency == Urgency.STARVED;
      return starved ? new WaitingTask(partition, task, Urgency.ORDINARY) : this;
    }
  }

  private void runPass() {
    Optional<QueueTable> queues = configuration.get();
    if (queues.isEmpty()) {
      return;
    }
    tasksWait = false;
    tasksOmitted = false;
    List<WaitingTask> waiting = waitingTasks(queues.get());
    if (waiting.isEmpty()) {
      return;
    }
    boolean allPlaced = placeAll(waiting);
    if (allPlaced && tasksOmitted) {
      schedulePass();
    }
    tasksWait = !allPlaced || tasksWait;
  }

  /** Orders the tasks that can be placed; returns whether all of them could. */
  private boolean placeAll(List<WaitingTask> waiting) {
    Placement placement = new Placement();
    for (WaitingTask candidate : waiting) {
      guard.run(candidate.task().key()::toString, () -> placement.place(candidate));
    }
    return placement.allPlaced;
  }

  /** The placement of the waiting tasks of one pass. */
  private final class Placement {
    private final Map<String, VmOffer> offersByVm = new HashMap<>();

    /** Free capacity only shrinks during a pass: a task that does not fit now never will. */
    private final Set<PlacementRequirements> unplaceable = new HashSet<>();

    private final Set<Workflow> served = new HashSet<>();
    private final boolean hasSpareCapacity;
    private boolean allPlaced = true;

    Placement() {
      vms.offers().forEach(offer -> offersByVm.put(offer.place().vm(), offer));
      hasSpareCapacity = VmOffer.hasSpareCapacity(offersByVm.values());
    }

    void place(WaitingTask candidate) {
      WorkflowTask task = candidate.task();
      // A workflow with one running task no longer starves.
      boolean mayStarve = hasSpareCapacity && !served.contains(task.workflow());
      WaitingTask each = mayStarve ? candidate : candidate.withoutStarvation();
      PlacementRequirements requirements = PlacementRequirements.of(task, each.urgency());
      if (unplaceable.contains(requirements)) {
        allPlaced = false;
        return;
      }
      List<VmOffer> chosen = chooseWithAdvice(each, offersByVm.values());
      if (chosen.isEmpty()) {
        if (!needsAdvice(task)) {
          unplaceable.add(requirements);
        }
        vms.recordUnplaced();
        allPlaced = false;
        return;
      }
      chosen.forEach(
          offer ->
              offersByVm.computeIfPresent(
                  offer.place().vm(), (vm, left) -> vms.view().offerAfter(left, task)));
      order(each, chosen.stream().map(VmOffer::place).toList());
      served.add(task.workflow());
    }
  }

  private static boolean needsAdvice(WorkflowTask task) {
    return task.workflow().advice().isPresent();
  }

  /**
   * Returns a VM for each member, or none. If the queue requires placement advice, only VMs that
   * the adviser allowed are used, and further VMs are requested when these have no capacity left.
   */
  private List<VmOffer> chooseWithAdvice(WaitingTask waiting, Collection<VmOffer> offers) {
    WorkflowTask task = waiting.task();
    Optional<AdviserTiming> advice = task.workflow().advice();
    if (advice.isEmpty()) {
      return choose(waiting, offers);
    }
    List<VmOffer> chosen = choose(waiting, adviceClient.allowed(task, offers));
    if (chosen.isEmpty()) {
      adviceClient.request(
          task,
          advice.get(),
          chooser.rankedOffers(
              placementRequest(task, waiting.urgency(), ""),
              representing(task, offers),
              offers.size()));
    }
    return chosen;
  }

  /** Returns a VM for each member, or none. */
  private List<VmOffer> choose(WaitingTask waiting, Collection<VmOffer> allOffers) {
    Collection<VmOffer> offers = withoutRefusals(waiting, representing(waiting.task(), allOffers));
    return RetryPlacement.choose(waiting.members(), offers, each -> chooseAmong(waiting, each));
  }

  /** Returns the VMs whose side processes can represent the id of the workflow. */
  private Collection<VmOffer> representing(WorkflowTask task, Collection<VmOffer> offers) {
    return WorkflowIdCodec.hasNumber(task.key().workflow())
        ? offers
        : offers.stream().filter(offer -> vms.view().readsTextIds(offer.place().vm())).toList();
  }

  /** Returns the VMs that have not refused the task's image; all for a workflow that starves. */
  private Collection<VmOffer> withoutRefusals(WaitingTask waiting, Collection<VmOffer> offers) {
    StepSpec.TaskTraits traits = waiting.task().step().traits();
    if (!traits.bestEffort() || waiting.urgency() == Urgency.STARVED) {
      return offers;
    }
    return offers.stream()
        .filter(offer -> !vms.view().hasRefused(offer.place().vm(), traits.image()))
        .toList();
  }

  private List<VmOffer> chooseAmong(WaitingTask waiting, Collection<VmOffer> offers) {
    WorkflowTask task = waiting.task();
    if (task.step().traits().gang()) {
      TaskPlacementRequest request = placementRequest(task, waiting.urgency(), "");
      Optional<ImmutableList<VmOffer>> all =
          gangChooser.choose(request, waiting.members().size(), offers);
      return all.orElse(ImmutableList.of());
    }
    return chooseAmong(task, waiting.urgency(), offers).stream().toList();
  }

  private Optional<VmOffer> chooseAmong(
      WorkflowTask task, Urgency urgency, Collection<VmOffer> offers) {
    String rack = task.step().placement().sameRack() ? vms.view().rackOfStep(task) : "";
    return chooser.choose(
        placementRequest(task, urgency, rack),
        offers,
        offer -> vms.view().openRunsOfStep(offer.place().vm(), task));
  }

  private TaskPlacementRequest placementRequest(
      WorkflowTask task, Urgency urgency, String siblingRack) {
    double interference = vms.interferenceOf(task.step().traits().image());
    return new TaskPlacementRequest(
        task.workflow().service(), task.step(), interference, urgency, siblingRack);
  }

  /** Returns the tasks to place now; notes in {@link #tasksWait} whether others have to wait. */
  private List<WaitingTask> waitingTasks(QueueTable queues) {
    long now = loop.now();
    long wallNow = wallMillis.getAsLong();
    List<Candidate> candidates = new ArrayList<>();
    for (OwnedPartition partition : ownership.active()) {
      for (Workflow workflow : partition.workflows()) {
        if (!workflow.status().isTerminal()) {
          guard.run(
              () -> workflow.spec().id().toString(),
              () -> {
                follow(partition, workflow, queues);
                candidates.add(
                    new Candidate(partition, workflow, WaitingOrder.rank(workflow, wallNow)));
              });
        }
      }
    }
    candidates.sort(Comparator.comparing(Candidate::rank));
    List<WaitingTask> waiting = new ArrayList<>();
    for (Candidate candidate : candidates) {
      guard.run(
          () -> candidate.workflow().spec().id().toString(),
          () -> addReadyTasks(candidate, wallNow, now, waiting));
    }
    return waiting;
  }

  private record Candidate(OwnedPartition partition, Workflow workflow, WaitingOrder.Rank rank) {}

  private void addReadyTasks(
      Candidate candidate, long wallNow, long now, List<WaitingTask> waiting) {
    int maxNew = waiting.size() < MAX_DETAILED ? Workflow.MAX_NEW_READY : 1;
    boolean omitted =
        candidate
            .workflow()
            .forEachReady(
                wallNow,
                maxNew,
                task -> {
                  WaitingTask each =
                      new WaitingTask(candidate.partition(), task, candidate.rank().urgency());
                  if (isFirstOfGang(task) && isDue(each, now)) {
                    waiting.add(each);
                  } else {
                    tasksWait = true;
                  }
                  if (task.notBefore() > now) {
                    backoffTimer.request(task.notBefore());
                  }
                });
    tasksOmitted |= omitted;
  }

  /** Lets the workflow's further attempts start where its queue sends tasks now. */
  private static void follow(OwnedPartition partition, Workflow workflow, QueueTable queues) {
    String before = workflow.service();
    if (workflow.follow(queues)) {
      LOG.info(
          LogLine.of("workflow-rerouted")
              .with("workflow", workflow.spec().id())
              .with("queue", workflow.spec().queue())
              .with("from", before)
              .with("to", workflow.service())
              .with("configuration", queues.version())
              .with("epoch", partition.epoch())
              .with("open_runs", workflow.openTasks().size()));
    }
  }

  /**
   * Returns why a ready task has not been ordered, as if no other task waited.
   *
   * @param offers the VMs that may be given work now
   */
  WaitCause waitCause(OwnedPartition partition, WorkflowTask task, Collection<VmOffer> offers) {
    if (configuration.get().isEmpty()) {
      return WaitCause.NO_CONFIGURATION;
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
    if (representing(task, offers).isEmpty()) {
      return WaitCause.ID_NOT_REPRESENTED;
    }
    if (choose(waiting, offers).isEmpty()) {
      return WaitCause.NO_VM_ADMITS;
    }
    boolean withoutAdvice =
        needsAdvice(task) && choose(waiting, adviceClient.allowed(task, offers)).isEmpty();
    return withoutAdvice ? WaitCause.NOT_ADVISED : WaitCause.ADMITTED;
  }

  /** Returns how many of the offers give which verdict on a ready task, as a text for logs. */
  String verdictCounts(WorkflowTask task, Collection<VmOffer> offers) {
    Urgency urgency = WaitingOrder.rank(task.workflow(), wallMillis.getAsLong()).urgency();
    Multiset<VmChooser.Verdict> verdicts = EnumMultiset.create(VmChooser.Verdict.class);
    for (VmOffer offer : offers) {
      verdicts.add(
          VmChooser.verdict(
              placementRequest(task, urgency, ""),
              offer,
              each -> vms.view().openRunsOfStep(each.place().vm(), task)));
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
    return OpenRun.create(waiting.partition(), task, loop.now(), starved, ticket);
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

  /** Moves runs to better VMs, see {@link RunMover}; runs whose restart would cost much stay. */
  void moveRuns() {
    mover.moveRuns();
  }
}
