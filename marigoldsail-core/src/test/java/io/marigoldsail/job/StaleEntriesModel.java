package io.marigoldsail.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * Three entries on stale views of one log, and the VMs that run what the log accepted: every action
 * is a possible step of real processes, in any order. What must hold is checked at each of them.
 */
final class StaleEntriesModel {
  private static final int ENTRIES = 3;
  private static final int VMS = 3;
  private static final Sizes CAPACITY = new Sizes(4_000, 4_000, 1);

  private record Running(String vm, long registration, long token, int progress) {}

  private final Random random;
  private final List<TaskRecord> log = new ArrayList<>();
  private final TaskTable referenceTable = new TaskTable();
  private final TaskTable[] views = new TaskTable[ENTRIES];
  private final int[] applied = new int[ENTRIES];
  private final Map<String, Running> running = new HashMap<>();
  private final Set<Long> startedTokens = new HashSet<>();
  private final Map<String, Integer> lastCheckpoint = new HashMap<>();
  private final List<TaskRecord> undelivered = new ArrayList<>();
  private int boots;
  private int jobs;

  StaleEntriesModel(long seed) {
    random = new Random(seed);
    for (int entry = 0; entry < ENTRIES; entry++) {
      views[entry] = new TaskTable();
    }
    for (int vm = 0; vm < VMS; vm++) {
      join("vm-" + vm, CAPACITY);
    }
    accept();
  }

  /** Takes the step that the number stands for. */
  void step(int choice) {
    switch (choice % 13) {
      case 0, 1, 2 -> claim(random.nextInt(ENTRIES));
      case 3, 4 -> follow(random.nextInt(ENTRIES), 1 + random.nextInt(6));
      case 5, 6 -> start(random.nextInt(ENTRIES));
      case 7 -> evict();
      case 8 -> end();
      case 9 -> deliverReport();
      case 10 -> duplicateRecord();
      case 11 -> preempt(random.nextInt(ENTRIES));
      default -> rareEvent();
    }
    checkInvariants();
  }

  /** Lets everything settle with no further faults; every task must end. */
  void runToCompletion() {
    for (int round = 0; round < 400 && !referenceTable.jobs().isEmpty(); round++) {
      for (int entry = 0; entry < ENTRIES; entry++) {
        follow(entry, log.size());
      }
      claim(round % ENTRIES);
      follow(round % ENTRIES, log.size());
      start(round % ENTRIES);
      end();
      clearRevoked();
      while (!undelivered.isEmpty()) {
        deliverReport();
      }
      checkInvariants();
    }
    assertEquals(List.of(), referenceTable.jobs());
    assertTrue(running.isEmpty(), () -> "still running: " + running);
  }

  /** All views at one position are one state, and a snapshot carries all of it. */
  void checkDeterminism() {
    for (int entry = 0; entry < ENTRIES; entry++) {
      TaskTable restored = new TaskTable();
      restored.restore(TaskTableSnapshot.fromJson(views[entry].snapshot().toJson()).value());
      for (int at = applied[entry]; at < log.size(); at++) {
        restored.apply(at, log.get(at));
      }
      assertEquals(referenceTable.snapshot().toJson(), restored.snapshot().toJson());
    }
  }

  private void append(TaskRecord record) {
    referenceTable.apply(log.size(), record);
    log.add(record);
  }

  private void accept() {
    jobs++;
    JobSpec spec =
        new JobSpec(
            "job-" + jobs,
            "team-" + jobs % 2,
            TaskClass.BATCH,
            4,
            new Sizes(1_500, 1_000, 0),
            "run",
            1_000,
            jobs % 3 == 0,
            0,
            true,
            100,
            Spread.NONE);
    append(new TaskRecord.JobAccepted(spec, jobs));
  }

  private void join(String vm, Sizes capacity) {
    boots++;
    append(new TaskRecord.VmJoined(new VmDescription(vm, boots, capacity, "zone", "rack")));
  }

