package io.marigoldsail.placement;

import io.marigoldsail.job.Preemption;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.job.VmState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * The VMs that may be given tasks at one moment, with the room that is left.
 *
 * <p>Made anew for each round of decisions; takes note of what the round gives away. Not safe for
 * use by several threads.
 */
public final class Fleet {
  private final List<CandidateVm> candidates = new ArrayList<>();
  private final Map<Long, CandidateVm> byRegistration = new HashMap<>();
  private Sizes capacity = Sizes.NONE;
  private Sizes reservedEach = Sizes.NONE;
  private int reservedCount;
  private int open;

  /**
   * Creates the fleet of the VMs that are not revoked.
   *
   * @param vms the registrations
   * @param usable whether a VM may be given tasks
   * @param programsOn how many tasks of each program a registration holds
   */
  public Fleet(
      List<VmState> vms,
      Predicate<VmState> usable,
      Function<Long, Map<String, Integer>> programsOn) {
    for (VmState vm : vms) {
      if (vm.revoked()) {
        continue;
      }
      capacity = capacity.plus(vm.description().capacity());
      if (usable.test(vm)) {
        CandidateVm room = new CandidateVm(vm, programsOn);
        candidates.add(room);
        byRegistration.put(vm.registration(), room);
      }
    }
  }

  /** Keeps the room of preemptions under way for the tasks that they are for. */
  public void reservePreempted(List<Preemption> preemptions) {
    for (Preemption preemption : preemptions) {
      CandidateVm room = byRegistration.get(preemption.registration());
      if (room != null) {
        room.reserveFor(preemption.task(), preemption.sizes());
      }
    }
  }

  /** Returns the VMs that may be given tasks, oldest registration first. */
  public List<CandidateVm> candidates() {
    return candidates;
  }

  /** Returns what all VMs have together, those that may not be given tasks included. */
  public Sizes capacity() {
    return capacity;
  }

  /**
   * Keeps so many VMs open for urgent work from now on.
   *
   * @param each the room that an open VM has at least
   * @param count how many VMs
   */
  public void reserveVms(Sizes each, int count) {
    reservedEach = each;
    reservedCount = each.equals(Sizes.NONE) ? 0 : count;
    open = 0;
    for (CandidateVm room : candidates) {
      open += isOpen(room.free()) ? 1 : 0;
    }
  }

  /** Returns whether work that is not urgent may take the sizes and leave enough VMs open. */
  boolean leavesReserve(CandidateVm room, Sizes sizes) {
    boolean closes = isOpen(room.free()) && !isOpen(room.free().minus(sizes));
    return reservedCount == 0 || !closes || open > reservedCount;
  }

  private boolean isOpen(Sizes free) {
    return reservedEach.fitsIn(free);
  }

  /** Returns what a VM has on average. */
  public Sizes meanCapacity() {
    int vms = Math.max(1, candidates.size());
    return new Sizes(
        capacity.milliProcessors() / vms,
        capacity.memoryBytes() / vms,
        capacity.accelerators() / vms);
  }

  /** Notes that a claim for the sizes is on its way to the log; unknown registrations pass. */
  public void allocate(long registration, String program, Sizes sizes) {
    CandidateVm room = byRegistration.get(registration);
    if (room != null) {
      boolean before = isOpen(room.free());
      room.allocate(program, sizes);
      open -= before && !isOpen(room.free()) ? 1 : 0;
    }
  }

  /**
   * Returns why the sizes fit no VM even if it were empty, or empty if they fit one. A fleet of
   * which no VM is known yet refuses nothing.
   */
  public static Optional<String> infeasibilityReason(List<VmState> vms, Sizes sizes) {
    Sizes largest = Sizes.NONE;
    for (VmState vm : vms) {
      Sizes has = vm.description().capacity();
      if (sizes.fitsIn(has)) {
        return Optional.empty();
      }
      largest = largest.max(has);
    }
    return vms.isEmpty() ? Optional.empty() : Optional.of(reason(sizes, largest));
  }

  private static String reason(Sizes sizes, Sizes largest) {
    if (sizes.accelerators() > largest.accelerators()) {
      return "a task needs %d accelerators, no VM has more than %d"
          .formatted(sizes.accelerators(), largest.accelerators());
    }
    if (sizes.memoryBytes() > largest.memoryBytes()) {
      return "a task needs %d bytes of memory, no VM has more than %d"
          .formatted(sizes.memoryBytes(), largest.memoryBytes());
    }
    if (sizes.milliProcessors() > largest.milliProcessors()) {
      return "a task needs %d thousandths of a processor, no VM has more than %d"
          .formatted(sizes.milliProcessors(), largest.milliProcessors());
    }
    return "no single VM has the processors, memory and accelerators that a task needs together";
  }
}
