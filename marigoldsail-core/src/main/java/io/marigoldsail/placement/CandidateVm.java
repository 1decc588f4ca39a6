package io.marigoldsail.placement;

import io.marigoldsail.job.Sizes;
import io.marigoldsail.job.VmState;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/**
 * One VM inside a {@link FleetMedians}: its state in the log, and what is about to be claimed on
 * it.
 */
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

  /** Returns the VM's registration as folded from the log. */
  public VmState state() {
    return state;
  }

  /** Returns the VM's name. */
  public String vm() {
    return state.vm();
  }

  /** Returns the room left after what is about to be claimed or is kept for one urgent task. */
  public Sizes free() {
    return free.minus(reserved);
  }

  /** Returns the room that the task may take: what is kept for it included. */
  public Sizes freeFor(String task) {
    return reservedFor.equals(task) ? free : free();
  }

  /** Returns whether room is being freed here for an urgent task. */
  public boolean isPreempting() {
    return !reservedFor.isEmpty();
  }

  void reserveFor(String task, Sizes sizes) {
    reservedFor = task;
    reserved = sizes;
  }

  /** Returns how many tasks of each program are claimed there. */
  public Map<String, Integer> programs() {
    if (programs == null) {
      programs = programsOn.apply(state.registration());
    }
    return programs;
  }

  /** Returns the largest share of one kind of resource that would be taken with the sizes added. */
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
