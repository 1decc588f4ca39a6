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
   * Three entries with stale views write claims and preemptions while VMs die and are replaced by
   * smaller ones, reports arrive late and twice, and jobs are cancelled. At every step no VM is
   * booked beyond its capacity, no task runs in two places, and each attempt resumes from the last
   * checkpoint. In the end every task has ended and all readers have the same state.
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

  /**
   * Entries claim the last capacity of a VM at once. The later claims in the log have no effect.
   */
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
   * Two entries see the same urgent task wait and choose different victims. If both preemptions
   * took effect, two tasks would lose work for one; only the first in the log does.
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

    long replacement = preempt("now/0", vm, 1, second, accepted);
    preempt("now/0", vm, 0, first, accepted);
    assertEquals(List.of(replacement), positions());
  }

  private List<Long> positions() {
    return table.preemptions().stream().map(Preemption::position).toList();
  }

  /**
   * A victim was evicted for an urgent task, and another entry's claim for a batch task, made on a
   * stale view, comes first in the log. It must not take the freed capacity.
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
   * The urgent task is cancelled, or its VM is revoked, before all victims have stopped. The
   * capacity must not stay reserved forever.
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
   * Two entries claim tasks of one team at once, each within the quota by its own view. If both
   * claims took effect, the team would exceed its quota; the second one must not.
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
   * The release of an evicted task is written again after its next attempt has started. Applying
   * the duplicate would release the running attempt and let a third one start beside it.
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

  /** A revoked boot may not join again before its leases must have expired. */
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
   * The join record of an old boot is written late or twice. It must not displace the new boot,
   * whose tasks would lose their leases.
   */
  @Test
  void anEarlierBootDoesNotDisplaceALaterOne() {
    join("vm-1", 1);
    long vm = join("vm-1", 2);
    join("vm-1", 1);

    assertEquals(vm, table.vm("vm-1").orElseThrow().registration());
  }

  /** An entry that has not read a revocation yet writes a claim on that VM. */
  @Test
  void aClaimOnARevokedVmIsRejected() {
    long vm = join("vm-1", 1);
    accept(2, true);
    claim(0, 1, "vm-1", vm);
    apply(new TaskRecord.VmRevoked("vm-1", vm, "silent"));
    claim(1, 1, "vm-1", vm);

    assertEquals(TaskState.Phase.WAITING, task(1).phase());
  }

  /** A late or duplicate claim for an attempt that has ended must not start the next attempt. */
  @Test
  void aClaimForAnEarlierAttemptIsRejected() {
    long vm = join("vm-1", 1);
    accept(1, true);
    long first = claim(0, 1, "vm-1", vm);
    apply(new TaskRecord.Released("payout/0", first, ReleaseCause.EVICTED, "c1", "noisy"));
    claim(0, 1, "vm-1", vm);

    assertEquals(TaskState.Phase.WAITING, task(0).phase());
  }

  /** A clear record for short leases must not release tasks whose longer leases may still last. */
  @Test
  void clearingShortLeasesKeepsLongerOnes() {
    long vm = join("vm-1", 1);
    accept(1, true);
    claim(0, 1, "vm-1", vm);
    apply(new TaskRecord.VmRevoked("vm-1", vm, "silent"));
    apply(new TaskRecord.VmCleared("vm-1", vm, 999));

    assertEquals(TaskState.Phase.CLAIMED, task(0).phase());
  }

  /** A non-idempotent task ends as failed, with the reason, if its VM is lost while it may run. */
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
   * A VM is replaced twice while tasks of its first boot wait for their leases to expire. When the
   * latest registration is removed, the older one must become the latest, as it does in a table
   * restored from a snapshot. Otherwise the restored table lists the first boot as displaced twice.
   * Duplicates evict boots from the bounded list early, and an old boot could then displace a new
   * one in that table only.
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
    TaskTableSnapshot inconsistent =
        new TaskTableSnapshot(
            9,
            List.of(new TaskTableSnapshot.Job(other, 1, 0, "", List.of(claimed))),
            List.of(),
            List.of(),
            Map.of(),
            List.of());

    assertThrows(IllegalArgumentException.class, () -> table.restore(inconsistent));
    assertTrue(table.job("payout").isPresent());
    assertFalse(table.job("other").isPresent());
  }
}
