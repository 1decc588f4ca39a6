package io.marigoldsail.job;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The VM registrations of a {@link TaskTable} and the resources that claims have booked on them, by
 * VM, team and program.
 *
 * <p>Not thread-safe.
 */
final class Bookings {
  private final Map<Long, VmState> vms = new TreeMap<>();
  private final Map<String, Long> latestByVm = new HashMap<>();
  private final Map<Long, TreeSet<String>> tasks = new HashMap<>();
  private final Map<Long, Map<String, Integer>> programs = new HashMap<>();
  private final Map<String, Sizes> byTeam = new HashMap<>();

  List<VmState> vms() {
    return List.copyOf(vms.values());
  }

  /** Returns the registration, or null if it is unknown or has been removed. */
  VmState find(long registration) {
    return vms.get(registration);
  }

  /** Returns the VM's latest registration, revoked or not. */
  Optional<VmState> latest(String vm) {
    Long registration = latestByVm.get(vm);
    return Optional.ofNullable(registration == null ? null : vms.get(registration));
  }

  /** Returns the names of the tasks claimed on a registration, in alphabetical order. */
  Set<String> tasksOn(long registration) {
    return tasks.getOrDefault(registration, new TreeSet<>());
  }

  /** Returns the number of tasks of each program claimed on a registration. */
  Map<String, Integer> programsOn(long registration) {
    return programs.getOrDefault(registration, Map.of());
  }

  Map<String, Sizes> byTeam() {
    return Map.copyOf(byTeam);
  }

  Sizes bookedByTeam(String team) {
    return byTeam.getOrDefault(team, Sizes.NONE);
  }

  void add(VmState vm) {
    vms.put(vm.registration(), vm);
    latestByVm.merge(vm.vm(), vm.registration(), Math::max);
  }

  void revoke(VmState vm) {
    vms.put(vm.registration(), vm.asRevoked());
    removeIfUnused(vm.registration());
  }

  /** Removes the registration if it is revoked and no task is claimed on it. */
  void removeIfUnused(long registration) {
    VmState vm = vms.get(registration);
    if (vm == null || !vm.revoked() || vm.tasks() > 0) {
      return;
    }
    vms.remove(registration);
    if (latestByVm.remove(vm.vm(), registration)) {
      // An older registration may still wait for its leases to expire. It becomes the latest one,
      // as in a table restored from a snapshot, which does not contain the removed one.
      for (VmState older : vms.values()) {
        if (older.vm().equals(vm.vm())) {
          latestByVm.put(older.vm(), older.registration());
        }
      }
    }
  }

  void addClaim(VmState vm, JobSpec spec, String task, Sizes sizes) {
    vms.put(vm.registration(), vm.withClaim(sizes));
    indexClaim(vm.registration(), spec, task, sizes);
  }

  /** Indexes a claim that the registration's state already includes, as in a snapshot. */
  void indexClaim(long registration, JobSpec spec, String task, Sizes sizes) {
    tasks.computeIfAbsent(registration, unused -> new TreeSet<>()).add(task);
    countProgram(registration, spec.program(), 1);
    byTeam.merge(spec.team(), sizes, Sizes::plus);
  }

  void releaseClaim(JobSpec spec, TaskState task) {
    long registration = task.registration();
    vms.put(registration, vms.get(registration).withoutClaim(task.booked()));
    TreeSet<String> names = tasks.get(registration);
    names.remove(task.name());
    countProgram(registration, spec.program(), -1);
    if (names.isEmpty()) {
      tasks.remove(registration);
      programs.remove(registration);
    }
    byTeam.computeIfPresent(spec.team(), (team, booked) -> nullIfNone(booked.minus(task.booked())));
    removeIfUnused(registration);
  }

  /** Replaces the map of counts, because readers on other threads may hold the current one. */
  private void countProgram(long registration, String program, int change) {
    Map<String, Integer> counts = new HashMap<>(programs.getOrDefault(registration, Map.of()));
    counts.merge(program, change, Integer::sum);
    counts.values().removeIf(count -> count == 0);
    programs.put(registration, Collections.unmodifiableMap(counts));
  }

  void clear() {
    vms.clear();
    latestByVm.clear();
    tasks.clear();
    programs.clear();
    byTeam.clear();
  }

  private static Sizes nullIfNone(Sizes sizes) {
    return sizes.equals(Sizes.NONE) ? null : sizes;
  }
}
