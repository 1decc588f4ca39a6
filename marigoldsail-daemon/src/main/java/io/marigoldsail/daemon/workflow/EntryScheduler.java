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
import io.marigoldsail.workflow.PlacementWish;
import io.marigoldsail.workflow.QueueTable;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.StepSpec;
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
 * Places the waiting tasks of the partitions that this entry owns.
 *
 * <p>{@link WaitingOrder} decides which task is next, {@link VmChooser} and {@link GangChooser}
 * decide where it runs. Confined to the loop's thread.
 */
final class EntryScheduler {
  private static final EventLog LOG = EventLog.of(EntryScheduler.class);

  /** Backoff of a refused task, multiplied by its consecutive refusals. */
  private static final long REFUSED_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(25);

  /**
   * Backoff of a refused gang, multiplied by its consecutive refusals. Longer than that of a single
   * task because each refusal costs all other members a start and a stop. A report with the VM's
   * actual capacity arrives within this time.
   */
  private static final long GANG_REFUSED_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** Backoff of a failed long-running task. */
  private static final long FAILED_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /**
   * Delay between a report of capacity and the scheduling pass that it causes, in nanoseconds.
   * Reports of many VMs arrive together, and one pass serves all of them.
   */
  private static final long ROOM_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  private static final int MAX_WAIT_FACTOR = 20;

  /**
   * Longest backoff of a refused task or gang, in nanoseconds. Reports of free capacity do not end a
   * backoff early, so a longer one would leave the task idle for seconds beside free capacity.
   */
  private static final long MAX_REFUSED_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  /** Best-effort runs throttled to this share of their speed or less are moved, in percent. */
  private static final int SLOWED_PERCENT = 25;

  /** A run without checkpoints may be restarted up to this progress, in percent. */
  private static final int CHEAP_PERCENT = 25;

  private final LinkLoop loop;
  private final LongSupplier wallMillis;
  private final Ownership ownership;
  private final EntryVms vms;
  private final VmChooser chooser;
  private final GangChooser gangs;
  private final AdviceDesk advice;
  private final Supplier<Optional<QueueTable>> configuration;
  private boolean scheduled;
  private boolean roomScheduled;

  EntryScheduler(
      LinkLoop loop,
      LongSupplier wallMillis,
      Ownership ownership,
      EntryVms vms,
      VmChooser chooser,
      PlacementAdviser adviser,
      Supplier<Optional<QueueTable>> configuration) {
    this.loop = requireNonNull(loop, "loop");
    this.wallMillis = requireNonNull(wallMillis, "wallMillis");
    this.ownership = requireNonNull(ownership, "ownership");
    this.vms = requireNonNull(vms, "vms");
    this.chooser = requireNonNull(chooser, "chooser");
    this.gangs = GangChooser.of(chooser);
    this.advice = new AdviceDesk(loop, adviser, this::soon);
    this.configuration = requireNonNull(configuration, "configuration");
  }

  /** Schedules a scheduling pass to run after the current task of the loop. */
  void soon() {
    if (!scheduled) {
      scheduled = true;
      loop.runLater(
          () -> {
            scheduled = false;
            run();
          });
    }
  }

  /** Schedules a delayed scheduling pass because the capacity of a VM may have changed. */
  void roomChanged() {
    if (!roomScheduled && !scheduled) {
      roomScheduled = true;
      loop.schedule(
          () -> {
            roomScheduled = false;
            soon();
          },
          ROOM_WAIT_NANOS);
    }
  }

  /** Sets the backoff of the task of an ended run and schedules a pass. */
  void ended(WorkflowTask task, RunOutcome outcome) {
    if (outcome == RunOutcome.REFUSED) {
      int factor = Math.min(task.refusals(), MAX_WAIT_FACTOR);
      boolean gang = task.step().nature().gang();
      long base = gang ? GANG_REFUSED_WAIT_NANOS : REFUSED_WAIT_NANOS;
      task.waitUntil(loop.now() + Math.min(factor * base, MAX_REFUSED_WAIT_NANOS));
    } else if (outcome == RunOutcome.FAILED && task.step().nature().lasting()) {
      task.waitUntil(loop.now() + FAILED_WAIT_NANOS);
    }
    soon();
  }

