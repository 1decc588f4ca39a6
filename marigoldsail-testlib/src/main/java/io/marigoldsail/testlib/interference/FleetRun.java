package io.marigoldsail.testlib.interference;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.workflow.ImageEvidenceAggregator;
import io.marigoldsail.workflow.ImageInterference;
import io.marigoldsail.workflow.Place;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.StepSpec;
import io.marigoldsail.workflow.TaskPlacementRequest;
import io.marigoldsail.workflow.Urgency;
import io.marigoldsail.workflow.VmChooser;
import io.marigoldsail.workflow.VmOffer;
import io.marigoldsail.workflow.VmSlowdownEstimator;
import io.marigoldsail.workflow.WaitingOrder;
import io.marigoldsail.workflow.Workflow;
import io.marigoldsail.workflow.WorkflowId;
import io.marigoldsail.workflow.WorkflowSpec;
import io.marigoldsail.workflow.WorkflowTask;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Simulates one day under one policy on virtual time. Deterministic; not thread-safe. */
final class FleetRun {
  /** The wall-clock time at the beginning of a day, in milliseconds. */
  static final long EPOCH_MILLIS = 1_000_000;

  private static final long TICK_MILLIS = 50;
  private static final long EVIDENCE_INTERVAL_MILLIS = 700;
  private static final long WINDOW_MILLIS = 2_000;
  private static final long TAKEOVER_MILLIS = 8_200;
  private static final double FAR_RACK_FACTOR = 1.5;

  /** A submitted workflow that has not ended. */
  private record OpenWorkflow(WorkflowArrival arrival, Workflow workflow) {}

  /** An ended run whose end the owner does not know yet. */
  private record PendingEnd(FleetTask run, RunOutcome outcome, long knownMillis) {}

  /** The properties of a task that decide whether it can be placed. */
  private record PlacementNeed(StepSpec step, Urgency urgency, String counted) {}

  private final FleetDay day;
  private final FleetPolicy policy;
  private final List<FleetVm> vms = new ArrayList<>();
  private final List<OpenWorkflow> open = new ArrayList<>();
  private final List<PendingEnd> ends = new ArrayList<>();
  private final Map<WorkflowId, double[]> serviceWindows = new HashMap<>();
  private final Map<WorkflowId, Double> durationsMillis = new HashMap<>();
  private final ImageInterference interference = new ImageInterference();
  private final ImageEvidenceAggregator evidence = new ImageEvidenceAggregator();
  private final VmSlowdownEstimator slowdowns = new VmSlowdownEstimator();
  private final VmChooser chooser = VmChooser.of(FAR_RACK_FACTOR);
  private final FleetScore score = new FleetScore();
  private int arrived;

  private FleetRun(FleetDay day, FleetPolicy policy) {
    this.day = requireNonNull(day, "day");
    this.policy = requireNonNull(policy, "policy");
    for (int i = 0; i < FleetShape.VMS; i++) {
      vms.add(new FleetVm(day, policy, i));
    }
  }

  /** Simulates the day; takes from a few milliseconds to 100 ms. */
  static FleetScore play(FleetDay day, FleetPolicy policy) {
    return new FleetRun(day, policy).play();
  }

  private FleetScore play() {
    for (long now = 0; now < FleetDay.END_MILLIS; now += TICK_MILLIS) {
      acceptArrivals(now);
      loseVms(now);
      for (FleetVm vm : vms) {
        vm.advance(now, TICK_MILLIS);
        vm.decide(now);
        finish(vm, now);
      }
      if (now % EVIDENCE_INTERVAL_MILLIS == 0) {
        shareImages();
      }
      if (!day.isSchedulerDown(now)) {
        recordEnds(now);
        place(now);
      }
      scoreServices(now);
    }
    scoreWorkflows();
    return score;
  }

  private void acceptArrivals(long now) {
    List<WorkflowArrival> arrivals = day.arrivals();
    while (arrived < arrivals.size() && arrivals.get(arrived).atMillis() <= now) {
      WorkflowArrival next = arrivals.get(arrived++);
      open.add(new OpenWorkflow(next, Workflow.of(spec(next))));
    }
  }

  private WorkflowSpec spec(WorkflowArrival arrival) {
    if (!policy.knowsEffects()) {
      return arrival.declared();
    }
    WorkflowSpec declared = arrival.declared();
    List<StepSpec> steps = new ArrayList<>();
    for (int i = 0; i < declared.steps().size(); i++) {
      StepSpec step = declared.steps().get(i);
      double longestMillis =
          arrival.lengthsMillis().get(i).stream().mapToDouble(Double::doubleValue).max().orElse(0);
      steps.add(
          new StepSpec(
              step.tasks(),
              step.sizes(),
              Math.round(longestMillis),
              step.dependsOn(),
              step.placement(),
              step.traits()));
    }
    return new WorkflowSpec(
        declared.id(),
        declared.queue(),
        declared.policy(),
        declared.program(),
        ImmutableList.copyOf(steps),
        declared.schedule(),
        declared.acceptedMillis());
  }

