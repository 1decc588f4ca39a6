package io.marigoldsail.placement;

import io.marigoldsail.job.Sizes;
import io.marigoldsail.job.VmState;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/** A VM of a {@link Fleet}: its state in the log and the allocations of the current round. */
public final class CandidateVm {
  private final VmState state;
  private final Function<Long, Map<String, Integer>> programsOn;
  private Map<String, Integer> programs;
  private Sizes free;
  private Sizes reserved = Sizes.NONE;
  private String reservedFor = "";

  CandidateVm(VmState state, Function<Long, Map<String, Integer>> programsOn) {
    this.state = state;
    this.programsOn = programsOn;
    this.free = state.free();
  }

  /** Returns the VM's registration, as read from the log. */
  public VmState state() {
    return state;
  }

  /** Returns the VM's name. */
  public String vm() {
    return state.vm();
  }

  /** Returns the free resources, less those about to be claimed or reserved for one urgent task. */
  public Sizes free() {
    return free.minus(reserved);
  }

  /** Returns the free resources for the task, including those reserved for it. */
  public Sizes freeFor(String task) {
    return reservedFor.equals(task) ? free : free();
  }

  /** Returns whether resources are being freed here for an urgent task. */
  public boolean isPreempting() {
    return !reservedFor.isEmpty();
  }

  void reserveFor(String task, Sizes sizes) {
    reservedFor = task;
    reserved = sizes;
  }

  /** Returns the number of claimed tasks of each program. */
  public Map<String, Integer> programs() {
    if (programs == null) {
      programs = programsOn.apply(state.registration());
    }
    return programs;
  }

  /** Returns the highest utilization of one kind of resource if the sizes were added. */
  double utilizationWith(Sizes sizes) {
    Sizes capacity = state.description().capacity();
    double processors =
        share(
            capacity.milliProcessors() - free.milliProcessors() + sizes.milliProcessors(),
            capacity.milliProcessors());
    double memory =
        share(
            capacity.memoryBytes() - free.memoryBytes() + sizes.memoryBytes(),
            capacity.memoryBytes());
    return Math.max(processors, memory);
  }

  void allocate(String program, Sizes sizes) {
    free = free.minus(sizes);
    Map<String, Integer> after = new HashMap<>(programs());
    after.merge(program, 1, Integer::sum);
    programs = after;
  }

  private static double share(long taken, long capacity) {
    return capacity == 0 ? 0 : (double) taken / capacity;
  }
}
