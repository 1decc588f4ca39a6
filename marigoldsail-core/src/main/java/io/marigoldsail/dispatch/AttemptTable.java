package io.marigoldsail.dispatch;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What a side process knows of each attempt: not run, running, done; and what it has forgotten.
 *
 * <p>This is what makes "not run" true and "at most once" hold. An attempt may start only if its id
 * was never seen. Refusing one, or being asked about one that never came, puts a tombstone on its
 * id, so that a copy still on its way cannot run afterwards. Answers of ended attempts are kept for
 * whoever lost the connection they were sent on.
 *
 * <p>An answer that its entry has whole is never asked for again; of it only the id is kept, as one
 * bit. Kept answers of a fast target else outlive young collections, fill the old generation, and
 * hold up every request while it is collected.
 *
 * <p>Ids of ended attempts are kept for a bounded time and number. To tell "never seen" from "seen
 * and forgotten", the highest forgotten sequence of each entry incarnation is remembered; at or
 * below it nothing is claimed. Sequences are given when an attempt is sent, so a living attempt is
 * never that old.
 *
 * <p>A pure state machine, confined to one thread; times are nanoseconds of one monotonic clock.
 *
 * @param <A> the type of a kept answer
 */
public final class AttemptTable<A> {
  /** What is known of an attempt. */
  public enum State {
    /** Never seen. */
    UNSEEN,
    /** It did not run and never will. */
    TOMBSTONE,
    /** Held for a free slot; may still be given up as not run. */
    WAITING,
    /** Handed to the target. */
    RUNNING,
    /** Ended; its answer is kept. */
    DONE,
    /** Seen once, or too old to tell. */
    FORGOTTEN
  }

  private record EndedAttempt<A>(State state, Optional<A> answer, long bytes, long expiresAt) {}

  private final int maxEnded;
  private final long maxAnswerBytes;
  private final long retentionNanos;
  private final Map<AttemptId, State> active = new HashMap<>();
  private final LinkedHashMap<AttemptId, EndedAttempt<A>> ended = new LinkedHashMap<>();
  private final LinkedHashMap<AttemptId, Long> answerSizes = new LinkedHashMap<>();
  private final Map<Long, AcknowledgedSequences> acknowledgedSequences = new HashMap<>();
  private final Map<Long, Long> highestForgotten = new HashMap<>();
  private long responseBytes;

  /**
   * Creates an empty ledger.
   *
   * @param maxEnded how many ended attempts are kept at most
   * @param maxAnswerBytes how many bytes of answers are kept at most, all together
   * @param windowNanos how long an ended attempt is kept
   */
  public AttemptTable(int maxEnded, long maxAnswerBytes, long windowNanos) {
    checkArgument(maxEnded > 0, "maxEnded is not positive: %s", maxEnded);
    checkArgument(maxAnswerBytes >= 0, "maxAnswerBytes is negative: %s", maxAnswerBytes);
    checkArgument(windowNanos > 0, "windowNanos is not positive: %s", windowNanos);
    this.maxEnded = maxEnded;
    this.maxAnswerBytes = maxAnswerBytes;
    this.retentionNanos = windowNanos;
  }

  /** Returns what is known of the attempt. */
  public State state(AttemptId id) {
    State living = active.get(id);
    if (living != null) {
      return living;
    }
    EndedAttempt<A> kept = ended.get(id);
    if (kept != null) {
      return kept.state();
    }
    Long mark = highestForgotten.get(id.entryIncarnation());
    if (mark != null && id.sequence() <= mark) {
      return State.FORGOTTEN;
    }
    AcknowledgedSequences known = acknowledgedSequences.get(id.entryIncarnation());
    return known != null && known.contains(id.sequence()) ? State.FORGOTTEN : State.UNSEEN;
  }

  /** Returns the answer of an attempt that is done, if it is still kept. */
  public Optional<A> response(AttemptId id) {
    EndedAttempt<A> kept = ended.get(id);
    return kept == null ? Optional.empty() : kept.answer();
  }

