package io.marigoldsail.dispatch;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The state of each attempt that a side process has seen: not run, running or done. It ensures that
 * an attempt runs at most once, and that an attempt reported as not run never runs.
 *
 * <p>An attempt may start only if its id was never seen. Rejecting an attempt, or resolving one
 * that never arrived, sets a tombstone on its id, so that a delayed copy cannot run later.
 * Responses of ended attempts are kept for entries that lost the connection on which the response
 * was sent.
 *
 * <p>Once an entry has acknowledged a response it never asks for it again, so only the id is kept,
 * as one bit. Otherwise the kept responses of a fast target survive young collections and fill the
 * old generation, and collecting it delays all requests.
 *
 * <p>Ids of ended attempts are kept for a limited time and up to a maximum count. To distinguish an
 * id that was never seen from one that was evicted, the highest evicted sequence per entry
 * incarnation is kept, and no attempt with this or a lower sequence is admitted. Sequences are
 * assigned when an attempt is sent, so an active attempt is never that old.
 *
 * <p>A pure state machine, confined to one thread; times are nanoseconds of one monotonic clock.
 *
 * @param <A> the type of a kept response
 */
public final class AttemptTable<A> {
  /** The state of an attempt. */
  public enum State {
    /** Never seen. */
    UNSEEN,
    /** The attempt did not run and never will. */
    TOMBSTONE,
    /** Waiting for a free slot; can still be marked as not run. */
    WAITING,
    /** Passed to the target. */
    RUNNING,
    /** Ended; the response is kept. */
    DONE,
    /** Seen before, or so old that this is unknown; no response is kept. */
    FORGOTTEN
  }

  private record EndedAttempt<A>(State state, Optional<A> response, long bytes, long expiresAt) {}

  private final int maxEnded;
  private final long maxResponseBytes;
  private final long retentionNanos;
  private final Map<AttemptId, State> active = new HashMap<>();
  private final LinkedHashMap<AttemptId, EndedAttempt<A>> ended = new LinkedHashMap<>();
  private final LinkedHashMap<AttemptId, Long> responseSizes = new LinkedHashMap<>();
  private final Map<Long, AcknowledgedSequences> acknowledgedSequences = new HashMap<>();
  private final Map<Long, Long> highestEvictedSequence = new HashMap<>();
  private long responseBytes;

  /**
   * Creates an empty table.
   *
   * @param maxEnded maximum number of ended attempts kept
   * @param maxResponseBytes maximum total size of kept responses, in bytes
   * @param retentionNanos time that an ended attempt is kept, in nanoseconds
   */
  public AttemptTable(int maxEnded, long maxResponseBytes, long retentionNanos) {
    checkArgument(maxEnded > 0, "maxEnded is not positive: %s", maxEnded);
    checkArgument(maxResponseBytes >= 0, "maxResponseBytes is negative: %s", maxResponseBytes);
    checkArgument(retentionNanos > 0, "retentionNanos is not positive: %s", retentionNanos);
    this.maxEnded = maxEnded;
    this.maxResponseBytes = maxResponseBytes;
    this.retentionNanos = retentionNanos;
  }

  /** Returns the state of the attempt. */
  public State state(AttemptId id) {
    State activeState = active.get(id);
    if (activeState != null) {
      return activeState;
    }
    EndedAttempt<A> kept = ended.get(id);
    if (kept != null) {
      return kept.state();
    }
    Long highestEvicted = highestEvictedSequence.get(id.entryIncarnation());
    if (highestEvicted != null && id.sequence() <= highestEvicted) {
      return State.FORGOTTEN;
    }
    AcknowledgedSequences acknowledged = acknowledgedSequences.get(id.entryIncarnation());
    return acknowledged != null && acknowledged.contains(id.sequence())
        ? State.FORGOTTEN
        : State.UNSEEN;
  }

  /** Returns the response of a done attempt, if it is still kept. */
  public Optional<A> response(AttemptId id) {
    EndedAttempt<A> kept = ended.get(id);
    return kept == null ? Optional.empty() : kept.response();
  }

  /**
   * Admits an attempt, which then waits for a slot.
   *
   * @return whether it may run; false if its id was seen before
   */
  public boolean admit(AttemptId id) {
    if (state(id) != State.UNSEEN) {
      return false;
    }
    active.put(id, State.WAITING);
    return true;
  }

  /**
   * Records that a waiting attempt was passed to the target.
   *
   * @throws IllegalStateException if the attempt is not waiting
   */
  public void started(AttemptId id) {
    checkState(
        active.get(id) == State.WAITING, "attempt %s is %s, expected WAITING", id, state(id));
    active.put(id, State.RUNNING);
  }

  /**
   * Sets a tombstone on an attempt that has not started.
   *
   * @return true if the attempt is proven never to run; false if it is running, has run, or its id
   *     was evicted
   */
  public boolean markNotRun(AttemptId id, long now) {
    State state = state(id);
    if (state == State.TOMBSTONE) {
      return true;
    }
    if (state != State.UNSEEN && state != State.WAITING) {
      return false;
    }
    active.remove(id);
    end(id, new EndedAttempt<>(State.TOMBSTONE, Optional.empty(), 0, now + retentionNanos), now);
    return true;
  }

