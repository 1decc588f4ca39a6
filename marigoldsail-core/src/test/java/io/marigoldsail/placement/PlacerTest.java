package io.marigoldsail.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.job.JobSpec;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.job.Spread;
import io.marigoldsail.job.TaskClass;
import io.marigoldsail.job.TaskRecord;
import io.marigoldsail.job.TaskTable;
import io.marigoldsail.job.VmDescription;
import io.marigoldsail.job.VmState;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

class PlacerTest {
  private static final Sizes CAPACITY = new Sizes(4_000, 4_000, 0);
  private static final Sizes ONE = new Sizes(1_000, 1_000, 0);

  private final TaskTable table = new TaskTable();
  private final Interference interference = new Interference();
  private final Placer placer = new Placer(new InterferenceCosts(interference), new Random(1));
  private long position;

  private void join(String vm, String rack, Sizes capacity) {
    table.apply(
        position, new TaskRecord.VmJoined(new VmDescription(vm, 1, capacity, "zone", rack)));
    position++;
  }

  private JobSpec accept(String name, String command, int count, Sizes sizes, Spread spread) {
    JobSpec spec =
        new JobSpec(
            name, "team", TaskClass.BATCH, count, sizes, command, 1, false, 0, true, 0, spread);
    table.apply(position, new TaskRecord.JobAccepted(spec, 0));
    position++;
    return spec;
  }

  private Fleet fleet() {
    return new Fleet(table.vms(), vm -> true, table::programsOn);
  }

  /** Places all tasks of a job and returns how many came to each VM. */
  private Map<String, Integer> placeAll(JobSpec spec, Fleet fleet) {
    placer.beginRound();
    Map<String, Integer> counts = new HashMap<>();
    Map<String, Integer> inGroup = new HashMap<>();
    for (int index = 0; index < spec.count(); index++) {
      PlacementRequest request =
          new PlacementRequest(
              spec, table.task(spec.taskName(index)).orElseThrow(), spec.sizes(), inGroup);
      if (placer.place(request, fleet) instanceof PlacementDecision.Chosen chosen) {
        VmState vm = chosen.candidate().state();
        fleet.allocate(vm.registration(), spec.program(), spec.sizes());
        counts.merge(vm.vm(), 1, Integer::sum);
        inGroup.merge(spec.spread().groupOf(vm.description()), 1, Integer::sum);
      }
    }
    return counts;
  }

  @Test
  void spreadsLoadWithinCapacity() {
    join("vm-1", "r1", CAPACITY);
    join("vm-2", "r2", CAPACITY);

    assertEquals(
        Map.of("vm-1", 2, "vm-2", 2), placeAll(accept("a", "x", 4, ONE, Spread.NONE), fleet()));
    assertEquals(
        Map.of("vm-1", 4, "vm-2", 4), placeAll(accept("b", "x", 20, ONE, Spread.NONE), fleet()));
  }

  /** Two of three VMs share a rack; half of a job that spreads over racks goes to the third. */
  @Test
  void spreadsOverRacks() {
    join("vm-1", "r1", CAPACITY);
    join("vm-2", "r1", CAPACITY);
    join("vm-3", "r2", CAPACITY);

    Map<String, Integer> counts = placeAll(accept("a", "x", 4, ONE, Spread.RACK), fleet());
    assertEquals(2, counts.get("vm-3"));
  }

  /** A VM with accelerators is kept for tasks that need them, as long as others have room. */
  @Test
  void avoidsVmsWithAccelerators() {
    join("vm-1", "r1", new Sizes(8_000, 8_000, 2));
    join("vm-2", "r1", CAPACITY);

    assertEquals(Map.of("vm-2", 4), placeAll(accept("a", "x", 4, ONE, Spread.NONE), fleet()));
  }

  /** A program that was seen to slow another is not put beside it again while there is a choice. */
  @Test
  void separatesInterferingPrograms() {
    join("vm-1", "r1", CAPACITY);
    join("vm-2", "r1", CAPACITY);
    accept("victim", "victim", 1, ONE, Spread.NONE);
    long registration = table.vm("vm-1").orElseThrow().registration();
    table.apply(
        position,
        new TaskRecord.Claimed("victim/0", 1, "vm-1", registration, ONE, 1_000, "entry-1"));
    position++;
    for (int i = 0; i < 50; i++) {
      interference.recordMeasurement("team/victim", Map.of("team/noisy", 1.0), 2);
    }

    assertEquals(Map.of("vm-2", 3), placeAll(accept("n", "noisy", 3, ONE, Spread.NONE), fleet()));
  }

  @Test
  void reportsWhyAJobIsInfeasible() {
    join("vm-1", "r1", CAPACITY);

    assertTrue(
        Fleet.infeasibilityReason(table.vms(), new Sizes(1, 1, 1))
            .orElseThrow()
            .contains("accelerators"));
    assertTrue(
        Fleet.infeasibilityReason(table.vms(), new Sizes(1, 5_000, 0))
            .orElseThrow()
            .contains("memory"));
    assertTrue(
        Fleet.infeasibilityReason(table.vms(), new Sizes(5_000, 1, 0))
            .orElseThrow()
            .contains("processor"));
    assertEquals(Optional.empty(), Fleet.infeasibilityReason(table.vms(), CAPACITY));
    assertEquals(Optional.empty(), Fleet.infeasibilityReason(List.of(), new Sizes(9_999, 1, 0)));
  }

  /** Sizes are declared ten times too large, then ten times too small. */
  @Test
  void booksMeasuredUsage() {
    SizeEstimates estimates = new SizeEstimates();
    JobSpec spec = accept("a", "x now", 1, new Sizes(10_000, 10_000, 1), Spread.NONE);
    assertEquals(spec.sizes(), estimates.booking(spec));
    for (int i = 0; i < SizeEstimates.MIN_MEASUREMENTS; i++) {
      estimates.recordUsage("team/x", new Sizes(2_000, 1_000, 0));
    }
    assertEquals(new Sizes(2_300, 10_000, 1), estimates.booking(spec));

    estimates.recordUsage("team/x", new Sizes(20_000, 100_000, 0));
    assertEquals(new Sizes(20_000, 110_000, 1), estimates.booking(spec));
  }
}
