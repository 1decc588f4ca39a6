package io.marigoldsail.daemon.workflow;

import io.marigoldsail.workflow.TaskKey;
import io.marigoldsail.workflow.TaskRecordState;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;

/**
 * A partition that an owner holds or believes to hold, under one epoch: its tasks, and its appends
 * to the store, which prove at which time it held the partition. One thread.
 */
final class SimulatedPartition {
  private static final int MAX_LATENCY_MILLIS = 25;

  private final SimulatedTime time;
  private final SplittableRandom random;
  private final SimulatedStore store;
  private final LongSupplier ownerClock;
  private final LongSupplier storeReachableAt;
  private final Runnable onLost;
  private final int number;
  private final long epoch;
  private final Map<TaskKey, SimulatedTask> tasks = new LinkedHashMap<>();
  private long lastArrival;
  private long evidenceAt = Long.MIN_VALUE;
  private long openedAt;
  private boolean active;
  private boolean closed;

  /**
   * Creates a partition that is not active before {@link #open} has succeeded.
   *
   * @param ownerClock the owner's clock, in milliseconds
   * @param storeReachableAt until when the owner does not reach the store
   */
  SimulatedPartition(
      SimulatedTime time,
      SplittableRandom random,
      SimulatedStore store,
      LongSupplier ownerClock,
      LongSupplier storeReachableAt,
      Runnable onLost,
      int number,
      long epoch) {
    this.time = time;
    this.random = random;
    this.store = store;
    this.ownerClock = ownerClock;
    this.storeReachableAt = storeReachableAt;
    this.onLost = onLost;
    this.number = number;
    this.epoch = epoch;
  }

  /** Fences former owners, then reads the durable state. */
  void open() {
    append(
        () -> {
          openedAt = ownerClock.getAsLong();
          time.after(random.nextLong(1, MAX_LATENCY_MILLIS), this::activate);
        });
  }

  private void activate() {
    if (!closed) {
      store.read(number).forEach((key, state) -> tasks.put(key, new SimulatedTask(key, state)));
      active = true;
    }
  }

  int number() {
    return number;
  }

  long epoch() {
    return epoch;
  }

  boolean isActive() {
    return active && !closed;
  }

  long openedAt() {
    return openedAt;
  }

  boolean hasEvidence() {
    return evidenceAt != Long.MIN_VALUE;
  }

  /** Returns when the last append that succeeded was sent, on the owner's clock. */
  long evidenceAt() {
    return evidenceAt;
  }

  Collection<SimulatedTask> tasks() {
    return tasks.values();
  }

  Optional<SimulatedTask> task(TaskKey key) {
    return Optional.ofNullable(tasks.get(key));
  }

  void submitted(TaskKey key) {
    if (isActive()) {
      tasks.putIfAbsent(key, new SimulatedTask(key, TaskRecordState.NEW));
    }
  }

  void close() {
    closed = true;
  }

  /** Appends the state of all tasks; runs the effect once it is durable, never if it is fenced. */
  void append(Runnable effect) {
    if (closed) {
      return;
    }
    Map<TaskKey, TaskRecordState> changed = new LinkedHashMap<>();
    tasks.forEach((key, task) -> changed.put(key, task.state()));
    long sentAt = ownerClock.getAsLong();
    long reachable = Math.max(time.now(), storeReachableAt.getAsLong());
    lastArrival = Math.max(lastArrival, reachable + random.nextLong(1, MAX_LATENCY_MILLIS));
    time.after(lastArrival - time.now(), () -> arrive(changed, sentAt, effect));
  }

  private void arrive(Map<TaskKey, TaskRecordState> changed, long sentAt, Runnable effect) {
    if (closed) {
      return;
    }
    boolean appended = store.append(number, epoch, changed);
    time.after(random.nextLong(1, MAX_LATENCY_MILLIS), () -> respond(appended, sentAt, effect));
  }

  private void respond(boolean appended, long sentAt, Runnable effect) {
    if (closed) {
      return;
    }
    if (appended) {
      evidenceAt = Math.max(evidenceAt, sentAt);
      effect.run();
    } else {
      closed = true;
      onLost.run();
    }
  }
}