  /** A waiting task, or a waiting gang represented by its first member. */
  private record Waiting(OwnedPartition partition, WorkflowTask task, Urgency urgency) {
    List<WorkflowTask> members() {
      return task.step().nature().gang() ? task.workflow().gangOf(task) : List.of(task);
    }

    Waiting calmed() {
      boolean starved = urgency == Urgency.STARVED;
      return starved ? new Waiting(partition, task, Urgency.ORDINARY) : this;
    }
  }

  /**
   * Everything that decides whether a task can be placed: after one task could not be placed, tasks
   * with equal requirements are skipped in the same pass.
   *
   * <p>Includes the service because workflows of several services may have equal steps: without it,
   * a full service would keep tasks of the others from being placed although there is capacity.
   *
   * @param counted the step, present only if the number of its tasks per VM is limited
   */
  private record Need(String service, StepSpec step, Urgency urgency, Optional<StepKey> counted) {
    static Need of(Waiting waiting) {
      WorkflowTask task = waiting.task();
      boolean counts = task.step().placement().maxPerVm() > 0;
      return new Need(
          task.workflow().spec().terms().service(),
          task.step(),
          waiting.urgency(),
          counts ? Optional.of(StepKey.of(task.key())) : Optional.empty());
    }
  }

  private void run() {
    Optional<QueueTable> queues = configuration.get();
    if (queues.isEmpty()) {
      return;
    }
    List<Waiting> waiting = waiting(queues.get());
    if (waiting.isEmpty()) {
      return;
    }
    Map<String, VmOffer> offersByVm = new HashMap<>();
    vms.offers().forEach(offer -> offersByVm.put(offer.place().vm(), offer));
    // Free capacity only shrinks during a pass, so a failed placement fails for its whole rest.
    Set<Need> unplaceable = new HashSet<>();
    Set<Workflow> served = new HashSet<>();
    boolean hasSpareCapacity = VmOffer.isRoomy(offersByVm.values());
    for (Waiting candidate : waiting) {
      WorkflowTask task = candidate.task();
      // A workflow with one running task no longer starves.
      boolean mayStarve = hasSpareCapacity && !served.contains(task.workflow());
      Waiting each = mayStarve ? candidate : candidate.calmed();
      Need need = Need.of(each);
      if (unplaceable.contains(need)) {
        continue;
      }
      List<VmOffer> chosen = chooseAdvised(each, offersByVm.values());
      if (chosen.isEmpty()) {
        if (!isAdvised(task)) {
          unplaceable.add(need);
        }
        continue;
      }
      chosen.forEach(
          offer -> offersByVm.computeIfPresent(offer.place().vm(), (vm, left) -> after(left, task)));
      order(each, chosen.stream().map(VmOffer::place).toList());
      served.add(task.workflow());
    }
  }

  private VmOffer after(VmOffer offer, WorkflowTask task) {
    return offer.after(task.step(), vms.harmOf(task.step().nature().image()));
  }

  private static boolean isAdvised(WorkflowTask task) {
    return task.workflow().spec().terms().advice().isPresent();
  }

  /**
   * Returns a VM for each member, or none. If the queue requires placement advice, only VMs that
   * the adviser allowed are used, and further VMs are requested when these have no capacity left.
   */
  private List<VmOffer> chooseAdvised(Waiting waiting, Collection<VmOffer> offers) {
    WorkflowTask task = waiting.task();
    if (!isAdvised(task)) {
      return choose(waiting, offers);
    }
    List<VmOffer> chosen = choose(waiting, advice.allowed(task, offers));
    if (chosen.isEmpty()) {
      advice.ask(task, chooser.best(wish(task, waiting.urgency(), ""), offers, offers.size()));
    }
    return chosen;
  }