  /** Sets a tombstone on a started attempt of which the target provably received no byte. */
  public void markUndelivered(AttemptId id, long now) {
    active.remove(id);
    end(id, new EndedAttempt<>(State.TOMBSTONE, Optional.empty(), 0, now + retentionNanos), now);
  }

  /**
   * Records the response of an attempt that ended.
   *
   * @param bytes size of the response
   * @throws IllegalStateException if the attempt is not running
   */
  public void done(AttemptId id, A response, long bytes, long now) {
    checkState(active.remove(id) == State.RUNNING, "attempt %s is not running", id);
    end(
        id,
        new EndedAttempt<>(State.DONE, Optional.of(response), bytes, now + retentionNanos),
        now);
  }

  /**
   * Drops the response of a done attempt whose entry has received it completely, but keeps its id.
   */
  public void acknowledged(AttemptId id, long now) {
    EndedAttempt<A> kept = ended.get(id);
    if (kept == null || kept.state() != State.DONE) {
      return;
    }
    ended.remove(id);
    removeResponseSize(id, kept);
    AcknowledgedSequences sequences =
        acknowledgedSequences.computeIfAbsent(
            id.entryIncarnation(), entry -> new AcknowledgedSequences());
    sequences.add(id.sequence(), now + retentionNanos);
    raiseHighestEvicted(id.entryIncarnation(), sequences.evictedUpTo());
  }

  /**
   * Records the end of an attempt whose response is too large to keep.
   *
   * @throws IllegalStateException if the attempt is not running
   */
  public void doneWithoutResponse(AttemptId id, long now) {
    checkState(active.remove(id) == State.RUNNING, "attempt %s is not running", id);
    end(id, new EndedAttempt<>(State.FORGOTTEN, Optional.empty(), 0, now + retentionNanos), now);
  }

  /** Removes ended attempts whose retention time has passed. */
  public void expire(long now) {
    expireEnded(now);
    expireAcknowledged(now);
  }

  private void expireEnded(long now) {
    Iterator<Map.Entry<AttemptId, EndedAttempt<A>>> oldest = ended.entrySet().iterator();
    while (oldest.hasNext()) {
      Map.Entry<AttemptId, EndedAttempt<A>> entry = oldest.next();
      boolean due = entry.getValue().expiresAt() - now <= 0;
      if (!due && ended.size() <= maxEnded) {
        return;
      }
      evict(entry.getKey(), entry.getValue());
      oldest.remove();
    }
  }

  /**
   * Removes the acknowledged sequences of entry incarnations that have ended, a few kilobytes each.
   */
  private void expireAcknowledged(long now) {
    Iterator<Map.Entry<Long, AcknowledgedSequences>> each =
        acknowledgedSequences.entrySet().iterator();
    while (each.hasNext()) {
      Map.Entry<Long, AcknowledgedSequences> entry = each.next();
      if (entry.getValue().expiresAt() - now <= 0) {
        raiseHighestEvicted(entry.getKey(), entry.getValue().highest());
        each.remove();
      }
    }
  }

  /** Returns the total size of kept responses, in bytes. */
  public long responseBytes() {
    return responseBytes;
  }

  private void end(AttemptId id, EndedAttempt<A> kept, long now) {
    ended.put(id, kept);
    if (kept.bytes() > 0) {
      responseSizes.put(id, kept.bytes());
      responseBytes += kept.bytes();
      evictResponses();
    }
    expireEnded(now);
  }

  /**
   * Evicts the oldest responses but keeps their ids, so that these attempts are still known to have
   * run.
   */
  private void evictResponses() {
    Iterator<Map.Entry<AttemptId, Long>> oldest = responseSizes.entrySet().iterator();
    while (responseBytes > maxResponseBytes && oldest.hasNext()) {
      Map.Entry<AttemptId, Long> entry = oldest.next();
      EndedAttempt<A> kept = ended.get(entry.getKey());
      ended.replace(
          entry.getKey(),
          new EndedAttempt<>(State.FORGOTTEN, Optional.empty(), 0, kept.expiresAt()));
      responseBytes -= entry.getValue();
      oldest.remove();
    }
  }

  private void evict(AttemptId id, EndedAttempt<A> kept) {
    raiseHighestEvicted(id.entryIncarnation(), id.sequence());
    removeResponseSize(id, kept);
  }

  private void removeResponseSize(AttemptId id, EndedAttempt<A> kept) {
    if (responseSizes.remove(id) != null) {
      responseBytes -= kept.bytes();
    }
  }

  private void raiseHighestEvicted(long entryIncarnation, long sequence) {
    highestEvictedSequence.merge(entryIncarnation, sequence, Math::max);
  }
}
