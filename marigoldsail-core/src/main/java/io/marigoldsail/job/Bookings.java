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
 * The VMs inside a {@link TaskTable} and what claims take up on them, by VM, team and program.
 *
 * <p>Not safe for use by several threads.
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

  /** Returns the registration, or null if it is not known, or no more. */
  VmState find(long registration) {
    return vms.get(registration);
  }

  /** Returns the VM's last registration, revoked or not. */
  Optional<VmState> latest(String vm) {
    Long registration = latestByVm.get(vm);
    return Optional.ofNullable(registration == null ? null : vms.get(registration));
  }

  /** Returns the names of the tasks claimed on a registration, in their order. */
  Set<String> tasksOn(long registration) {
    return tasks.getOrDefault(registration, new TreeSet<>());
  }

  /** Returns how many tasks of each program are claimed on a registration. */
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

  /** Forgets a revoked registration that nothing is claimed on any more. */
  void removeIfUnused(long registration) {
    VmState vm = vms.get(registration);
    if (vm == null || !vm.revoked() || vm.tasks() > 0) {
      return;
    }
    vms.remove(registration);
    if (latestByVm.remove(vm.vm(), registration)) {
      // An older one may wait for its leases yet; a restored table takes that for the last one.
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

  /** Takes in a claim that the registration's state counts already, from a snapshot. */
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

  /** Replaces the counts by new ones: readers on other threads keep what they were given. */
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
