package io.marigoldsail.testlib.measure;

import io.marigoldsail.dispatch.AttemptOutcome;
import io.marigoldsail.dispatch.TargetLoad;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A modelled target with its side process: slots, a queue and the current fault.
 *
 * <p>A side process with a bounded queue rejects requests when the queue is full, and drops queued
 * requests past their deadline. With an unbounded queue, as in the baseline, it does neither.
 */
final class ModelTarget {
  private static final long FAILURE_NANOS = 1_000_000;

  /** Receives the response of a side process. */
  @FunctionalInterface
  interface ResponseListener {
    void ended(AttemptOutcome outcome, TargetLoad load);
  }

  private record Waiting(Call call, ResponseListener listener) {}

  private final EventQueue events;
  private final int slots;
  private final int queueCapacity;
  private final int entries;
  private final long reportIntervalNanos;
  private final Deque<Waiting> waiting = new ArrayDeque<>();
  private int running;
  private double setSlowdown = 1;
  private boolean setFailing;
  private TargetLoad reported = new TargetLoad(0, 0, 0, false);
  private long reportedAt = Long.MIN_VALUE;

  ModelTarget(EventQueue events, int slots, int places, int entries, long reportEveryNanos) {
    this.reportIntervalNanos = reportEveryNanos;
    this.events = events;
    this.slots = slots;
    this.queueCapacity = places;
    this.entries = entries;
  }

  void setSlowdown(double factor) {
    setSlowdown = factor;
  }

  void setFailing(boolean newFailing) {
    setFailing = newFailing;
  }

  /** Returns the load as last reported by the side process, which may be stale. */
  TargetLoad load() {
    if (reportedAt == Long.MIN_VALUE || events.now() - reportedAt >= reportIntervalNanos) {
      reported = new TargetLoad(running, waiting.size(), entries, false);
      reportedAt = events.now();
    }
    return reported;
  }

  void arrived(Call call, ResponseListener listener) {
    if (running < slots) {
      run(call, listener);
    } else if (waiting.size() < queueCapacity) {
      waiting.add(new Waiting(call, listener));
    } else {
      listener.ended(AttemptOutcome.NOT_RUN, load());
    }
  }

  private void run(Call call, ResponseListener listener) {
    running++;
    boolean fails = setFailing;
    long work = fails ? FAILURE_NANOS : (long) (call.plan.workNanos() * setSlowdown);
    events.schedule(events.now() + work, () -> finished(listener, fails));
  }

  private void finished(ResponseListener listener, boolean failed) {
    running--;
    startNext();
    listener.ended(failed ? AttemptOutcome.TARGET_ERROR : AttemptOutcome.ANSWERED, load());
  }

  private void startNext() {
    while (running < slots && !waiting.isEmpty()) {
      Waiting next = waiting.poll();
      boolean expired = events.now() >= next.call().deadline();
      if (expired && queueCapacity != Integer.MAX_VALUE) {
        next.listener().ended(AttemptOutcome.NOT_RUN, load());
      } else {
        run(next.call(), next.listener());
      }
    }
  }
}