  /**
   * Returns a VM for each member, or none. VMs on which a member has failed are avoided where
   * possible, since the VM may be the cause of the failure; see {@link VmChooser#isWorthLeaving}.
   */
  private List<VmOffer> choose(Waiting waiting, Collection<VmOffer> offers) {
    List<WorkflowTask> members = waiting.members();
    List<VmOffer> withoutFailure =
        offers.stream()
            .filter(offer -> members.stream().noneMatch(each -> hasFailedOn(each, offer)))
            .toList();
    List<VmOffer> elsewhere = chooseAmong(waiting, withoutFailure);
    if (withoutFailure.size() == offers.size()) {
      return elsewhere;
    }
    List<VmOffer> anywhere = chooseAmong(waiting, offers);
    if (members.size() > 1) {
      return elsewhere.isEmpty() ? anywhere : elsewhere;
    }
    StepSpec step = waiting.task().step();
    boolean avoid =
        VmChooser.isWorthLeaving(
            step, elsewhere.stream().findFirst(), anywhere.stream().findFirst());
    return avoid ? elsewhere : anywhere;
  }

  private static boolean hasFailedOn(WorkflowTask task, VmOffer offer) {
    return task.hasFailedOn(offer.place().vm());
  }

  private List<VmOffer> chooseAmong(Waiting waiting, Collection<VmOffer> offers) {
    WorkflowTask task = waiting.task();
    if (task.step().nature().gang()) {
      PlacementWish wish = wish(task, waiting.urgency(), "");
      Optional<ImmutableList<VmOffer>> all = gangs.choose(wish, waiting.members().size(), offers);
      return all.orElse(ImmutableList.of());
    }
    return chooseAmong(task, waiting.urgency(), offers).stream().toList();
  }

  private Optional<VmOffer> chooseAmong(
      WorkflowTask task, Urgency urgency, Collection<VmOffer> offers) {
    String rack = task.step().placement().sameRack() ? vms.rackOfStep(task) : "";
    return chooser.choose(
        wish(task, urgency, rack), offers, offer -> vms.ofStepOn(offer.place().vm(), task));
  }

  private PlacementWish wish(WorkflowTask task, Urgency urgency, String siblingRack) {
    double interference = vms.harmOf(task.step().nature().image());
    return new PlacementWish(task.workflow().spec(), task.step(), interference, urgency, siblingRack);
  }

  private List<Waiting> waiting(QueueTable queues) {
    long now = loop.now();
    long wallNow = wallMillis.getAsLong();
    record Candidate(OwnedPartition partition, Workflow workflow, WaitingOrder.Ranked rank) {}
    List<Candidate> candidates = new ArrayList<>();
    for (OwnedPartition partition : ownership.active()) {
      for (Workflow workflow : partition.workflows()) {
        if (!workflow.status().isTerminal() && queues.uses(workflow.spec().terms().service())) {
          candidates.add(new Candidate(partition, workflow, WaitingOrder.rank(workflow, wallNow)));
        }
      }
    }
    candidates.sort(Comparator.comparing(Candidate::rank));
    List<Waiting> waiting = new ArrayList<>();
    for (Candidate candidate : candidates) {
      candidate
          .workflow()
          .forEachReady(
              wallNow,
              task -> {
                Waiting each = new Waiting(candidate.partition(), task, candidate.rank().urgency());
                if (isFirstOfGang(task) && isDue(each, now)) {
                  waiting.add(each);
                }
              });
    }
    return waiting;
  }

  /**
   * Returns why a ready task has not been ordered, as if no other task waited.
   *
   * @param offers the VMs that may be given work now
   */
  WaitCause causeOf(OwnedPartition partition, WorkflowTask task, Collection<VmOffer> offers) {
    Optional<QueueTable> queues = configuration.get();
    if (queues.isEmpty()) {
      return WaitCause.NO_CONFIGURATION;
    }
    if (!queues.get().uses(task.workflow().spec().terms().service())) {
      return WaitCause.SERVICE_UNUSED;
    }
    Urgency urgency = WaitingOrder.rank(task.workflow(), wallMillis.getAsLong()).urgency();
    Waiting ranked = new Waiting(partition, task, urgency);
    Waiting waiting = VmOffer.isRoomy(offers) ? ranked : ranked.calmed();
    if (!isDue(waiting, loop.now())) {
      return WaitCause.WAITS;
    }
    if (offers.isEmpty()) {
      return WaitCause.NO_VM_OFFERED;
    }
    if (choose(waiting, offers).isEmpty()) {
      return WaitCause.NONE_ADMITS;
    }
    boolean unadvised = isAdvised(task) && choose(waiting, advice.allowed(task, offers)).isEmpty();
    return unadvised ? WaitCause.UNADVISED : WaitCause.ADMITTED;
  }

