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
  private static final long FAILING_NANOS = 1_000_000;

  /** Takes what a side process answers. */
  @FunctionalInterface
  interface AnswerSink {
    void ended(AttemptOutcome outcome, TargetLoad load);
  }

  private record Waiting(Call call, AnswerSink sink) {}

  private final EventQueue events;
  private final int slots;
  private final int places;
  private final int entries;
  private final long reportEveryNanos;
  private final Deque<Waiting> waiting = new ArrayDeque<>();
  private int running;
  private double slowness = 1;
  private boolean failing;
  private TargetLoad reported = new TargetLoad(0, 0, 0, false);
  private long reportedAt = Long.MIN_VALUE;

  ModelTarget(EventQueue events, int slots, int places, int entries, long reportEveryNanos) {
    this.reportEveryNanos = reportEveryNanos;
    this.events = events;
    this.slots = slots;
    this.places = places;
    this.entries = entries;
  }

  void slowness(double factor) {
    slowness = factor;
  }

  void failing(boolean nowFailing) {
    failing = nowFailing;
  }

  /** Returns what the side process reports, which may be old. */
  TargetLoad load() {
    if (reportedAt == Long.MIN_VALUE || events.now() - reportedAt >= reportEveryNanos) {
      reported = new TargetLoad(running, waiting.size(), entries, false);
      reportedAt = events.now();
    }
    return reported;
  }

  void arrived(Call call, AnswerSink sink) {
    if (running < slots) {
      run(call, sink);
    } else if (waiting.size() < places) {
      waiting.add(new Waiting(call, sink));
    } else {
      sink.ended(AttemptOutcome.NOT_RUN, load());
    }
  }

  private void run(Call call, AnswerSink sink) {
    running++;
    boolean fails = failing;
    long work = fails ? FAILING_NANOS : (long) (call.plan.workNanos() * slowness);
    events.at(events.now() + work, () -> finished(sink, fails));
  }

  private void finished(AnswerSink sink, boolean failed) {
    running--;
    startNext();
    sink.ended(failed ? AttemptOutcome.TARGET_ERROR : AttemptOutcome.ANSWERED, load());
  }

  private void startNext() {
    while (running < slots && !waiting.isEmpty()) {
      Waiting next = waiting.poll();
      boolean expired = events.now() >= next.call().deadline();
      if (expired && places != Integer.MAX_VALUE) {
        next.sink().ended(AttemptOutcome.NOT_RUN, load());
      } else {
        run(next.call(), next.sink());
      }
    }
  }
}
