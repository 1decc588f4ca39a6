package io.marigoldsail.cli.load;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Carries a plan out: one thread sends, others note the answers.
 *
 * <p>Bounded: a request that would leave more than the limit open is counted and not sent, so that
 * a system that never answers does not fill this process's memory.
 */
final class LoadRun {
  private final LoadSchedule schedule;
  private final LoadSender sender;
  private final Pacer pacer;
  private final int maxOpen;
  private final LoadStatistics statistics = new LoadStatistics();
  private final AtomicLong open = new AtomicLong();
  private final long warmupNanos;
  private volatile long sent;
  private volatile long reported;

  /**
   * Creates a run.
   *
   * @param warmupMillis requests that leave earlier than this are sent, but not reported
   */
  LoadRun(LoadSchedule schedule, LoadSender sender, Pacer pacer, int maxOpen, long warmupMillis) {
    this.schedule = schedule;
    this.sender = sender;
    this.pacer = pacer;
    this.maxOpen = maxOpen;
    this.warmupNanos = TimeUnit.MILLISECONDS.toNanos(warmupMillis);
  }

  /** Sends all requests at their times; returns without waiting for the last answers. */
  void sendAll() {
    long start = pacer.nanos();
    Optional<LoadRequest> next = schedule.next();
    while (next.isPresent()) {
      LoadRequest request = next.get();
      long planned = start + request.atNanos();
      pacer.awaitNanos(planned);
      send(request, planned);
      next = schedule.next();
    }
  }

  /** Only the sending thread writes the counts, so a plain increment loses nothing. */
  @SuppressWarnings("NonAtomicVolatileUpdate")
  private void send(LoadRequest request, long planned) {
    long leaves = pacer.nanos();
    sent++;
    boolean counts = request.atNanos() >= warmupNanos;
    if (counts) {
      reported++;
    }
    if (open.incrementAndGet() > maxOpen) {
      open.decrementAndGet();
      record(counts, LoadResult.NOT_SENT, planned, leaves, leaves);
      return;
    }
    sender
        .send(request)
        .thenAccept(
            answer -> {
              record(counts, answer, planned, leaves, pacer.nanos());
              open.decrementAndGet();
            });
  }

  private void record(boolean counts, LoadResult answer, long planned, long leaves, long now) {
    if (counts) {
      statistics.record(answer, planned, leaves, now);
    }
  }

  LoadStatistics statistics() {
    return statistics;
  }

  long sent() {
    return sent;
  }

  /** Returns how many of the sent requests left after the warm-up. */
  long reported() {
    return reported;
  }

  long open() {
    return open.get();
  }
}
