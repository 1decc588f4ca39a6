package io.marigoldsail.cli.load;

import java.util.Optional;
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
  private final LoadRecord loadRecord = new LoadRecord();
  private final AtomicLong open = new AtomicLong();
  private volatile long sent;

  LoadRun(LoadSchedule schedule, LoadSender sender, Pacer pacer, int maxOpen) {
    this.schedule = schedule;
    this.sender = sender;
    this.pacer = pacer;
    this.maxOpen = maxOpen;
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

  /** Only the sending thread writes the count, so a plain increment loses nothing. */
  @SuppressWarnings("NonAtomicVolatileUpdate")
  private void send(LoadRequest request, long planned) {
    long leaves = pacer.nanos();
    sent++;
    if (open.incrementAndGet() > maxOpen) {
      open.decrementAndGet();
      loadRecord.note(LoadAnswer.NOT_SENT, planned, leaves, leaves);
      return;
    }
    sender
        .send(request)
        .thenAccept(
            answer -> {
              loadRecord.note(answer, planned, leaves, pacer.nanos());
              open.decrementAndGet();
            });
  }

  LoadRecord loadRecord() {
    return loadRecord;
  }

  long sent() {
    return sent;
  }

  long open() {
    return open.get();
  }
}
