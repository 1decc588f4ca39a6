package io.marigoldsail.guard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.job.Preemption;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.job.TaskClass;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class PreemptorTest {
  private static final Sizes HALF = new Sizes(1_000, 500, 0);
  private static final Sizes WHOLE = new Sizes(2_000, 1_000, 0);
  private static final long HOUR_NANOS = 3_600_000_000_000L;
  private static final long SOON_MILLIS = 60_000;

  private final Preemptor preemptor = new Preemptor();

  private static PreemptableTask task(int token, long unsavedMillis) {
    return task(token, TaskClass.BATCH, false, unsavedMillis, 0, 0);
  }

  private static PreemptableTask task(
      int token, TaskClass taskClass, boolean urgent, long unsavedMillis, long due, int evictions) {
    return new PreemptableTask(
        "t/" + token, token, taskClass, urgent, true, HALF, unsavedMillis, due, evictions);
  }

  private static PreemptableVm vm(String name, Sizes free, PreemptableTask... tasks) {
    return new PreemptableVm(name, 1, free, Arrays.asList(tasks));
  }

  private Optional<Preemptor.Choice> decide(GuardPolicy terms, Sizes wanted, PreemptableVm... vms) {
    return preemptor.decide(terms, wanted, Arrays.asList(vms), 0, 0);
  }

  private List<Long> victims(Sizes wanted, PreemptableVm... vms) {
    return decide(GuardPolicy.VATULELE, wanted, vms)
        .map(choice -> choice.victims().stream().map(Preemption.Victim::token).toList())
        .orElse(List.of());
  }

  @Test
  void preemptsTheTaskWithLeastLostWork() {
    PreemptableVm old = vm("vm-1", Sizes.NONE, task(1, 60_000), task(2, 30_000));
    PreemptableVm saved = vm("vm-2", Sizes.NONE, task(3, 40_000), task(4, 2_000));

    assertEquals(List.of(4L), victims(HALF, old, saved));
  }

  @Test
  void sparesTasksThatAreDueSoonOrWereEvictedBefore() {
    PreemptableTask dueSoon = task(1, TaskClass.BATCH, false, 0, SOON_MILLIS, 0);
    PreemptableTask wentBefore = task(2, TaskClass.BATCH, false, 0, 0, 2);

    assertEquals(
        List.of(3L), victims(HALF, vm("vm-1", Sizes.NONE, dueSoon, wentBefore, task(3, 9_000))));
  }

  @Test
  void preemptsTheTaskThatIsDueLast() {
    PreemptableTask sooner = task(1, TaskClass.BATCH, false, 0, 10_000_000, 0);
    PreemptableTask later = task(2, TaskClass.BATCH, false, 0, 20_000_000, 0);

    assertEquals(List.of(2L), victims(HALF, vm("vm-1", Sizes.NONE, sooner, later)));
  }

  /** Latency-critical and urgent tasks never go, nor one that has gone three times. */
  @Test
  void preemptsOnlyNonUrgentBatchTasks() {
    PreemptableTask critical = task(1, TaskClass.LATENCY_CRITICAL, false, 0, 0, 0);
    PreemptableTask urgent = task(2, TaskClass.BATCH, true, 0, 0, 0);
    PreemptableTask worn = task(3, TaskClass.BATCH, false, 0, 0, Preemptor.MAX_EVICTIONS);

    assertEquals(List.of(), victims(HALF, vm("vm-1", Sizes.NONE, critical, urgent, worn)));
  }

  /** No more go than are needed, and never so many that a VM is emptied for one task. */
  @Test
  void preemptsNoMoreThanNeeded() {
    PreemptableTask[] small =
        IntStream.range(1, 9).mapToObj(i -> task(i, i)).toArray(PreemptableTask[]::new);

    assertEquals(List.of(1L, 2L), victims(WHOLE, vm("vm-1", Sizes.NONE, small)));
    assertEquals(List.of(1L), victims(WHOLE, vm("vm-1", HALF, small)));
    assertEquals(List.of(), victims(new Sizes(6_000, 1_000, 0), vm("vm-1", HALF, small)));
  }

  /**
   * Urgent tasks come one after the other. A VM whose budget is used up, by the guard's evictions
   * too, is left alone until it has refilled, so that no wave of evictions results.
   */
  @Test
  void skipsVmsWithoutEvictionBudget() {
    PreemptableVm cheap = vm("vm-1", Sizes.NONE, task(1, 0));
    PreemptableVm dear = vm("vm-2", Sizes.NONE, task(2, 60_000));
    IntStream.range(0, 3).forEach(i -> preemptor.recordEviction(GuardPolicy.VATULELE, "vm-1", 0));

    assertEquals(List.of(2L), victims(HALF, cheap, dear));
    assertEquals(List.of(), victims(HALF, cheap));
    assertTrue(
        preemptor
            .decide(GuardPolicy.VATULELE, HALF, List.of(cheap), HOUR_NANOS / 10, 0)
            .isPresent());
  }

  /** Where evictions weigh more, one that loses more work is better than two. */
  @Test
  void weighsEvictionsAgainstLostWork() {
    PreemptableVm two = vm("vm-1", Sizes.NONE, task(1, 0), task(2, 0));
    PreemptableTask large =
        new PreemptableTask("t/3", 3, TaskClass.BATCH, false, true, WHOLE, 35_000, 0, 0);
    PreemptableVm one = vm("vm-2", Sizes.NONE, large);

    assertEquals("vm-1", decide(GuardPolicy.VATULELE, WHOLE, two, one).orElseThrow().vm().vm());
    assertEquals("vm-2", decide(GuardPolicy.KITAMIZORA, WHOLE, two, one).orElseThrow().vm().vm());
  }
}
