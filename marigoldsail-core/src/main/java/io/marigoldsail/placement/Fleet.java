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
 * The VMs that may be given tasks at one time, with their free resources.
 *
 * <p>Created for each round of decisions; records the allocations of the round. Not thread-safe.
 */
public final class Fleet {
  private final List<CandidateVm> candidates = new ArrayList<>();
  private final Map<Long, CandidateVm> byRegistration = new HashMap<>();
  private Sizes capacity = Sizes.NONE;
  private Sizes reservedEach = Sizes.NONE;
  private int reservedCount;
  private int vmsHoldingReserve;

  /**
   * Creates the fleet of the VMs that are not revoked.
   *
   * @param vms the registrations
   * @param usable whether a VM may be given tasks
   * @param programsOn returns the number of tasks of each program on a registration
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
        CandidateVm candidate = new CandidateVm(vm, programsOn);
        candidates.add(candidate);
        byRegistration.put(vm.registration(), candidate);
      }
    }
  }

  /** Reserves the resources freed by preemptions in progress for the tasks that they are for. */
  public void reservePreempted(List<Preemption> preemptions) {
    for (Preemption preemption : preemptions) {
      CandidateVm candidate = byRegistration.get(preemption.registration());
      if (candidate != null) {
        candidate.reserveFor(preemption.task(), preemption.sizes());
      }
    }
  }

  /** Returns the VMs that may be given tasks, oldest registration first. */
  public List<CandidateVm> candidates() {
    return candidates;
  }

  /** Returns the total capacity of all VMs, including those that may not be given tasks. */
  public Sizes capacity() {
    return capacity;
  }

  /**
   * Reserves VMs for urgent work from now on.
   *
   * @param each the resources that a reserved VM has free at least
   * @param count the number of VMs
   */
  public void reserveVms(Sizes each, int count) {
    reservedEach = each;
    reservedCount = each.equals(Sizes.NONE) ? 0 : count;
    vmsHoldingReserve = 0;
    for (CandidateVm candidate : candidates) {
      vmsHoldingReserve += holdsReserve(candidate.free()) ? 1 : 0;
    }
  }

  /**
   * Returns whether work that is not urgent may take the resources and leave enough VMs reserved.
   */
  boolean leavesReserve(CandidateVm candidate, Sizes sizes) {
    boolean endsReserve =
        holdsReserve(candidate.free()) && !holdsReserve(candidate.free().minus(sizes));
    return reservedCount == 0 || !endsReserve || vmsHoldingReserve > reservedCount;
  }

  private boolean holdsReserve(Sizes free) {
    return reservedEach.fitsIn(free);
  }

  /** Returns the capacity of all VMs divided by the number of those that may be given tasks. */
  public Sizes meanCapacity() {
    int vms = Math.max(1, candidates.size());
    return new Sizes(
        capacity.milliProcessors() / vms,
        capacity.memoryBytes() / vms,
        capacity.accelerators() / vms);
  }

  /**
   * Records that a claim for the resources is being written to the log; ignores unknown
   * registrations.
   */
  public void allocate(long registration, String program, Sizes sizes) {
    CandidateVm candidate = byRegistration.get(registration);
    if (candidate != null) {
      boolean before = holdsReserve(candidate.free());
      candidate.allocate(program, sizes);
      vmsHoldingReserve -= before && !holdsReserve(candidate.free()) ? 1 : 0;
    }
  }

  /**
   * Returns why the resources fit no VM even if it were empty, or empty if they fit one, or if no
   * VM is known yet.
   */
  public static Optional<String> infeasibilityReason(List<VmState> vms, Sizes sizes) {
    Sizes largest = Sizes.NONE;
    for (VmState vm : vms) {
      Sizes vmCapacity = vm.description().capacity();
      if (sizes.fitsIn(vmCapacity)) {
        return Optional.empty();
      }
      largest = largest.max(vmCapacity);
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
