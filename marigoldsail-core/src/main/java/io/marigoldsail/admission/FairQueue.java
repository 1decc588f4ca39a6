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
 * A queue that serves callers, and what they ask about, in turn (start-time fair queueing).
 *
 * <p>Load pattern: one caller, or one key that many callers ask about, sends many times its share.
 * Without turns, a queue that is first come first served makes everybody wait behind the hot one.
 * Here each caller and each key has a virtual clock that moves on by one for each of its requests;
 * a request is served in the order of the later of its two clocks. So a caller that asks about a
 * hot key waits for that request only, not for its others.
 *
 * <p>A flow may be {@link #BURST_ALLOWANCE} requests ahead of its turn. Without that, of two
 * requests that a quiet caller happens to send together the second would wait for a whole round of
 * the others; the fewer requests an entry serves, the longer that takes. A hot caller gains four
 * requests, once.
 *
 * <p>Memory is bounded by {@link #MAX_FLOWS} clocks of each sort, beyond the requests that wait: a
 * clock that is dropped early makes its owner look new, which costs fairness for one request.
 *
 * <p>Not safe for use by several threads. Adding, taking and removing cost O(log n).
 *
 * @param <T> what waits
 */
public final class FairQueue<T> {
  /** How many virtual clocks of callers, and of keys, are kept at most. */
  static final int MAX_FLOWS = 4_096;

  /** How many requests a flow may be ahead of its turn without having to wait for it. */
  private static final int BURST_ALLOWANCE = 4;

  /** Over how many served requests the pace of turns is taken: 0.4 s of one entry of nine. */
  private static final int RATE_WINDOW_REQUESTS = 200;

  /** How many times an even part of the queue one flow may hold before it is called hot. */
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

  /** A place in the queue; hand it back to {@link #restore} or {@link #remove}. */
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

    private Ticket(T item, String caller, String key, long start, long sequence, boolean excess) {
      this.backlogged = excess;
      this.item = item;
      this.caller = caller;
      this.key = key;
      this.startTime = start;
      this.sequence = sequence;
    }

    /** Returns whether its caller or key had had its turn already when it was added. */
    public boolean isBacklogged() {
      return backlogged;
    }

    /** Returns what waits. */
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
   * Adds a request at its caller's and its key's turn.
   *
   * @param key what the request is about; empty where it names nothing
   */
  public Ticket<T> add(T item, String caller, String key) {
    requireNonNull(item, "item");
    long start = advanceClock(callerClocks, caller);
    if (!key.isEmpty()) {
      start = Math.max(start, advanceClock(keyClocks, key));
    }
    Ticket<T> ticket = new Ticket<>(item, caller, key, start, sequence++, start > virtualTime);
    insert(ticket);
    return ticket;
  }

  private long advanceClock(Map<String, Long> clocks, String flow) {
    long start = clockOf(clocks, flow);
    clocks.put(flow, start + 1);
    return startTimeAt(start);
  }

  private long startTimeAt(long start) {
    return Math.max(virtualTime, start - BURST_ALLOWANCE);
  }

  private long clockOf(Map<String, Long> clocks, String flow) {
    return Math.max(virtualTime, clocks.getOrDefault(flow, virtualTime));
  }

  /** Puts a request that was taken but not served back at its old place. */
  public void restore(Ticket<T> ticket) {
    checkArgument(!waiting.contains(ticket), "the ticket already waits");
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

  /** Takes the request whose turn it is, or returns empty if none waits. */
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

  /** Removes a request that waits; returns whether it did. */
  public boolean remove(Ticket<T> ticket) {
    boolean waited = waiting.remove(ticket);
    if (waited) {
      updateCountsOnRemoval(ticket);
    }
    return waited;
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

  /** Returns how many requests wait. */
  public int size() {
    return waiting.size();
  }

  /** Returns how many clocks of callers are kept, at most {@link #MAX_FLOWS}. */
  int callerClockCount() {
    return callerClocks.size();
  }

  /** Returns whether no request waits. */
  public boolean isEmpty() {
    return waiting.isEmpty();
  }

  /** Returns how many requests are served before one that the given caller would add now. */
  public int countAhead(String caller, String key) {
    return startTimeCounts.countUpTo(
        StartTimeCounts.slotOf(nextStartTime(caller, key), virtualTime), virtualTime);
  }

  /**
   * Returns how many requests are likely served before one that the given caller would add now,
   * those included that come later and pass it, if turns go on at the pace of late.
   */
  public int expectedCountAhead(String caller, String key) {
    double lead = (nextStartTime(caller, key) - virtualTime) / virtualTimePerRequest;
    return Math.max(countAhead(caller, key), (int) Math.min(Integer.MAX_VALUE, lead));
  }

  private long nextStartTime(String caller, String key) {
    long start = clockOf(callerClocks, caller);
    if (!key.isEmpty()) {
      start = Math.max(start, clockOf(keyClocks, key));
    }
    return startTimeAt(start);
  }

  /** Returns whether a request that the given caller would add now is beyond its turn. */
  public boolean isBacklogged(String caller, String key) {
    return nextStartTime(caller, key) > virtualTime;
  }

  /** Returns whether the given caller or key has more waiting than an even part of the queue. */
  public boolean isOverFairShare(String caller, String key) {
    long ofCaller = (long) waitingOfCaller.getOrDefault(caller, 0) * waitingOfCaller.size();
    long ofKey = key.isEmpty() ? 0 : (long) waitingOfKey.getOrDefault(key, 0) * waitingOfKey.size();
    return Math.max(ofCaller, ofKey) > OVER_SHARE_FACTOR * waiting.size();
  }
}