  /**
   * Takes an attempt in, to wait for a slot.
   *
   * @return whether it may run; false where its id was seen before
   */
  public boolean admit(AttemptId id) {
    if (state(id) != State.UNSEEN) {
      return false;
    }
    active.put(id, State.WAITING);
    return true;
  }

  /**
   * Tells that the attempt is handed to the target now.
   *
   * @throws IllegalStateException if it was not waiting
   */
  public void started(AttemptId id) {
    checkState(active.get(id) == State.WAITING, "%s is %s", id, state(id));
    active.put(id, State.RUNNING);
  }

  /**
   * Puts a tombstone on an attempt that has not started.
   *
   * @return whether that is proof that it never runs; false where it runs, ran or is forgotten
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

  /** Puts a tombstone on an attempt that was started, on proof that its target saw no byte. */
  public void markUndelivered(AttemptId id, long now) {
    active.remove(id);
    end(id, new EndedAttempt<>(State.TOMBSTONE, Optional.empty(), 0, now + retentionNanos), now);
  }

  /** Keeps the answer of an attempt that ended. */
  public void done(AttemptId id, A answer, long bytes, long now) {
    checkState(active.remove(id) == State.RUNNING, "%s was not running", id);
    end(id, new EndedAttempt<>(State.DONE, Optional.of(answer), bytes, now + retentionNanos), now);
  }

  /** Drops the answer of an attempt that is done, because its entry has it whole; not its id. */
  public void acknowledged(AttemptId id, long now) {
    EndedAttempt<A> kept = ended.get(id);
    if (kept == null || kept.state() != State.DONE) {
      return;
    }
    ended.remove(id);
    removeResponseSize(id, kept);
    AcknowledgedSequences known =
        acknowledgedSequences.computeIfAbsent(
            id.entryIncarnation(), entry -> new AcknowledgedSequences());
    known.add(id.sequence(), now + retentionNanos);
    raiseHighestForgotten(id.entryIncarnation(), known.evictedUpTo());
  }

  /** Notes that an attempt ended whose answer is too long to be kept. */
  public void doneWithoutResponse(AttemptId id, long now) {
    checkState(active.remove(id) == State.RUNNING, "%s was not running", id);
    end(id, new EndedAttempt<>(State.FORGOTTEN, Optional.empty(), 0, now + retentionNanos), now);
  }

  /** Forgets what is older than the window. */
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

  /** Lets go of entries that are gone; one of them costs a few kilobytes. */
  private void expireAcknowledged(long now) {
    Iterator<Map.Entry<Long, AcknowledgedSequences>> each =
        acknowledgedSequences.entrySet().iterator();
    while (each.hasNext()) {
      Map.Entry<Long, AcknowledgedSequences> entry = each.next();
      if (entry.getValue().expiresAt() - now <= 0) {
        raiseHighestForgotten(entry.getKey(), entry.getValue().highest());
        each.remove();
      }
    }
  }

  /** Returns how many bytes of answers are kept. */
  public long responseBytes() {
    return responseBytes;
  }

  private void end(AttemptId id, EndedAttempt<A> kept, long now) {
    ended.put(id, kept);
    if (kept.bytes() > 0) {
      answerSizes.put(id, kept.bytes());
      responseBytes += kept.bytes();
      evictResponses();
    }
    expireEnded(now);
  }

  /** Drops the oldest answers but not their ids: what they were about is known to have run. */
  private void evictResponses() {
    Iterator<Map.Entry<AttemptId, Long>> oldest = answerSizes.entrySet().iterator();
    while (responseBytes > maxAnswerBytes && oldest.hasNext()) {
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
    raiseHighestForgotten(id.entryIncarnation(), id.sequence());
    removeResponseSize(id, kept);
  }

  private void removeResponseSize(AttemptId id, EndedAttempt<A> kept) {
    if (answerSizes.remove(id) != null) {
      responseBytes -= kept.bytes();
    }
  }

  private void raiseHighestForgotten(long entryIncarnation, long sequence) {
    highestForgotten.merge(entryIncarnation, sequence, Math::max);
  }
}
