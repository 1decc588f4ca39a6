package io.marigoldsail.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class TaskTableTest {
  private static final Sizes CAPACITY = new Sizes(2_000, 1_000, 0);
  private static final Sizes HALF = new Sizes(1_000, 500, 0);

  private long position = -1;
  private final TaskTable table = new TaskTable();

  private long apply(TaskRecord record) {
    position++;
    table.apply(position, record);
    return position;
  }

  private long join(String vm, long boot) {
    return apply(new TaskRecord.VmJoined(new VmDescription(vm, boot, CAPACITY, "zone", "rack")));
  }

  private void accept(int count, boolean idempotent) {
    apply(
        new TaskRecord.JobAccepted(
            new JobSpec(
                "payout",
                "team",
                TaskClass.BATCH,
                count,
                HALF,
                "run",
                1,
                false,
                0,
                idempotent,
                0,
                Spread.NONE),
            0));
  }

  private long claim(int index, int attempt, String vm, long registration) {
    return apply(
        new TaskRecord.Claimed(
            "payout/" + index, attempt, vm, registration, HALF, 1_000, "entry-1"));
  }

  private void acceptUrgent(int count) {
    apply(
        new TaskRecord.JobAccepted(
            new JobSpec(
                "now",
                "team",
                TaskClass.BATCH,
                count,
                HALF,
                "run",
                1,
                true,
                0,
                true,
                0,
                Spread.NONE),
            0));
  }

  private long preempt(String task, long registration, int victim, long token, long replaces) {
    return apply(
        new TaskRecord.Preempted(
            task,
            1,
            "vm-1",
            registration,
            HALF,
            List.of(new Preemption.Victim("payout/" + victim, token)),
            replaces,
            "entry-1"));
  }

  private boolean claimUrgent(String task, long registration) {
    return table.apply(
        ++position, new TaskRecord.Claimed(task, 1, "vm-1", registration, HALF, 1_000, "entry-1"));
  }

  private TaskState task(int index) {
    return table.task("payout/" + index).orElseThrow();
  }

  /**
   * Three entries race on stale views while VMs die and are replaced by smaller ones, reports come
   * late and doubled, and jobs are cancelled. At every step no VM holds more than it has, no task
   * runs in two places, each attempt resumes once from the last checkpoint; in the end every task
   * has ended and every reader has the same state.
   */
  @Property(tries = 400, seed = "4211")
  void invariantsHoldUnderAnyInterleaving(
      @ForAll long seed,
      @ForAll @Size(max = 300) List<@IntRange(max = 1_000_000) Integer> choices) {
    StaleEntriesModel model = new StaleEntriesModel(seed);
    choices.forEach(model::step);
    model.checkDeterminism();
    model.runToCompletion();
  }

  /** Two entries claim the last room on one VM at once; the second claim in the log loses. */
  @Test
  void theFirstClaimInTheLogIsAccepted() {
    long vm = join("vm-1", 1);
    accept(3, true);
    long first = claim(0, 1, "vm-1", vm);
    claim(1, 1, "vm-1", vm);
    claim(2, 1, "vm-1", vm);
    claim(0, 1, "vm-1", vm);

    assertTrue(task(0).isClaimedWith(first));
    assertEquals(TaskState.Phase.WAITING, task(2).phase());
    assertEquals(CAPACITY, table.vm("vm-1").orElseThrow().booked());
  }

  /**
   * Two entries see the same urgent task wait and each choose another victim. Were both folded in,
   * two tasks would lose work for one; the first in the log has its way.
   */
  @Test
  void onlyOnePreemptionForAnUrgentTaskIsAccepted() {
    long vm = join("vm-1", 1);
    accept(2, true);
    long first = claim(0, 1, "vm-1", vm);
    long second = claim(1, 1, "vm-1", vm);
    acceptUrgent(2);
    long accepted = preempt("now/0", vm, 0, first, 0);
    preempt("now/0", vm, 1, second, 0);
    preempt("now/1", vm, 1, second, 0);
    assertEquals(List.of(accepted), positions());

    long inItsPlace = preempt("now/0", vm, 1, second, accepted);
    preempt("now/0", vm, 0, first, accepted);
    assertEquals(List.of(inItsPlace), positions());
  }

  private List<Long> positions() {
    return table.preemptions().stream().map(Preemption::position).toList();
  }

  /**
   * A victim has left for an urgent task, and another entry's claim for batch work, made on a stale
   * view, comes first. It would take the room that work was lost for; it loses.
   */
  @Test
  void freedCapacityIsReservedForTheUrgentTask() {
    long vm = join("vm-1", 1);
    accept(3, true);
    long first = claim(0, 1, "vm-1", vm);
    claim(1, 1, "vm-1", vm);
    acceptUrgent(2);
    preempt("now/0", vm, 0, first, 0);
    apply(new TaskRecord.Released("payout/0", first, ReleaseCause.EVICTED, "c1", "urgent"));
    claim(2, 1, "vm-1", vm);
    claim(0, 2, "vm-1", vm);

    assertEquals(TaskState.Phase.WAITING, task(2).phase());
    assertEquals(TaskState.Phase.WAITING, task(0).phase());
    assertFalse(claimUrgent("now/1", vm));
    assertTrue(claimUrgent("now/0", vm));
    assertEquals(List.of(), positions());
  }

  /**
   * The urgent task is cancelled, or its VM revoked, while victims leave. The room must not stay
   * kept for ever.
   */
  @Test
  void aPreemptionEndsWithItsTaskAndItsVm() {
    long vm = join("vm-1", 1);
    accept(1, true);
    long first = claim(0, 1, "vm-1", vm);
    acceptUrgent(1);
    preempt("now/0", vm, 0, first, 0);
    apply(new TaskRecord.VmRevoked("vm-1", vm, "silent"));
    assertEquals(List.of(), positions());

    long again = join("vm-1", 2);
    long second = claim(0, 1, "vm-1", again);
    assertFalse(task(0).isClaimedWith(second));
    preempt("now/0", again, 0, first, 0);
    assertEquals(List.of(), positions());
    apply(new TaskRecord.Preempted("now/0", 1, "vm-1", again, HALF, List.of(), 0, "entry-1"));
    assertEquals(1, positions().size());
    apply(new TaskRecord.JobCancelled("now", "wave"));
    assertEquals(List.of(), positions());
  }

  /**
   * Two entries claim for one team at once, each within its quota by its own view. Both were
   * accepted, and the team held more than the configuration allows; now the second claim loses.
   */
  @Test
  void racingClaimsDoNotExceedATeamsQuota() {
    long vm = join("vm-1", 1);
    accept(2, true);
    apply(new TaskRecord.Claimed("payout/0", 1, "vm-1", vm, HALF, 1_000, "entry-1", HALF));
    apply(new TaskRecord.Claimed("payout/1", 1, "vm-1", vm, HALF, 1_000, "entry-2", HALF));

    assertEquals(HALF, table.bookedByTeam().get("team"));
    assertEquals(TaskState.Phase.WAITING, task(1).phase());
  }

  /**
   * An evicted task runs again elsewhere when its release is written a second time, late. Folding
   * the second one would free the task while it runs, and let a third attempt start beside it.
   */
  @Test
  void aLateReleaseOfAnOlderAttemptChangesNothing() {
    long vm = join("vm-1", 1);
    accept(1, true);
    long first = claim(0, 1, "vm-1", vm);
    TaskRecord release =
        new TaskRecord.Released("payout/0", first, ReleaseCause.EVICTED, "c1", "noisy");
    apply(release);
    long second = claim(0, 2, "vm-1", vm);
    apply(release);

    assertTrue(task(0).isClaimedWith(second));
    assertEquals("c1", task(0).checkpoint());
    assertEquals(1, task(0).evictions());
  }

  /** A revoked VM may not join again under the same boot before its leases are surely over. */
  @Test
  void aRevokedBootJoinsAgainOnlyAfterItIsCleared() {
    long vm = join("vm-1", 1);
    accept(1, true);
    claim(0, 1, "vm-1", vm);
    apply(new TaskRecord.VmRevoked("vm-1", vm, "silent"));
    join("vm-1", 1);
    assertTrue(table.vm("vm-1").isEmpty());

    apply(new TaskRecord.VmCleared("vm-1", vm, 1_000));
    long again = join("vm-1", 1);
    assertEquals(again, table.vm("vm-1").orElseThrow().registration());
    assertEquals(TaskState.Phase.WAITING, task(0).phase());
  }

  /**
   * A record of an old boot's joining comes late, or twice. Found by {@link
   * #invariantsHoldUnderAnyInterleaving}: it displaced the new boot, whose tasks lost their leases.
   */
  @Test
  void anEarlierBootDoesNotDisplaceALaterOne() {
    join("vm-1", 1);
    long vm = join("vm-1", 2);
    join("vm-1", 1);

    assertEquals(vm, table.vm("vm-1").orElseThrow().registration());
  }

  /** An entry that has not read a revocation yet claims on that VM; the log knows better. */
  @Test
  void aClaimOnARevokedVmIsRejected() {
    long vm = join("vm-1", 1);
    accept(2, true);
    claim(0, 1, "vm-1", vm);
    apply(new TaskRecord.VmRevoked("vm-1", vm, "silent"));
    claim(1, 1, "vm-1", vm);

    assertEquals(TaskState.Phase.WAITING, task(1).phase());
  }

  /** A claim for an attempt that is over, read late or twice, must not start the next one. */
  @Test
  void aClaimForAnEarlierAttemptIsRejected() {
    long vm = join("vm-1", 1);
    accept(1, true);
    long first = claim(0, 1, "vm-1", vm);
    apply(new TaskRecord.Released("payout/0", first, ReleaseCause.EVICTED, "c1", "noisy"));
    claim(0, 1, "vm-1", vm);

    assertEquals(TaskState.Phase.WAITING, task(0).phase());
  }

  /** Leases that may still last are not cleared by the wait for shorter ones. */
  @Test
  void clearingShortLeasesKeepsLongerOnes() {
    long vm = join("vm-1", 1);
    accept(1, true);
    claim(0, 1, "vm-1", vm);
    apply(new TaskRecord.VmRevoked("vm-1", vm, "silent"));
    apply(new TaskRecord.VmCleared("vm-1", vm, 999));

    assertEquals(TaskState.Phase.CLAIMED, task(0).phase());
  }

  /** A task that must not run twice ends, with the reason, when its VM is lost while it may run. */
  @Test
  void aNonIdempotentTaskIsNotRunAgain() {
    long vm = join("vm-1", 1);
    accept(1, false);
    claim(0, 1, "vm-1", vm);
    apply(new TaskRecord.VmRevoked("vm-1", vm, "silent"));
    apply(new TaskRecord.VmCleared("vm-1", vm, 1_000));

    assertEquals(TaskState.Phase.FAILED, task(0).phase());
    assertTrue(task(0).detail().contains("must not run twice"));
  }

  @Test
  void aSecondJobOfTheSameNameChangesNothing() {
    accept(1, true);
    accept(2, true);

    assertEquals(1, table.job("payout").orElseThrow().spec().count());
  }

  @Test
  void malformedTaskNamesAreUnknown() {
    accept(2, true);

    for (String name : List.of("payout/2", "payout/00", "payout/", "payout", "payout/-1", "x/0")) {
      assertTrue(table.task(name).isEmpty(), name);
    }
  }

  /**
   * A VM is replaced twice while tasks of its first boot wait for their leases. An entry started
   * from a snapshot had the first boot among the displaced twice, the others once: dropping the
   * last registration forgot the older one that a restored table still knew. Such doubles push
   * boots out of the bounded list early, and an old boot could displace a new one there.
   */
  @Test
  void aRestoredTableHasTheSameDisplacedBoots() {
    long first = join("vm-1", 1);
    accept(1, true);
    claim(0, 1, "vm-1", first);
    long second = join("vm-1", 2);
    apply(new TaskRecord.VmRevoked("vm-1", second, "silent"));
    TaskTable restored = new TaskTable();
    restored.restore(table.snapshot());
    long third = join("vm-1", 3);
    restored.apply(
        third, new TaskRecord.VmJoined(new VmDescription("vm-1", 3, CAPACITY, "zone", "rack")));

    assertEquals(table.snapshot(), restored.snapshot());
    assertEquals(List.of(1L), table.snapshot().displaced().get("vm-1"));
  }

  @Test
  void anInconsistentSnapshotChangesNothing() {
    accept(1, true);
    TaskState claimed =
        TaskState.accepted("other/0")
            .asClaimed(new TaskRecord.Claimed("other/0", 1, "vm-9", 7, HALF, 1_000, "entry-1"), 8);
    JobSpec other =
        new JobSpec(
            "other", "team", TaskClass.BATCH, 1, HALF, "run", 1, false, 0, true, 0, Spread.NONE);
    TaskTableSnapshot broken =
        new TaskTableSnapshot(
            9,
            List.of(new TaskTableSnapshot.Job(other, 1, 0, "", List.of(claimed))),
            List.of(),
            List.of(),
            Map.of(),
            List.of());

    assertThrows(IllegalArgumentException.class, () -> table.restore(broken));
    assertTrue(table.job("payout").isPresent());
    assertFalse(table.job("other").isPresent());
  }
}
