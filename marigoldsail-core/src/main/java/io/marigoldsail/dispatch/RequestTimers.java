package io.marigoldsail.dispatch;

import java.util.Comparator;
import java.util.TreeSet;

/** Requests in the order of a time that belongs to each. Confined to one thread. */
final class RequestTimers {
  private record Entry(long time, ScheduledRequest request) {}

  private final TreeSet<Entry> entries =
      new TreeSet<>(
          Comparator.comparingLong(Entry::time)
              .thenComparingLong(entry -> entry.request().number()));

  void add(long time, ScheduledRequest request) {
    entries.add(new Entry(time, request));
  }

  void remove(long time, ScheduledRequest request) {
    entries.remove(new Entry(time, request));
  }

  /** Takes the earliest request whose time has come, or returns null if there is none. */
  ScheduledRequest pollDue(long now) {
    if (entries.isEmpty() || entries.first().time() > now) {
      return null;
    }
    return entries.pollFirst().request();
  }

  long nextTime() {
    return entries.isEmpty() ? Long.MAX_VALUE : entries.first().time();
  }
}
