package io.marigoldsail.admission;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * A queue with start-time fair queueing over callers and keys.
 *
 * <p>Load pattern: one caller, or one key that many callers request, sends many times its fair
 * share. In a first-come-first-served queue every request waits behind that backlog. Here each
 * caller and each key is a flow with a virtual clock that advances by one per request. A request's
 * virtual start time is the later of its two clocks, and requests are served in the order of their
 * start times. A caller's request for a hot key thus waits in that key's backlog, but its other
 * requests do not.
 *
 * <p>A flow may send {@link #BURST_ALLOWANCE} requests ahead of its fair share. Otherwise the
 * second of two simultaneous requests of a quiet caller would wait for a whole round of the other
 * flows, which takes longer the fewer requests an entry serves. A hot caller gains these requests
 * only once.
 *
 * <p>At most {@link #MAX_FLOWS} clocks per kind of flow are kept; the least recently used one is
 * evicted. An evicted flow is treated as new, which costs fairness for one request.
 *
 * <p>Not thread-safe. Adding, polling and removing cost O(log n).
 *
 * @param <T> the type of the queued items
 */
public final class FairQueue<T> {
  /** Maximum number of virtual clocks kept for callers, and for keys. */
  static final int MAX_FLOWS = 4_096;

  /** Number of requests that a flow may send ahead of its fair share without waiting. */
  private static final int BURST_ALLOWANCE = 4;

  /** Served requests per measurement of the virtual time rate: 0.4 s at one entry of nine. */
  private static final int RATE_WINDOW_REQUESTS = 200;

  /** Multiple of the average backlog per flow above which a flow is over its fair share. */
  private static final int OVER_SHARE_FACTOR = 2;

  private final TreeSet<Ticket<T>> waiting = new TreeSet<>(Ticket.ORDER);
  private final Map<String, Integer> waitingOfCaller = new HashMap<>();
  private final Map<String, Integer> waitingOfKey = new HashMap<>();
  private final Map<String, Long> callerClocks = new BoundedClockMap();
  private final Map<String, Long> keyClocks = new BoundedClockMap();
  private final StartTimeCounts startTimeCounts = new StartTimeCounts();
  private long virtualTime;
  private long sequence;
  private int servedInWindow;
  private long windowStartVirtualTime;
  private double virtualTimePerRequest = 1;

  /** A queued request; pass it to {@link #restore} or {@link #remove}. */
  public static final class Ticket<T> {
    private static final Comparator<Ticket<?>> ORDER =
        Comparator.<Ticket<?>>comparingLong(ticket -> ticket.startTime)
            .thenComparingLong(ticket -> ticket.sequence);

    private final T item;
    private final String caller;
    private final String key;
    private final long startTime;
    private final long sequence;
    private final boolean backlogged;
    private int countSlot;

    private Ticket(
        T item, String caller, String key, long startTime, long sequence, boolean backlogged) {
      this.backlogged = backlogged;
      this.item = item;
      this.caller = caller;
      this.key = key;
      this.startTime = startTime;
      this.sequence = sequence;
    }

    /** Returns whether its caller or key was backlogged when it was added. */
    public boolean isBacklogged() {
      return backlogged;
    }

    /** Returns the queued item. */
    public T item() {
      return item;
    }
  }

  /** Creates an empty queue. */
  public FairQueue() {}

  private static final class BoundedClockMap extends LinkedHashMap<String, Long> {
    private static final long serialVersionUID = 1;

    private BoundedClockMap() {
      super(16, 0.75f, true);
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
      return size() > MAX_FLOWS;
    }
  }

  /**
   * Adds a request at its virtual start time.
   *
   * @param key the key that the request is for; empty if it has none
   */
  public Ticket<T> add(T item, String caller, String key) {
    requireNonNull(item, "item");
    long startTime = advanceClock(callerClocks, caller);
    if (!key.isEmpty()) {
      startTime = Math.max(startTime, advanceClock(keyClocks, key));
    }
    Ticket<T> ticket =
        new Ticket<>(item, caller, key, startTime, sequence++, startTime > virtualTime);
    insert(ticket);
    return ticket;
  }

  private long advanceClock(Map<String, Long> clocks, String flow) {
    long clock = clockOf(clocks, flow);
    clocks.put(flow, clock + 1);
    return startTimeAt(clock);
  }

  private long startTimeAt(long clock) {
    return Math.max(virtualTime, clock - BURST_ALLOWANCE);
  }

  private long clockOf(Map<String, Long> clocks, String flow) {
    return Math.max(virtualTime, clocks.getOrDefault(flow, virtualTime));
  }

  /**
   * Puts a polled but unserved request back at its original position.
   *
   * @throws IllegalArgumentException if the ticket is in the queue
   */
  public void restore(Ticket<T> ticket) {
    checkArgument(!waiting.contains(ticket), "ticket is already in the queue");
    servedInWindow--;
    insert(ticket);
  }

  private void insert(Ticket<T> ticket) {
    waiting.add(ticket);
    ticket.countSlot = StartTimeCounts.slotOf(ticket.startTime, virtualTime);
    startTimeCounts.add(ticket.countSlot, 1);
    waitingOfCaller.merge(ticket.caller, 1, Integer::sum);
    if (!ticket.key.isEmpty()) {
      waitingOfKey.merge(ticket.key, 1, Integer::sum);
    }
  }

  /**
   * Removes and returns the request with the earliest virtual start time, or empty if none waits.
   */
  public Optional<Ticket<T>> poll() {
    Ticket<T> ticket = waiting.pollFirst();
    if (ticket == null) {
      return Optional.empty();
    }
    virtualTime = Math.max(virtualTime, ticket.startTime);
    updateCountsOnRemoval(ticket);
    updateVirtualTimeRate();
    return Optional.of(ticket);
  }

  private void updateVirtualTimeRate() {
    servedInWindow++;
    if (servedInWindow >= RATE_WINDOW_REQUESTS) {
      virtualTimePerRequest =
          Math.max(1, virtualTime - windowStartVirtualTime) / (double) servedInWindow;
      servedInWindow = 0;
      windowStartVirtualTime = virtualTime;
    }
  }

  /** Removes a request; returns whether it was in the queue. */
  public boolean remove(Ticket<T> ticket) {
    boolean removed = waiting.remove(ticket);
    if (removed) {
      updateCountsOnRemoval(ticket);
    }
    return removed;
  }

  private void updateCountsOnRemoval(Ticket<T> ticket) {
    startTimeCounts.add(ticket.countSlot, -1);
    decrement(waitingOfCaller, ticket.caller);
    if (!ticket.key.isEmpty()) {
      decrement(waitingOfKey, ticket.key);
    }
    if (waiting.isEmpty()) {
      callerClocks.clear();
      keyClocks.clear();
    }
  }

  private static void decrement(Map<String, Integer> counts, String flow) {
    counts.computeIfPresent(flow, (name, count) -> count == 1 ? null : count - 1);
  }

  /** Returns the number of queued requests. */
  public int size() {
    return waiting.size();
  }

  /** Returns the number of caller clocks, at most {@link #MAX_FLOWS}. */
  int callerClockCount() {
    return callerClocks.size();
  }

  /** Returns whether the queue is empty. */
  public boolean isEmpty() {
    return waiting.isEmpty();
  }

  /**
   * Returns the number of queued requests that would be served before a new one of this caller and
   * key.
   */
  public int countAhead(String caller, String key) {
    return startTimeCounts.countUpTo(
        StartTimeCounts.slotOf(nextStartTime(caller, key), virtualTime), virtualTime);
  }

  /**
   * Returns the number of requests expected to be served before a new one of this caller and key,
   * including later requests that overtake it if virtual time keeps its recent rate.
   */
  public int expectedCountAhead(String caller, String key) {
    double requestsUntilStart = (nextStartTime(caller, key) - virtualTime) / virtualTimePerRequest;
    return Math.max(countAhead(caller, key), (int) Math.min(Integer.MAX_VALUE, requestsUntilStart));
  }

  private long nextStartTime(String caller, String key) {
    long startTime = clockOf(callerClocks, caller);
    if (!key.isEmpty()) {
      startTime = Math.max(startTime, clockOf(keyClocks, key));
    }
    return startTimeAt(startTime);
  }

  /** Returns whether a new request of this caller and key would be backlogged. */
  public boolean isBacklogged(String caller, String key) {
    return nextStartTime(caller, key) > virtualTime;
  }

  /** Returns whether the caller or key holds more than its fair share of the queue. */
  public boolean isOverFairShare(String caller, String key) {
    long callerShare = (long) waitingOfCaller.getOrDefault(caller, 0) * waitingOfCaller.size();
    long keyShare =
        key.isEmpty() ? 0 : (long) waitingOfKey.getOrDefault(key, 0) * waitingOfKey.size();
    return Math.max(callerShare, keyShare) > OVER_SHARE_FACTOR * waiting.size();
  }
}
