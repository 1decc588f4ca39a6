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
    return Workflows.CHOOSER
        .choose(
            Workflows.wish(step, ImageHarm.UNKNOWN, Urgency.ORDINARY), List.of(offers), offer -> 0)
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
        offer.fillMilliProcessors(),
        interferingMilli,
        offer.overcommitMilliProcessors(),
        offer.serving(),
        slowness);
  }

  /** Guards against users of services who notice heavy tasks on nearly every VM: services were spread one per VM, heavy tasks went wherever processors were left, and each was throttled beside a service. Packed services leave most VMs to the heavy tasks. */
  @Test
  void servicesArePackedAndHeavyTasksStandElsewhere() {
    StepSpec service = Workflows.step(1, 3_200, Workflows.lasting(125));
    StepSpec heavy = Workflows.step(1, 1_800, Workflows.filling());
    Map<String, VmOffer> offers = new HashMap<>();
    for (int i = 0; i < 6; i++) {
      offers.put("vm-" + i, Workflows.offer("vm-" + i, 16_000, 0, 0));
    }
    List<String> services = place(service, 8, offers);
    List<String> bestEffortVms = place(heavy, 20, offers);
    assertEquals(2, ImmutableSet.copyOf(services).size());
    assertTrue(bestEffortVms.stream().noneMatch(services::contains), "VMs of best-effort tasks: " + bestEffortVms);
  }

  private static List<String> place(StepSpec step, int count, Map<String, VmOffer> offers) {
    List<String> placed = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      VmOffer offer =
          Workflows.CHOOSER
              .choose(
                  Workflows.wish(step, ImageHarm.UNKNOWN, Urgency.ORDINARY),
                  offers.values(),
                  unused -> 0)
              .orElseThrow();
      placed.add(offer.place().vm());
      offers.put(offer.place().vm(), offer.after(step, ImageHarm.UNKNOWN));
    }
    return placed;
  }

  @Test
  void smallTasksGoBesideServicesWhileThereIsRoom() {
    StepSpec small = Workflows.step(1, 240, StepSpec.Nature.PLAIN);
    VmOffer idle = Workflows.offer("idle", 16_000, 0, 0);
    assertEquals(
        Optional.of("serving"), choose(small, idle, Workflows.offer("serving", 3_000, 0, 2)));
    assertEquals(Optional.of("idle"), choose(small, idle, Workflows.offer("serving", 300, 200, 2)));
  }

  @Test
  void heavyTasksGoBesideServicesOnlyWhenNothingElseHasRoom() {
    StepSpec heavy = Workflows.step(1, 1_800, Workflows.filling());
    VmOffer withService = Workflows.offer("serving", 9_000, 0, 1);
    assertEquals(
        Optional.of("tight"), choose(heavy, withService, Workflows.offer("tight", 2_000, 6_100, 0)));
    assertEquals(
        Optional.of("serving"), choose(heavy, withService, Workflows.offer("tight", 2_000, 6_300, 0)));
    assertEquals(Optional.of("serving"), choose(heavy, with(withService, 200, 1)));
    assertEquals(Optional.empty(), choose(heavy, with(withService, 201, 1)));
  }

  /** A service task fails through its own fault; apart from its former VM, only the one VM without services has capacity. Guards against moving it there, which made heavy workflows late for the rest of the day, because that VM had done half of their work. */
  @Test
  void aServiceThatFailedDoesNotTakeTheVmThatHasNone() {
    StepSpec service = Workflows.step(1, 3_200, Workflows.lasting(125));
    VmOffer free = Workflows.offer("free", 16_000, 0, 0);
    VmOffer former = Workflows.offer("former", 3_300, 0, 4);
    VmOffer packed = Workflows.offer("packed", 3_300, 0, 3);
    assertFalse(VmChooser.isWorthLeaving(service, Optional.of(free), Optional.of(former)));
    assertTrue(VmChooser.isWorthLeaving(service, Optional.of(packed), Optional.of(former)));
    assertTrue(VmChooser.isWorthLeaving(service, Optional.of(free), Optional.empty()));
    assertFalse(VmChooser.isWorthLeaving(service, Optional.empty(), Optional.of(former)));
    StepSpec plain = Workflows.step(1, 240, StepSpec.Nature.PLAIN);
    assertTrue(VmChooser.isWorthLeaving(plain, Optional.of(free), Optional.of(former)));
  }

  /** Processors that services leave idle are a large part of the capacity, and benign tasks should use them. */
  @Test
  void knownImagesStandWhereTheyDoNoHarm() {
    StepSpec heavy = Workflows.step(1, 1_800, Workflows.filling());
    List<VmOffer> offers =
        List.of(Workflows.offer("serving", 3_000, 0, 4), Workflows.offer("free", 12_000, 0, 0));
    assertEquals("serving", choose(heavy, ImageHarm.HARMLESS, offers).orElseThrow());
    assertEquals("free", choose(heavy, ImageHarm.UNKNOWN, offers).orElseThrow());
    assertEquals("free", choose(heavy, ImageHarm.HARMFUL, offers).orElseThrow());
    List<VmOffer> onlyServing = offers.subList(0, 1);
    assertEquals("serving", choose(heavy, ImageHarm.UNKNOWN, onlyServing).orElseThrow());
    assertEquals("serving", choose(heavy, ImageHarm.HARMFUL, onlyServing).orElseThrow());
    List<VmOffer> withOne = List.of(onlyServing.get(0).after(heavy, ImageHarm.HARMFUL));
    assertEquals(Optional.empty(), choose(heavy, ImageHarm.UNKNOWN, withOne));
    assertEquals(Optional.empty(), choose(heavy, ImageHarm.HARMFUL, withOne));
    assertEquals("serving", choose(heavy, ImageHarm.HARMLESS, withOne).orElseThrow());
  }

  /** Guards against bursts of heavy workflows in which half of the tasks of each run beside services at a third of their speed, so that each workflow is as late as its slowest task. A workflow that can be in time only at full speed waits for a VM without services; one that is late anyway takes what is left. */
  @Test
  void whoIsInAHurryIsNotSlowedDown() {
    StepSpec heavy = Workflows.step(1, 1_800, Workflows.filling());
    VmOffer serving = Workflows.offer("serving", 3_000, 0, 4);
    VmOffer full = Workflows.offer("full", 500, 6_000, 0);
    List<VmOffer> both = List.of(serving, full);
    assertEquals(Optional.empty(), hurried(heavy, ImageHarm.UNKNOWN, both));
    assertEquals("serving", choose(heavy, ImageHarm.UNKNOWN, both).orElseThrow());
    assertEquals("serving", hurried(heavy, ImageHarm.HARMLESS, both).orElseThrow());
    assertEquals("serving", hurried(heavy, ImageHarm.UNKNOWN, List.of(serving)).orElseThrow());
  }

  /** Most of the capacity was free, but each VM had a service with as many best-effort tasks beside it as it tolerates. Guards against workflows without running tasks that wait forever; each must get one task to run somewhere. */
  @Test
  void aWorkflowWithNothingAtWorkGetsAnyPlace() {
    StepSpec heavy = Workflows.step(1, 1_800, Workflows.filling());
    VmOffer crowded = with(Workflows.offer("crowded", 3_000, 9_000, 1), 9_000, 1);
    assertEquals(Optional.empty(), choose(heavy, crowded));
    Optional<VmOffer> starved =
        Workflows.CHOOSER.choose(
            Workflows.wish(heavy, 1, Urgency.STARVED), List.of(crowded), offer -> 0);
    assertEquals("crowded", starved.orElseThrow().place().vm());
  }

  @Test
  void aFleetIsRoomyWhileTwoFifthsAreNotBooked() {
    VmOffer full = Workflows.offer("full", 0, 0, 5);
    assertTrue(VmOffer.isRoomy(List.of(full, Workflows.offer("free", 12_800, 0, 0))));
    assertFalse(VmOffer.isRoomy(List.of(full, Workflows.offer("free", 12_700, 0, 0))));
  }

  private static Optional<String> hurried(StepSpec step, double interference, List<VmOffer> offers) {
    return Workflows.CHOOSER
        .choose(Workflows.wish(step, interference, Urgency.HURRIED), offers, offer -> 0)
        .map(offer -> offer.place().vm());
  }

  private static Optional<String> choose(StepSpec step, double interference, List<VmOffer> offers) {
    return Workflows.CHOOSER
        .choose(Workflows.wish(step, interference, Urgency.ORDINARY), offers, offer -> 0)
        .map(offer -> offer.place().vm());
  }

  /** Guards against workflows that are late because tasks that take half as long again on separate racks are spread over racks. The rack of the running tasks counts like VM speed: an idle VM elsewhere loses to a busy one on that rack, but is chosen if it is the only one. */
  @Test
  void tasksThatAreSlowerApartStandOnOneRack() {
    StepSpec small = Workflows.step(1, 240, StepSpec.Nature.PLAIN);
    PlacementWish wish =
        new PlacementWish(Workflows.spec(small), small, 0, Urgency.ORDINARY, "rack-busy");
    VmOffer idle = Workflows.offer("idle", 16_000, 0, 0);
    VmOffer busy = Workflows.offer("busy", 300, 0, 0);
    Optional<VmOffer> both = Workflows.CHOOSER.choose(wish, List.of(idle, busy), offer -> 0);
    assertEquals("busy", both.orElseThrow().place().vm());
    Optional<VmOffer> one = Workflows.CHOOSER.choose(wish, List.of(idle), offer -> 0);
    assertEquals("idle", one.orElseThrow().place().vm());
  }

  @Test
  void aSlowVmIsTheLastChoice() {
    StepSpec small = Workflows.step(1, 240, StepSpec.Nature.PLAIN);
    VmOffer slow = with(Workflows.offer("slow", 16_000, 0, 0), 0, 6);
    assertEquals(Optional.of("full"), choose(small, slow, Workflows.offer("full", 500, 0, 0)));
    assertEquals(Optional.of("slow"), choose(small, slow));
  }

  @Test
  void aVmWithoutRoomLabelOrServiceIsNoChoice() {
    StepSpec big = Workflows.step(1, 5_000, StepSpec.Nature.PLAIN);
    assertEquals(Optional.empty(), choose(big, Workflows.offer("vm", 4_999, 0, 0)));
    StepSpec.Placement labelled = new StepSpec.Placement("rack-b", "", false, 0);
    StepSpec onlyThere =
        new StepSpec(1, big.sizes(), 1, ImmutableList.of(), labelled, StepSpec.Nature.PLAIN);
    VmOffer a = Workflows.offer("a", 9_000, 0, 0);
    VmOffer b = Workflows.offer("b", 6_000, 0, 0);
    assertEquals(Optional.of("b"), choose(onlyThere, a, b));
    assertEquals(Optional.empty(), choose(onlyThere, ofService("another", b)));
  }

  private static VmOffer ofService(String service, VmOffer offer) {
    return new VmOffer(
        offer.place(),
        service,
        offer.labels(),
        offer.rack(),
        offer.capacity(),
        offer.free(),
        offer.fillMilliProcessors(),
        offer.suspectMilliProcessors(),
        offer.overcommitMilliProcessors(),
        offer.serving(),
        offer.slowness());
  }

  @Test
  void spreadLimitHolds() {
    StepSpec.Placement spread = new StepSpec.Placement("", "", false, 1);
    StepSpec plain = Workflows.step(2, 100, StepSpec.Nature.PLAIN);
    StepSpec step = new StepSpec(2, plain.sizes(), 1, ImmutableList.of(), spread, plain.nature());
    VmOffer a = Workflows.offer("a", 9_000, 0, 0);
    VmOffer b = Workflows.offer("b", 6_000, 0, 0);
    Optional<VmOffer> chosen =
        Workflows.CHOOSER.choose(
            Workflows.wish(step, 0, Urgency.ORDINARY),
            List.of(a, b),
            offer -> offer.place().vm().equals("a") ? 1 : 0);
    assertEquals("b", chosen.orElseThrow().place().vm());
  }

  private static Verdict verdict(StepSpec step, VmOffer offer, int ofStepOn) {
    PlacementWish wish = Workflows.wish(step, ImageHarm.UNKNOWN, Urgency.ORDINARY);
    return VmChooser.verdict(wish, offer, unused -> ofStepOn);
  }

  private static StepSpec placed(StepSpec step, StepSpec.Placement placement) {
    return new StepSpec(1, step.sizes(), 1, ImmutableList.of(), placement, step.nature());
  }

  /** The verdicts that engineers read of a task that no VM admits are those that the choice uses. */
  @Test
  void aVmThatIsNoChoiceSaysWhy() {
    StepSpec plain = Workflows.step(1, 5_000, StepSpec.Nature.PLAIN);
    StepSpec heavy = Workflows.step(1, 5_000, Workflows.filling());
    VmOffer free = Workflows.offer("a", 9_000, 0, 0);
    StepSpec labelled = placed(plain, new StepSpec.Placement("rack-b", "", false, 0));
    StepSpec spread = placed(plain, new StepSpec.Placement("", "", false, 2));
    assertEquals(Verdict.ADMITTED, verdict(plain, free, 7));
    assertEquals(Verdict.NO_LABEL, verdict(labelled, free, 0));
    assertEquals(Verdict.NO_ROOM, verdict(plain, Workflows.offer("a", 4_999, 0, 0), 0));
    assertEquals(Verdict.CROWDED, verdict(heavy, Workflows.offer("a", 9_000, 20_000, 0), 0));
    assertEquals(Verdict.ADMITTED, verdict(spread, free, 1));
    assertEquals(Verdict.ENOUGH_OF_STEP, verdict(spread, free, 2));
  }
}