  private void loseVms(long now) {
    for (FleetVm vm : vms) {
      if (day.isLost(vm.number(), now)) {
        for (FleetTask run : vm.runs()) {
          vm.end(run);
          ends.add(new PendingEnd(run, RunOutcome.LOST, now + TAKEOVER_MILLIS));
        }
      }
    }
  }

  private void finish(FleetVm vm, long now) {
    for (FleetTask run : vm.runs()) {
      if (run.isDone()) {
        vm.end(run);
        ends.add(new PendingEnd(run, RunOutcome.DONE, now));
        sample(vm, run, now);
      } else {
        run.task().recordProgress("", run.progressPercent());
      }
    }
  }

  private void sample(FleetVm vm, FleetTask run, long now) {
    if (!run.traits().bestEffort()) {
      long nanos = TimeUnit.MILLISECONDS.toNanos(now);
      slowdowns.addSample(
          vm.place().vm(), run.task().step().estimateMillis(), run.ranMillis(now), nanos);
    }
  }

  private void shareImages() {
    for (FleetVm vm : vms) {
      evidence.update(vm.place().vm(), vm.interference().localEvidence());
    }
    interference.setRemoteEvidence(evidence.total());
    for (FleetVm vm : vms) {
      vm.interference().setRemoteEvidence(evidence.totalExcluding(vm.place().vm()));
    }
  }

  private void recordEnds(long now) {
    for (PendingEnd end : List.copyOf(ends)) {
      if (end.knownMillis() <= now) {
        ends.remove(end);
        WorkflowTask task = end.run().task();
        Workflow workflow = task.workflow();
        workflow.recordEnd(end.run().key(), end.outcome(), "", EPOCH_MILLIS + now);
        if (workflow.status().isTerminal()) {
          durationsMillis.putIfAbsent(
              workflow.spec().id(), (double) EPOCH_MILLIS + now - workflow.spec().acceptedMillis());
        }
      }
    }
    open.removeIf(each -> each.workflow().status().isTerminal());
  }

  private double interferenceBelief(String image, long now) {
    if (image.isEmpty()) {
      return 0;
    }
    if (policy.knowsEffects()) {
      return day.isInterfering(image, now) ? 1 : 0;
    }
    return policy.learnsImages() ? interference.belief(image) : ImageInterference.PRIOR_BELIEF;
  }

  /** A task that is ready to start, with the urgency of its placement. */
  private record ReadyTask(OpenWorkflow open, WorkflowTask task, Urgency urgency) {}

  private void place(long now) {
    List<ReadyTask> waiting = waiting(now);
    if (waiting.isEmpty()) {
      return;
    }
    List<VmOffer> offers = offers(now);
    Set<PlacementNeed> infeasible = new HashSet<>();
    Set<Workflow> placedWorkflows = new HashSet<>();
    boolean hasSpareCapacity = VmOffer.hasSpareCapacity(offers);
    for (ReadyTask each : waiting) {
      Workflow workflow = each.open().workflow();
      boolean mayUseStarved = hasSpareCapacity && !placedWorkflows.contains(workflow);
      boolean demoted = each.urgency() == Urgency.STARVED && !mayUseStarved;
      Urgency urgency = demoted ? Urgency.ORDINARY : each.urgency();
      PlacementNeed need = need(each.task(), urgency);
      if (infeasible.contains(need)) {
        continue;
      }
      Optional<VmOffer> chosen = choose(each.task(), urgency, offers, now);
      if (chosen.isPresent()
          && start(each.open(), each.task(), urgency, chosen.get().place(), now)) {
        placedWorkflows.add(workflow);
        offers.remove(chosen.get());
        String image = each.task().step().traits().image();
        offers.add(chosen.get().afterPlacing(each.task().step(), interferenceBelief(image, now)));
      } else {
        infeasible.add(need);
      }
    }
  }

  private List<ReadyTask> waiting(long now) {
    record Ordered(OpenWorkflow open, WaitingOrder.Rank rank) {}
    long wallMillis = EPOCH_MILLIS + now;
    List<Ordered> ranked = new ArrayList<>();
    for (OpenWorkflow each : open) {
      ranked.add(new Ordered(each, WaitingOrder.rank(each.workflow(), wallMillis)));
    }
    if (policy.ordersByValue()) {
      ranked.sort(Comparator.comparing(Ordered::rank));
    }
    List<ReadyTask> waiting = new ArrayList<>();
    for (Ordered each : ranked) {
      Urgency urgency = each.rank().urgency();
      each.open()
          .workflow()
          .forEachReady(wallMillis, task -> waiting.add(new ReadyTask(each.open(), task, urgency)));
    }
    return waiting;
  }

