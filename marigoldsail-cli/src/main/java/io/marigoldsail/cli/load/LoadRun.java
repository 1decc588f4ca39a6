package io.marigoldsail.cli.load;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Runs a load plan: one thread sends requests, other threads record the results.
 *
 * <p>Memory is bounded: a request over the limit of open requests is counted but not sent, so that
 * a system that never responds cannot exhaust the memory of this process.
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
   * @param warmupMillis requests planned before this time are sent but not reported
   */
  LoadRun(LoadSchedule schedule, LoadSender sender, Pacer pacer, int maxOpen, long warmupMillis) {
    this.schedule = schedule;
    this.sender = sender;
    this.pacer = pacer;
    this.maxOpen = maxOpen;
    this.warmupNanos = TimeUnit.MILLISECONDS.toNanos(warmupMillis);
  }

  /** Sends all requests at their planned times; does not wait for the last responses. */
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

  /** Only the sending thread writes the counters, so a non-atomic increment is safe. */
  @SuppressWarnings("NonAtomicVolatileUpdate")
  private void send(LoadRequest request, long planned) {
    long sentNanos = pacer.nanos();
    sent++;
    boolean isReported = request.atNanos() >= warmupNanos;
    if (isReported) {
      reported++;
    }
    if (open.incrementAndGet() > maxOpen) {
      open.decrementAndGet();
      record(isReported, LoadResult.NOT_SENT, planned, sentNanos, sentNanos);
      return;
    }
    sender
        .send(request)
        .thenAccept(
            result -> {
              record(isReported, result, planned, sentNanos, pacer.nanos());
              open.decrementAndGet();
            });
  }

  private void record(
      boolean isReported, LoadResult result, long planned, long sentNanos, long now) {
    if (isReported) {
      statistics.record(result, planned, sentNanos, now);
    }
  }

  LoadStatistics statistics() {
    return statistics;
  }

  long sent() {
    return sent;
  }

  /** Returns the number of requests planned after the warm-up. */
  long reported() {
    return reported;
  }

  long open() {
    return open.get();
  }
}