  private void follow(int entry, int records) {
    for (int i = 0; i < records && applied[entry] < log.size(); i++) {
      views[entry].apply(applied[entry], log.get(applied[entry]));
      applied[entry]++;
    }
  }

  /** An entry claims what its own view lets it, which the log may know better. */
  private void claim(int entry) {
    for (JobState job : views[entry].jobs()) {
      for (TaskState task : views[entry].waiting(job.spec().name(), 0, 4)) {
        Optional<VmState> vm =
            views[entry].vms().stream()
                .filter(v -> !v.revoked() && job.spec().sizes().fitsIn(v.free()))
                .findFirst();
        if (vm.isPresent() && random.nextBoolean()) {
          append(
              new TaskRecord.Claimed(
                  task.name(),
                  task.attempt(),
                  vm.get().vm(),
                  vm.get().registration(),
                  job.spec().sizes(),
                  1_000,
                  "entry-" + entry));
          return;
        }
      }
    }
  }

  /** An entry wants a task to go for an urgent one, by its own view; it may be the wrong one. */
  private void preempt(int entry) {
    for (JobState job : views[entry].jobs()) {
      for (TaskState task : views[entry].waiting(job.spec().name(), 0, 2)) {
        List<VmState> vms = views[entry].vms();
        VmState vm = vms.get(random.nextInt(vms.size()));
        List<Preemption.Victim> victims =
            views[entry].tasksOn(vm.registration()).stream()
                .limit(2)
                .map(going -> new Preemption.Victim(going.name(), going.token()))
                .toList();
        if (random.nextBoolean()) {
          append(
              new TaskRecord.Preempted(
                  task.name(),
                  task.attempt(),
                  vm.vm(),
                  vm.registration(),
                  job.spec().sizes(),
                  victims,
                  0,
                  "entry-" + entry));
          return;
        }
      }
    }
  }

  /** A side process is told to start what an entry has read back as accepted. */
  private void start(int entry) {
    for (VmState vm : views[entry].vms()) {
      for (TaskState task : views[entry].tasksOn(vm.registration())) {
        boolean registered =
            referenceTable.vms().stream()
                .anyMatch(v -> v.registration() == vm.registration() && !v.revoked());
        if (registered && startedTokens.add(task.token())) {
          startOnWorker(task);
        }
      }
    }
  }

  private void startOnWorker(TaskState task) {
    Running other = running.get(task.name());
    assertNull(other, () -> task + " starts while it runs as " + other);
    int resumes = task.checkpoint().isEmpty() ? 0 : Integer.parseInt(task.checkpoint());
    assertEquals(lastCheckpoint.getOrDefault(task.name(), 0), resumes, () -> "resumes " + task);
    running.put(
        task.name(), new Running(task.vm(), task.registration(), task.token(), resumes + 1));
  }

  private void evict() {
    firstRunning()
        .ifPresent(
            name -> {
              Running attempt = running.remove(name);
              lastCheckpoint.put(name, attempt.progress());
              report(
                  new TaskRecord.Released(
                      name,
                      attempt.token(),
                      ReleaseCause.EVICTED,
                      "" + attempt.progress(),
                      "noisy"));
            });
  }

  private void end() {
    firstRunning()
        .ifPresent(
            name -> {
              Running attempt = running.remove(name);
              boolean success = random.nextInt(4) > 0;
              lastCheckpoint.put(name, attempt.progress());
              report(
                  new TaskRecord.Ended(
                      name, attempt.token(), success, "" + attempt.progress(), "ended"));
            });
  }

  private Optional<String> firstRunning() {
    return running.keySet().stream().sorted().findFirst();
  }

  /** Reports reach the log late, and some of them twice, through two entries. */
  private void report(TaskRecord record) {
    undelivered.add(record);
    if (random.nextInt(3) == 0) {
      undelivered.add(record);
    }
  }

  private void deliverReport() {
    if (!undelivered.isEmpty()) {
      append(undelivered.remove(random.nextInt(undelivered.size())));
    }
  }

