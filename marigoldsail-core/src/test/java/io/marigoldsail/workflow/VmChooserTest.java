package io.marigoldsail.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.marigoldsail.workflow.VmChooser.Verdict;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class VmChooserTest {
  private static Optional<String> choose(StepSpec step, VmOffer... offers) {
    return WorkflowFixtures.CHOOSER
        .choose(
            WorkflowFixtures.request(step, ImageInterference.PRIOR_BELIEF, Urgency.ORDINARY),
            List.of(offers),
            offer -> 0)
        .map(offer -> offer.place().vm());
  }

  private static VmOffer with(VmOffer offer, long interferingMilli, double slowness) {
    return new VmOffer(
        offer.place(),
        offer.service(),
        offer.labels(),
        offer.rack(),
        offer.capacity(),
        offer.free(),
        offer.bestEffortMilliProcessors(),
        interferingMilli,
        offer.overcommitMilliProcessors(),
        offer.serviceTasks(),
        slowness,
        Optional.empty());
  }

  /**
   * Guards against users of services who notice heavy tasks on nearly every VM: services were
   * spread one per VM, heavy tasks went wherever processors were left, and each was throttled
   * beside a service. Packed services leave most VMs to the heavy tasks.
   */
  @Test
  void packsServicesAndPlacesBestEffortTasksElsewhere() {
    StepSpec service = WorkflowFixtures.step(1, 3_200, WorkflowFixtures.longRunning(125));
    StepSpec heavy = WorkflowFixtures.step(1, 1_800, WorkflowFixtures.bestEffort());
    Map<String, VmOffer> offers = new HashMap<>();
    for (int i = 0; i < 6; i++) {
      offers.put("vm-" + i, WorkflowFixtures.offer("vm-" + i, 16_000, 0, 0));
    }
    List<String> services = place(service, 8, offers);
    List<String> bestEffortVms = place(heavy, 20, offers);
    assertEquals(2, ImmutableSet.copyOf(services).size());
    assertTrue(
        bestEffortVms.stream().noneMatch(services::contains),
        "VMs of best-effort tasks: " + bestEffortVms);
  }

  private static List<String> place(StepSpec step, int count, Map<String, VmOffer> offers) {
    List<String> placed = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      VmOffer offer =
          WorkflowFixtures.CHOOSER
              .choose(
                  WorkflowFixtures.request(step, ImageInterference.PRIOR_BELIEF, Urgency.ORDINARY),
                  offers.values(),
                  unused -> 0)
              .orElseThrow();
      placed.add(offer.place().vm());
      offers.put(offer.place().vm(), offer.afterPlacing(step, ImageInterference.PRIOR_BELIEF));
    }
    return placed;
  }

  @Test
  void placesSmallTasksBesideServicesWhileCapacityLasts() {
    StepSpec small = WorkflowFixtures.step(1, 240, StepSpec.TaskTraits.PLAIN);
    VmOffer idle = WorkflowFixtures.offer("idle", 16_000, 0, 0);
    assertEquals(
        Optional.of("serving"),
        choose(small, idle, WorkflowFixtures.offer("serving", 3_000, 0, 2)));
    assertEquals(
        Optional.of("idle"), choose(small, idle, WorkflowFixtures.offer("serving", 300, 200, 2)));
  }

  @Test
  void placesBestEffortTasksBesideServicesOnlyAsALastResort() {
    StepSpec heavy = WorkflowFixtures.step(1, 1_800, WorkflowFixtures.bestEffort());
    VmOffer withService = WorkflowFixtures.offer("serving", 9_000, 0, 1);
    assertEquals(
        Optional.of("tight"),
        choose(heavy, withService, WorkflowFixtures.offer("tight", 2_000, 6_100, 0)));
    assertEquals(
        Optional.of("serving"),
        choose(heavy, withService, WorkflowFixtures.offer("tight", 2_000, 6_300, 0)));
    assertEquals(Optional.of("serving"), choose(heavy, with(withService, 200, 1)));
    assertEquals(Optional.empty(), choose(heavy, with(withService, 201, 1)));
  }

  /**
   * A service task fails through its own fault; apart from its former VM, only the one VM without
   * services has capacity. Guards against moving it there, which made heavy workflows late for the
   * rest of the day, because that VM had done half of their work.
   */
  @Test
  void aFailedServiceDoesNotMoveToTheOnlyVmWithoutServices() {
    StepSpec service = WorkflowFixtures.step(1, 3_200, WorkflowFixtures.longRunning(125));
    VmOffer free = WorkflowFixtures.offer("free", 16_000, 0, 0);
    VmOffer former = WorkflowFixtures.offer("former", 3_300, 0, 4);
    VmOffer packed = WorkflowFixtures.offer("packed", 3_300, 0, 3);
    assertFalse(VmChooser.prefersOtherVm(service, Optional.of(free), Optional.of(former)));
    assertTrue(VmChooser.prefersOtherVm(service, Optional.of(packed), Optional.of(former)));
    assertTrue(VmChooser.prefersOtherVm(service, Optional.of(free), Optional.empty()));
    assertFalse(VmChooser.prefersOtherVm(service, Optional.empty(), Optional.of(former)));
    StepSpec plain = WorkflowFixtures.step(1, 240, StepSpec.TaskTraits.PLAIN);
    assertTrue(VmChooser.prefersOtherVm(plain, Optional.of(free), Optional.of(former)));
  }

  /**
   * Processors that services leave idle are a large part of the capacity, and benign tasks should
   * use them.
   */
  @Test
  void placesImagesByTheirInterference() {
    StepSpec heavy = WorkflowFixtures.step(1, 1_800, WorkflowFixtures.bestEffort());
    List<VmOffer> offers =
        List.of(
            WorkflowFixtures.offer("serving", 3_000, 0, 4),
            WorkflowFixtures.offer("free", 12_000, 0, 0));
    assertEquals("serving", choose(heavy, ImageInterference.BENIGN_BELIEF, offers).orElseThrow());
    assertEquals("free", choose(heavy, ImageInterference.PRIOR_BELIEF, offers).orElseThrow());
    assertEquals("free", choose(heavy, ImageInterference.INTERFERING_BELIEF, offers).orElseThrow());
    List<VmOffer> onlyWithService = offers.subList(0, 1);
    assertEquals(
        "serving", choose(heavy, ImageInterference.PRIOR_BELIEF, onlyWithService).orElseThrow());
    assertEquals(
        "serving",
        choose(heavy, ImageInterference.INTERFERING_BELIEF, onlyWithService).orElseThrow());
    List<VmOffer> withOne =
        List.of(onlyWithService.get(0).afterPlacing(heavy, ImageInterference.INTERFERING_BELIEF));
    assertEquals(Optional.empty(), choose(heavy, ImageInterference.PRIOR_BELIEF, withOne));
    assertEquals(Optional.empty(), choose(heavy, ImageInterference.INTERFERING_BELIEF, withOne));
    assertEquals("serving", choose(heavy, ImageInterference.BENIGN_BELIEF, withOne).orElseThrow());
  }

  /**
   * Guards against bursts of heavy workflows in which half of the tasks of each run beside services
   * at a third of their speed, so that each workflow is as late as its slowest task. A workflow
   * that can be in time only at full speed waits for a VM without services; one that is late anyway
   * takes what is left.
   */
  @Test
  void hurriedInterferingTasksWaitForAVmWithoutServices() {
    StepSpec heavy = WorkflowFixtures.step(1, 1_800, WorkflowFixtures.bestEffort());
    VmOffer serving = WorkflowFixtures.offer("serving", 3_000, 0, 4);
    VmOffer full = WorkflowFixtures.offer("full", 500, 6_000, 0);
    List<VmOffer> both = List.of(serving, full);
    assertEquals(Optional.empty(), chooseHurried(heavy, ImageInterference.PRIOR_BELIEF, both));
    assertEquals("serving", choose(heavy, ImageInterference.PRIOR_BELIEF, both).orElseThrow());
    assertEquals(
        "serving", chooseHurried(heavy, ImageInterference.BENIGN_BELIEF, both).orElseThrow());
    assertEquals(
        "serving",
        chooseHurried(heavy, ImageInterference.PRIOR_BELIEF, List.of(serving)).orElseThrow());
  }

  /**
   * Most of the capacity was free, but each VM had a service with as many best-effort tasks beside
   * it as it tolerates. Guards against workflows without running tasks that wait forever; each must
   * get one task to run somewhere.
   */
  @Test
  void starvedTasksIgnoreTheBestEffortLimits() {
    StepSpec heavy = WorkflowFixtures.step(1, 1_800, WorkflowFixtures.bestEffort());
    VmOffer crowded = with(WorkflowFixtures.offer("crowded", 3_000, 9_000, 1), 9_000, 1);
    assertEquals(Optional.empty(), choose(heavy, crowded));
    Optional<VmOffer> starved =
        WorkflowFixtures.CHOOSER.choose(
            WorkflowFixtures.request(heavy, 1, Urgency.STARVED), List.of(crowded), offer -> 0);
    assertEquals("crowded", starved.orElseThrow().place().vm());
  }

  @Test
  void spareCapacityMeansTwoFifthsUnbooked() {
    VmOffer full = WorkflowFixtures.offer("full", 0, 0, 5);
    assertTrue(
        VmOffer.hasSpareCapacity(List.of(full, WorkflowFixtures.offer("free", 12_800, 0, 0))));
    assertFalse(
        VmOffer.hasSpareCapacity(List.of(full, WorkflowFixtures.offer("free", 12_700, 0, 0))));
  }

  private static Optional<String> chooseHurried(
      StepSpec step, double interference, List<VmOffer> offers) {
    return WorkflowFixtures.CHOOSER
        .choose(WorkflowFixtures.request(step, interference, Urgency.HURRIED), offers, offer -> 0)
        .map(offer -> offer.place().vm());
  }

  private static Optional<String> choose(StepSpec step, double interference, List<VmOffer> offers) {
    return WorkflowFixtures.CHOOSER
        .choose(WorkflowFixtures.request(step, interference, Urgency.ORDINARY), offers, offer -> 0)
        .map(offer -> offer.place().vm());
  }

  /**
   * Guards against workflows that are late because tasks that take half as long again on separate
   * racks are spread over racks. The rack of the running tasks counts like VM speed: an idle VM
   * elsewhere loses to a busy one on that rack, but is chosen if it is the only one.
   */
  @Test
  void prefersTheRackOfSiblingTasks() {
    StepSpec small = WorkflowFixtures.step(1, 240, StepSpec.TaskTraits.PLAIN);
    TaskPlacementRequest request =
        new TaskPlacementRequest(
            WorkflowFixtures.spec(small).policy().service(),
            small,
            0,
            Urgency.ORDINARY,
            "rack-busy");
    VmOffer idle = WorkflowFixtures.offer("idle", 16_000, 0, 0);
    VmOffer busy = WorkflowFixtures.offer("busy", 300, 0, 0);
    Optional<VmOffer> both =
        WorkflowFixtures.CHOOSER.choose(request, List.of(idle, busy), offer -> 0);
    assertEquals("busy", both.orElseThrow().place().vm());
    Optional<VmOffer> one = WorkflowFixtures.CHOOSER.choose(request, List.of(idle), offer -> 0);
    assertEquals("idle", one.orElseThrow().place().vm());
  }

  @Test
  void choosesASlowVmLast() {
    StepSpec small = WorkflowFixtures.step(1, 240, StepSpec.TaskTraits.PLAIN);
    VmOffer slow = with(WorkflowFixtures.offer("slow", 16_000, 0, 0), 0, 6);
    assertEquals(
        Optional.of("full"), choose(small, slow, WorkflowFixtures.offer("full", 500, 0, 0)));
    assertEquals(Optional.of("slow"), choose(small, slow));
  }

  @Test
  void requiresCapacityLabelAndService() {
    StepSpec big = WorkflowFixtures.step(1, 5_000, StepSpec.TaskTraits.PLAIN);
    assertEquals(Optional.empty(), choose(big, WorkflowFixtures.offer("vm", 4_999, 0, 0)));
    StepSpec.Placement labelled = new StepSpec.Placement("rack-b", "", false, 0);
    StepSpec onlyOnLabel =
        new StepSpec(1, big.sizes(), 1, ImmutableList.of(), labelled, StepSpec.TaskTraits.PLAIN);
    VmOffer a = WorkflowFixtures.offer("a", 9_000, 0, 0);
    VmOffer b = WorkflowFixtures.offer("b", 6_000, 0, 0);
    assertEquals(Optional.of("b"), choose(onlyOnLabel, a, b));
    assertEquals(Optional.empty(), choose(onlyOnLabel, ofService("another", b)));
  }

  private static VmOffer ofService(String service, VmOffer offer) {
    return new VmOffer(
        offer.place(),
        service,
        offer.labels(),
        offer.rack(),
        offer.capacity(),
        offer.free(),
        offer.bestEffortMilliProcessors(),
        offer.interferingMilliProcessors(),
        offer.overcommitMilliProcessors(),
        offer.serviceTasks(),
        offer.slowdown(),
        Optional.empty());
  }

  @Test
  void respectsMaxPerVm() {
    StepSpec.Placement spread = new StepSpec.Placement("", "", false, 1);
    StepSpec plain = WorkflowFixtures.step(2, 100, StepSpec.TaskTraits.PLAIN);
    StepSpec step = new StepSpec(2, plain.sizes(), 1, ImmutableList.of(), spread, plain.traits());
    VmOffer a = WorkflowFixtures.offer("a", 9_000, 0, 0);
    VmOffer b = WorkflowFixtures.offer("b", 6_000, 0, 0);
    Optional<VmOffer> chosen =
        WorkflowFixtures.CHOOSER.choose(
            WorkflowFixtures.request(step, 0, Urgency.ORDINARY),
            List.of(a, b),
            offer -> offer.place().vm().equals("a") ? 1 : 0);
    assertEquals("b", chosen.orElseThrow().place().vm());
  }

  private static Verdict verdict(StepSpec step, VmOffer offer, int ofStepOn) {
    TaskPlacementRequest request =
        WorkflowFixtures.request(step, ImageInterference.PRIOR_BELIEF, Urgency.ORDINARY);
    return VmChooser.verdict(request, offer, unused -> ofStepOn);
  }

  private static StepSpec placed(StepSpec step, StepSpec.Placement placement) {
    return new StepSpec(1, step.sizes(), 1, ImmutableList.of(), placement, step.traits());
  }

  /**
   * The verdicts that engineers read of a task that no VM admits are those that the choice uses.
   */
  @Test
  void verdictNamesTheFirstUnmetRequirement() {
    StepSpec plain = WorkflowFixtures.step(1, 5_000, StepSpec.TaskTraits.PLAIN);
    StepSpec heavy = WorkflowFixtures.step(1, 5_000, WorkflowFixtures.bestEffort());
    VmOffer free = WorkflowFixtures.offer("a", 9_000, 0, 0);
    StepSpec labelled = placed(plain, new StepSpec.Placement("rack-b", "", false, 0));
    StepSpec spread = placed(plain, new StepSpec.Placement("", "", false, 2));
    assertEquals(Verdict.ADMITTED, verdict(plain, free, 7));
    assertEquals(Verdict.MISSING_LABEL, verdict(labelled, free, 0));
    assertEquals(
        Verdict.INSUFFICIENT_CAPACITY, verdict(plain, WorkflowFixtures.offer("a", 4_999, 0, 0), 0));
    assertEquals(
        Verdict.BEST_EFFORT_LIMIT,
        verdict(heavy, WorkflowFixtures.offer("a", 9_000, 20_000, 0), 0));
    assertEquals(Verdict.ADMITTED, verdict(spread, free, 1));
    assertEquals(Verdict.PER_VM_LIMIT, verdict(spread, free, 2));
  }

  /**
   * Guards against a small fleet in which the tasks of an owner fill the VMs that it prefers while
   * others are idle.
   */
  @Test
  void ownerOfASmallFleetPrefersTheVmWithTheMostProcessorsLeft() {
    StepSpec step = WorkflowFixtures.step(1, 250, StepSpec.TaskTraits.PLAIN);
    for (int owner = 0; owner < 20; owner++) {
      VmChooser chooser = VmChooser.forOwner(1.5, "owner-" + owner);
      Optional<VmOffer> chosen =
          chooser.choose(
              WorkflowFixtures.request(step, ImageInterference.PRIOR_BELIEF, Urgency.ORDINARY),
              List.of(
                  WorkflowFixtures.offer("busy", 2_000, 0, 0),
                  WorkflowFixtures.offer("idle", 12_000, 0, 0)),
              unused -> 0);
      assertEquals("idle", chosen.orElseThrow().place().vm());
    }
  }
}