  /** Returns how many of the offers give which verdict on a ready task, as a text for logs. */
  String verdictsOn(WorkflowTask task, Collection<VmOffer> offers) {
    Urgency urgency = WaitingOrder.rank(task.workflow(), wallMillis.getAsLong()).urgency();
    Multiset<VmChooser.Verdict> verdicts = EnumMultiset.create(VmChooser.Verdict.class);
    for (VmOffer offer : offers) {
      verdicts.add(
          VmChooser.verdict(
              wish(task, urgency, ""), offer, each -> vms.ofStepOn(each.place().vm(), task)));
    }
    return Tallies.text(verdicts);
  }

  private static boolean isFirstOfGang(WorkflowTask task) {
    return !task.step().nature().gang() || task.key().index() == 0;
  }

  private static boolean isDue(Waiting waiting, long now) {
    return waiting.members().stream().allMatch(task -> task.notBefore() <= now);
  }

  private void order(Waiting waiting, List<Place> places) {
    WorkflowTask first = waiting.task();
    Workflow workflow = first.workflow();
    if (first.step().nature().gang()) {
      workflow.orderGang(first, places);
    } else {
      workflow.order(first, places.get(0));
    }
    waiting.members().forEach(task -> tellOrdered(waiting, task));
    vms.ordered(
        waiting.partition(),
        waiting.members().stream().map(task -> decided(waiting, task)).toList());
  }

  private OpenRun decided(Waiting waiting, WorkflowTask task) {
    String worker = task.place().orElseThrow().worker();
    String ticket = isAdvised(task) ? advice.ticket(task, worker) : "";
    boolean starved = waiting.urgency() == Urgency.STARVED;
    return OpenRun.decided(waiting.partition(), task, loop.now(), starved, ticket);
  }

  private void tellOrdered(Waiting waiting, WorkflowTask task) {
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

  /**
   * Moves runs off VMs whose workers drain, that have too many interfering runs beside services, or
   * on which the runs are throttled; runs whose restart would lose too much work stay.
   */
  void evacuate() {
    for (OpenRun run : vms.onDrainingVms()) {
      boolean movable =
          run.task().step().nature().lasting() || run.task().step().nature().checkpointable();
      if (movable) {
        move(run, "worker is draining");
      }
    }
    for (OpenRun run : vms.crowded()) {
      if (isCheaplyMoved(run.task())) {
        move(run, "too many interfering runs beside service tasks");
      }
    }
    moveSlowed(vms.slowedDownTo(SLOWED_PERCENT));
  }

  private void moveSlowed(List<OpenRun> slowed) {
    if (slowed.isEmpty()) {
      return;
    }
    List<VmOffer> withoutServices = new ArrayList<>();
    vms.offers().stream().filter(offer -> offer.serving() == 0).forEach(withoutServices::add);
    for (OpenRun run : slowed) {
      WorkflowTask task = run.task();
      Optional<VmOffer> better =
          isCheaplyStopped(task) ? chooseAmong(task, Urgency.ORDINARY, withoutServices) : Optional.empty();
      if (better.isPresent() && move(run, "throttled beside service tasks")) {
        withoutServices.remove(better.get());
        withoutServices.add(after(better.get(), task));
      }
    }
  }

  /** Returns false also for the only run of a workflow, which would make no progress without it. */
  private static boolean isCheaplyMoved(WorkflowTask task) {
    return task.workflow().openTasks().size() > 1 && isCheaplyStopped(task);
  }

  private static boolean isCheaplyStopped(WorkflowTask task) {
    return task.step().nature().checkpointable() || task.percent() <= CHEAP_PERCENT;
  }

  private boolean move(OpenRun run, String reason) {
    WorkflowTask task = run.task();
    if (!run.isDurable() || !task.isStarted() || run.isUnwanted()) {
      return false;
    }
    task.wantStop();
    LOG.info(LogLine.of("run-moved").with("run", task.openRun()).with("reason", reason));
    vms.stopUnwanted(task.workflow());
    return true;
  }
}
