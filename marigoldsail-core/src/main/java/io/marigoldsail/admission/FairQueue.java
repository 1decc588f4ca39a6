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
 * <p>A flow may be {@link #AHEAD} requests ahead of its turn. Without that, of two requests that a
 * quiet caller happens to send together the second would wait for a whole round of the others; the
 * fewer requests an entry serves, the longer that takes. A hot caller gains four requests, once.
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
  private static final int AHEAD = 4;

  /** Over how many served requests the pace of turns is taken: 0.4 s of one entry of nine. */
  private static final int PACE_REQUESTS = 200;

  /** How many times an even part of the queue one flow may hold before it is called hot. */
  private static final int OVER_SHARE_FACTOR = 2;

  private final TreeSet<Ticket<T>> waiting = new TreeSet<>(Ticket.ORDER);
  private final Map<String, Integer> waitingOfCaller = new HashMap<>();
  private final Map<String, Integer> waitingOfKey = new HashMap<>();
  private final Map<String, Long> callerClocks = new BoundedClocks();
  private final Map<String, Long> keyClocks = new BoundedClocks();
  private final TurnCounts turns = new TurnCounts();
  private long virtualTime;
  private long sequence;
  private int served;
  private long virtualTimeBefore;
  private double turnsPerRequest = 1;

  /** A place in the queue; hand it back to {@link #restore} or {@link #remove}. */
  public static final class Ticket<T> {
    private static final Comparator<Ticket<?>> ORDER =
        Comparator.<Ticket<?>>comparingLong(ticket -> ticket.start)
            .thenComparingLong(ticket -> ticket.sequence);

    private final T item;
    private final String caller;
    private final String key;
    private final long start;
    private final long sequence;
    private final boolean excess;
    private int place;

    private Ticket(T item, String caller, String key, long start, long sequence, boolean excess) {
      this.excess = excess;
      this.item = item;
      this.caller = caller;
      this.key = key;
      this.start = start;
      this.sequence = sequence;
    }

    /** Returns whether its caller or key had had its turn already when it was added. */
    public boolean isExcess() {
      return excess;
    }

    /** Returns what waits. */
    public T item() {
      return item;
    }
  }

  /** Creates an empty queue. */
  public FairQueue() {}

  private static final class BoundedClocks extends LinkedHashMap<String, Long> {
    private static final long serialVersionUID = 1;

    private BoundedClocks() {
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
    long start = advance(callerClocks, caller);
    if (!key.isEmpty()) {
      start = Math.max(start, advance(keyClocks, key));
    }
    Ticket<T> ticket = new Ticket<>(item, caller, key, start, sequence++, start > virtualTime);
    insert(ticket);
    return ticket;
  }

  private long advance(Map<String, Long> clocks, String flow) {
    long start = startOf(clocks, flow);
    clocks.put(flow, start + 1);
    return turnOf(start);
  }

  private long turnOf(long start) {
    return Math.max(virtualTime, start - AHEAD);
  }

  private long startOf(Map<String, Long> clocks, String flow) {
    return Math.max(virtualTime, clocks.getOrDefault(flow, virtualTime));
  }

  /** Puts a request that was taken but not served back at its old place. */
  public void restore(Ticket<T> ticket) {
    checkArgument(!waiting.contains(ticket), "the ticket already waits");
    served--;
    insert(ticket);
  }

  private void insert(Ticket<T> ticket) {
    waiting.add(ticket);
    ticket.place = TurnCounts.placeOf(ticket.start, virtualTime);
    turns.add(ticket.place, 1);
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
    virtualTime = Math.max(virtualTime, ticket.start);
    forget(ticket);
    notePace();
    return Optional.of(ticket);
  }

  private void notePace() {
    served++;
    if (served >= PACE_REQUESTS) {
      turnsPerRequest = Math.max(1, virtualTime - virtualTimeBefore) / (double) served;
      served = 0;
      virtualTimeBefore = virtualTime;
    }
  }

  /** Removes a request that waits; returns whether it did. */
  public boolean remove(Ticket<T> ticket) {
    boolean waited = waiting.remove(ticket);
    if (waited) {
      forget(ticket);
    }
    return waited;
  }

  private void forget(Ticket<T> ticket) {
    turns.add(ticket.place, -1);
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
  int clocks() {
    return callerClocks.size();
  }

  /** Returns whether no request waits. */
  public boolean isEmpty() {
    return waiting.isEmpty();
  }

  /** Returns how many requests are served before one that the given caller would add now. */
  public int aheadOf(String caller, String key) {
    return turns.upTo(TurnCounts.placeOf(nextTurn(caller, key), virtualTime), virtualTime);
  }

  /**
   * Returns how many requests are likely served before one that the given caller would add now,
   * those included that come later and pass it, if turns go on at the pace of late.
   */
  public int expectedAheadOf(String caller, String key) {
    double lead = (nextTurn(caller, key) - virtualTime) / turnsPerRequest;
    return Math.max(aheadOf(caller, key), (int) Math.min(Integer.MAX_VALUE, lead));
  }

  private long nextTurn(String caller, String key) {
    long start = startOf(callerClocks, caller);
    if (!key.isEmpty()) {
      start = Math.max(start, startOf(keyClocks, key));
    }
    return turnOf(start);
  }

  /** Returns whether a request that the given caller would add now is beyond its turn. */
  public boolean isExcess(String caller, String key) {
    return nextTurn(caller, key) > virtualTime;
  }

  /** Returns whether the given caller or key has more waiting than an even part of the queue. */
  public boolean isOverShare(String caller, String key) {
    long ofCaller = (long) waitingOfCaller.getOrDefault(caller, 0) * waitingOfCaller.size();
    long ofKey = key.isEmpty() ? 0 : (long) waitingOfKey.getOrDefault(key, 0) * waitingOfKey.size();
    return Math.max(ofCaller, ofKey) > OVER_SHARE_FACTOR * waiting.size();
  }
}
