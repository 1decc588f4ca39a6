package io.marigoldsail.testlib.measure;

import io.marigoldsail.dispatch.AttemptOutcome;
import io.marigoldsail.dispatch.TargetLoad;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A target with the side process beside it: slots, a waiting room, and what is wrong with it now.
 *
 * <p>A side process with a bounded waiting room turns away what finds no place, and drops what
 * waited past its deadline; the naive one does neither.
 */
final class ModelTarget {
  private static final long FAILURE_NANOS = 1_000_000;

  /** Takes what a side process answers. */
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

  void setFailing(boolean nowFailing) {
    setFailing = nowFailing;
  }

  /** Returns what the side process reports, which may be old. */
  TargetLoad load() {
    if (reportedAt == Long.MIN_VALUE || events.now() - reportedAt >= reportIntervalNanos) {
      reported = new TargetLoad(running, waiting.size(), entries, false);
      reportedAt = events.now();
    }
    return reported;
  }

  void arrived(Call call, ResponseListener sink) {
    if (running < slots) {
      run(call, sink);
    } else if (waiting.size() < queueCapacity) {
      waiting.add(new Waiting(call, sink));
    } else {
      sink.ended(AttemptOutcome.NOT_RUN, load());
    }
  }

  private void run(Call call, ResponseListener sink) {
    running++;
    boolean fails = setFailing;
    long work = fails ? FAILURE_NANOS : (long) (call.plan.workNanos() * setSlowdown);
    events.schedule(events.now() + work, () -> finished(sink, fails));
  }

  private void finished(ResponseListener sink, boolean failed) {
    running--;
    startNext();
    sink.ended(failed ? AttemptOutcome.TARGET_ERROR : AttemptOutcome.ANSWERED, load());
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