  private static PlacementNeed need(WorkflowTask task, Urgency urgency) {
    boolean counts = task.step().placement().maxPerVm() > 0;
    return new PlacementNeed(task.step(), urgency, counts ? task.key().workflow().toString() : "");
  }

  private List<VmOffer> offers(long now) {
    List<VmOffer> offers = new ArrayList<>();
    long nanos = TimeUnit.MILLISECONDS.toNanos(now);
    for (FleetVm vm : vms) {
      if (!day.isLost(vm.number(), now)) {
        offers.add(vm.offer(slowdowns.slowdown(vm.place().vm(), nanos), now));
      }
    }
    return offers;
  }

  private Optional<VmOffer> choose(
      WorkflowTask task, Urgency urgency, List<VmOffer> offers, long now) {
    double belief = interferenceBelief(task.step().traits().image(), now);
    TaskPlacementRequest request =
        new TaskPlacementRequest(task.workflow().service(), task.step(), belief, urgency, "");
    if (task.step().traits().isService() && !policy.packsServices()) {
      return offers.stream()
          .filter(
              offer ->
                  VmChooser.verdict(request, offer, each -> ofStepOn(each, task))
                      == VmChooser.Verdict.ADMITTED)
          .max(Comparator.comparingLong(offer -> offer.free().milliProcessors()));
    }
    return chooser.choose(request, offers, offer -> ofStepOn(offer, task));
  }

  private int ofStepOn(VmOffer offer, WorkflowTask task) {
    return (int)
        vm(offer.place()).runs().stream()
            .map(FleetTask::key)
            .map(RunKey::task)
            .filter(key -> key.workflow().equals(task.key().workflow()))
            .filter(key -> key.step() == task.key().step())
            .count();
  }

  private FleetVm vm(Place place) {
    return vms.get(Integer.parseInt(place.vm().substring("vm-".length())));
  }

  private boolean start(
      OpenWorkflow openWorkflow, WorkflowTask task, Urgency urgency, Place place, long now) {
    openWorkflow.workflow().startAttempt(task, place);
    double length =
        openWorkflow.arrival().lengthsMillis().get(task.key().step()).get(task.key().index());
    FleetTask run = new FleetTask(task, length, now);
    if (vm(place).start(run, urgency, now)) {
      return true;
    }
    openWorkflow.workflow().recordEnd(run.key(), RunOutcome.REFUSED, "", EPOCH_MILLIS + now);
    return false;
  }

  private void scoreServices(long now) {
    if (now < FleetDay.LEAD_MILLIS || now >= FleetDay.LAST_ARRIVAL_MILLIS) {
      return;
    }
    for (FleetVm vm : vms) {
      for (FleetTask run : vm.runs()) {
        if (run.traits().isService()) {
          double[] window =
              serviceWindows.computeIfAbsent(run.key().task().workflow(), id -> empty());
          window[0] += TICK_MILLIS;
          window[1] += run.isOverTarget() ? TICK_MILLIS : 0;
          score.addOverTarget(run.isOverTarget() ? TICK_MILLIS / 1_000.0 : 0);
        }
      }
    }
    if (now % WINDOW_MILLIS == WINDOW_MILLIS - TICK_MILLIS) {
      for (OpenWorkflow each : open) {
        if (each.arrival().kind() == WorkKind.SERVICE) {
          double[] window = serviceWindows.getOrDefault(each.workflow().spec().id(), empty());
          double all = (double) each.workflow().tasks().size() * WINDOW_MILLIS;
          score.addServiceWindow(window[0] / all, window[1] / all);
        }
      }
      serviceWindows.clear();
    }
  }

  private static double[] empty() {
    return new double[2];
  }

  private void scoreWorkflows() {
    Map<WorkKind, Double> work = new HashMap<>();
    Map<WorkKind, Integer> count = new HashMap<>();
    for (WorkflowArrival arrival : day.arrivals()) {
      work.merge(arrival.kind(), arrival.work(), Double::sum);
      count.merge(arrival.kind(), 1, Integer::sum);
    }
    for (WorkflowArrival arrival : day.arrivals()) {
      if (arrival.kind() != WorkKind.SERVICE) {
        double mean = work.get(arrival.kind()) / count.get(arrival.kind());
        score.addWorkflow(
            arrival,
            durationsMillis.getOrDefault(arrival.declared().id(), Double.POSITIVE_INFINITY),
            mean);
      }
    }
  }
}