  private void duplicateRecord() {
    append(log.get(random.nextInt(log.size())));
  }

  private void rareEvent() {
    int choice = random.nextInt(4);
    if (choice == 0 && jobs < 6) {
      accept();
    } else if (choice == 1) {
      append(new TaskRecord.JobCancelled("job-" + (1 + random.nextInt(jobs)), "wave"));
    } else if (choice == 2) {
      replaceVm(true);
    } else {
      replaceVm(false);
    }
  }

  /** A VM dies silently, or is replaced by one that is half as large. */
  private void replaceVm(boolean smaller) {
    List<VmState> present = referenceTable.vms().stream().filter(vm -> !vm.revoked()).toList();
    if (present.isEmpty()) {
      return;
    }
    VmState vm = present.get(random.nextInt(present.size()));
    append(new TaskRecord.VmRevoked(vm.vm(), vm.registration(), "silent"));
    join(vm.vm(), smaller ? new Sizes(3_100, 2_000, 0) : CAPACITY);
    clearRevoked();
  }

  private void clearRevoked() {
    for (VmState vm : referenceTable.vms()) {
      if (vm.revoked()) {
        // Its leases run out before anybody may write that they are over.
        running.values().removeIf(attempt -> attempt.registration() == vm.registration());
        append(new TaskRecord.VmCleared(vm.vm(), vm.registration(), 1_000));
      }
    }
    resetLostProgress();
  }

  /** What ran on a lost VM resumes from the checkpoint that the log knows. */
  private void resetLostProgress() {
    for (JobState job : referenceTable.jobs()) {
      for (TaskState task : referenceTable.tasksOf(job.spec().name())) {
        if (task.phase() == TaskState.Phase.WAITING) {
          int known = task.checkpoint().isEmpty() ? 0 : Integer.parseInt(task.checkpoint());
          lastCheckpoint.put(task.name(), known);
        }
      }
    }
  }

  private void checkInvariants() {
    Map<Long, Sizes> booked = new HashMap<>();
    for (JobState job : referenceTable.jobs()) {
      for (TaskState task : referenceTable.tasksOf(job.spec().name())) {
        if (task.phase() == TaskState.Phase.CLAIMED) {
          booked.merge(task.registration(), task.booked(), Sizes::plus);
        }
      }
    }
    for (VmState vm : referenceTable.vms()) {
      Sizes held = booked.getOrDefault(vm.registration(), Sizes.NONE);
      assertEquals(held, vm.booked(), vm::toString);
      assertTrue(held.fitsIn(vm.description().capacity()), vm::toString);
    }
    referenceTable.preemptions().forEach(this::checkReservation);
    Map<Long, Sizes> run = new HashMap<>();
    running.forEach(
        (name, attempt) ->
            run.merge(attempt.registration(), new Sizes(1_500, 1_000, 0), Sizes::plus));
    for (VmState vm : referenceTable.vms()) {
      Sizes used = run.getOrDefault(vm.registration(), Sizes.NONE);
      assertTrue(used.fitsIn(vm.description().capacity()), () -> vm + " runs " + used);
    }
  }

  /** What is free and what victims still hold is always enough for the urgent task. */
  private void checkReservation(Preemption preemption) {
    TaskState urgent = referenceTable.task(preemption.task()).orElseThrow();
    assertEquals(TaskState.Phase.WAITING, urgent.phase(), preemption::toString);
    Sizes room =
        referenceTable.vms().stream()
            .filter(vm -> vm.registration() == preemption.registration() && !vm.revoked())
            .findFirst()
            .orElseThrow()
            .free();
    for (Preemption.Victim victim : preemption.victims()) {
      TaskState going = referenceTable.task(victim.task()).orElse(urgent);
      room = going.isClaimedWith(victim.token()) ? room.plus(going.booked()) : room;
    }
    assertTrue(preemption.sizes().fitsIn(room), preemption::toString);
  }
}
