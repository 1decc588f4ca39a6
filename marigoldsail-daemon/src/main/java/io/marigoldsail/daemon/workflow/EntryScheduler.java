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
  private static final long REFUSED_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(25);

  /**
   * The same for a gang: each refusal costs all other members a start and a stop, and the report
   * that tells how much room there really is comes within this time.
   */
  private static final long GANG_REFUSED_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** What a lasting task that failed waits, times its failures in a row. */
  private static final long FAILED_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /**
   * Between a report and the look at waiting tasks that its room is worth, in nanoseconds: reports
   * of many VMs come close together, and one look serves all of them.
   */
  private static final long ROOM_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  private static final int MAX_WAIT_FACTOR = 20;

  /**
   * The longest that a refused task or gang waits. Guards against one that stands still for seconds
   * after room has come: nobody looks at it before, whatever reports tell.
   */
  private static final long MAX_REFUSED_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  /** Where tasks that fill may work at this share of their speed at most, they are moved away. */
  private static final int SLOWED_PERCENT = 25;

  /** Work that is not saved may be given up while it is at most this far, in percent. */
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

  /** Has waiting tasks looked at after what runs now. */
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

  /** Has waiting tasks looked at, since a VM may have other room. */
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

  /** Sets how long the task of an ended run waits. */
  void ended(WorkflowTask task, RunOutcome outcome) {
    if (outcome == RunOutcome.REFUSED) {
      int factor = Math.min(task.refusals(), MAX_WAIT_FACTOR);
      boolean gang = task.step().traits().gang();
      long once = gang ? GANG_REFUSED_WAIT_NANOS : REFUSED_WAIT_NANOS;
      task.deferUntil(loop.now() + Math.min(factor * once, MAX_REFUSED_WAIT_NANOS));
    } else if (outcome == RunOutcome.FAILED && task.step().traits().longRunning()) {
      task.deferUntil(loop.now() + FAILED_WAIT_NANOS);
    }
    soon();
  }

  /** A task, or a gang by its first member. */
  private record Waiting(OwnedPartition partition, WorkflowTask task, Urgency urgency) {
    List<WorkflowTask> members() {
      return task.step().traits().gang() ? task.workflow().gangMembers(task) : List.of(task);
    }

    Waiting calmed() {
      boolean starved = urgency == Urgency.STARVED;
      return starved ? new Waiting(partition, task, Urgency.ORDINARY) : this;
    }
  }

  /**
   * All that decides whether a task finds room: where equal needs found none, this finds none.
   *
   * <p>Guards against tasks that are never ordered though there is room: equal steps are found in
   * workflows of several services, and one whose service is full would speak for them all.
   *
   * @param counted the step, where VMs take so many tasks of each only
   */
  private record Need(String service, StepSpec step, Urgency urgency, Optional<StepKey> counted) {
    static Need of(Waiting waiting) {
      WorkflowTask task = waiting.task();
      boolean counts = task.step().placement().maxPerVm() > 0;
      return new Need(
          task.workflow().spec().policy().service(),
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
    Map<String, VmOffer> offers = new HashMap<>();
    vms.offers().forEach(offer -> offers.put(offer.place().vm(), offer));
    // Rooms only fill up in one pass.
    Set<Need> full = new HashSet<>();
    Set<Workflow> fed = new HashSet<>();
    boolean roomy = VmOffer.hasSpareCapacity(offers.values());
    for (Waiting candidate : waiting) {
      WorkflowTask task = candidate.task();
      // One task at work is enough for a workflow not to starve.
      boolean mayStarve = roomy && !fed.contains(task.workflow());
      Waiting each = mayStarve ? candidate : candidate.calmed();
      Need need = Need.of(each);
      if (full.contains(need)) {
        continue;
      }
      List<VmOffer> chosen = chooseAdvised(each, offers.values());
      if (chosen.isEmpty()) {
        if (!isAdvised(task)) {
          full.add(need);
        }
        continue;
      }
      chosen.forEach(
          offer -> offers.computeIfPresent(offer.place().vm(), (vm, now) -> after(now, task)));
      order(each, chosen.stream().map(VmOffer::place).toList());
      fed.add(task.workflow());
    }
  }

  private VmOffer after(VmOffer offer, WorkflowTask task) {
    return offer.afterPlacing(task.step(), vms.harmOf(task.step().traits().image()));
  }

  private static boolean isAdvised(WorkflowTask task) {
    return task.workflow().spec().policy().advice().isPresent();
  }

  /**
   * Asks the adviser where a queue's policy wants that, about more VMs when the allowed are full.
   */
  private List<VmOffer> chooseAdvised(Waiting waiting, Collection<VmOffer> offers) {
    WorkflowTask task = waiting.task();
    if (!isAdvised(task)) {
      return choose(waiting, offers);
    }
    List<VmOffer> chosen = choose(waiting, advice.allowed(task, offers));
    if (chosen.isEmpty()) {
      advice.ask(
          task, chooser.rankedOffers(wish(task, waiting.urgency(), ""), offers, offers.size()));
    }
    return chosen;
  }

  /**
   * Returns a VM for each member, or none. A task that failed on a VM goes elsewhere as long as it
   * can: the VM may be what fails.
   */
  private List<VmOffer> choose(Waiting waiting, Collection<VmOffer> offers) {
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

  private List<VmOffer> chooseAmong(Waiting waiting, Collection<VmOffer> offers) {
    WorkflowTask task = waiting.task();
    if (task.step().traits().gang()) {
      TaskPlacementRequest wish = wish(task, waiting.urgency(), "");
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

  private TaskPlacementRequest wish(WorkflowTask task, Urgency urgency, String siblingRack) {
    double harm = vms.harmOf(task.step().traits().image());
    return new TaskPlacementRequest(
        task.workflow().spec(), task.step(), harm, urgency, siblingRack);
  }

  private List<Waiting> waiting(QueueTable queues) {
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
    List<Waiting> waiting = new ArrayList<>();
    for (Candidate candidate : candidates) {
      candidate
          .workflow()
          .forEachReady(
              wall,
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
   * Returns why a ready task has no order out, as if nothing else waited.
   *
   * @param offers the VMs that may be given work now
   */
  WaitCause causeOf(OwnedPartition partition, WorkflowTask task, Collection<VmOffer> offers) {
    Optional<QueueTable> queues = configuration.get();
    if (queues.isEmpty()) {
      return WaitCause.NO_CONFIGURATION;
    }
    if (!queues.get().usesService(task.workflow().spec().policy().service())) {
      return WaitCause.SERVICE_UNUSED;
    }
    Urgency urgency = WaitingOrder.rank(task.workflow(), wallMillis.getAsLong()).urgency();
    Waiting ranked = new Waiting(partition, task, urgency);
    Waiting waiting = VmOffer.hasSpareCapacity(offers) ? ranked : ranked.calmed();
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

  /** Returns what the VMs offered say to a ready task, such as {@code 6 without room}. */
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
    return !task.step().traits().gang() || task.key().index() == 0;
  }

  private static boolean isDue(Waiting waiting, long now) {
    return waiting.members().stream().allMatch(task -> task.notBefore() <= now);
  }

  private void order(Waiting waiting, List<Place> places) {
    WorkflowTask first = waiting.task();
    Workflow workflow = first.workflow();
    if (first.step().traits().gang()) {
      workflow.startGangAttempt(first, places);
    } else {
      workflow.startAttempt(first, places.get(0));
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

  /** Moves what can be moved off VMs whose workers leave, or where it is slowed down. */
  void evacuate() {
    for (OpenRun run : vms.onDrainingVms()) {
      boolean movable =
          run.task().step().traits().longRunning() || run.task().step().traits().checkpointable();
      if (movable) {
        move(run, "its worker leaves");
      }
    }
    for (OpenRun run : vms.crowded()) {
      if (isCheaplyMoved(run.task())) {
        move(run, "too many that may disturb stand beside services");
      }
    }
    moveSlowed(vms.slowedDownTo(SLOWED_PERCENT));
  }

  private void moveSlowed(List<OpenRun> slowed) {
    if (slowed.isEmpty()) {
      return;
    }
    List<VmOffer> free = new ArrayList<>();
    vms.offers().stream().filter(offer -> offer.serviceTasks() == 0).forEach(free::add);
    for (OpenRun run : slowed) {
      WorkflowTask task = run.task();
      Optional<VmOffer> better =
          isCheaplyStopped(task) ? chooseAmong(task, Urgency.ORDINARY, free) : Optional.empty();
      if (better.isPresent() && move(run, "it is slowed down beside tasks that serve")) {
        free.remove(better.get());
        free.add(after(better.get(), task));
      }
    }
  }

  /** The last run of a workflow stays, or nothing of it would be at work. */
  private static boolean isCheaplyMoved(WorkflowTask task) {
    return task.workflow().openTasks().size() > 1 && isCheaplyStopped(task);
  }

  private static boolean isCheaplyStopped(WorkflowTask task) {
    return task.step().traits().checkpointable() || task.percent() <= CHEAP_PERCENT;
  }

  private boolean move(OpenRun run, String reason) {
    WorkflowTask task = run.task();
    if (!run.isDurable() || !task.isStarted() || run.isUnwanted()) {
      return false;
    }
    task.requestStop();
    LOG.info(LogLine.of("run-moved").with("run", task.openRun()).with("reason", reason));
    vms.stopUnwanted(task.workflow());
    return true;
  }
}
