package io.marigoldsail.idempotency;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What a home knows of the keys it ran lately: each runs once, and all who ask get its outcome.
 *
 * <p>A key is never forgotten before its time; where there is no room for a new one the request is
 * refused. Answers may give way to newer ones, then the key still says that its request ran. A pure
 * state machine, confined to one thread; times are nanoseconds of one monotonic clock.
 *
 * @param <W> the type of those who wait for an outcome
 * @param <A> the type of an outcome
 */
public final class IdempotencyKeyStore<W, A> {
  /** What is to be done with a request that names a key. */
  public sealed interface Admission<A> {
    /** Run it. */
    record Run<A>() implements Admission<A> {}

    /** It waits for the outcome of the one that runs. */
    record Join<A>() implements Admission<A> {}

    /** It ran already; the outcome is empty where it is not kept any more. */
    record Completed<A>(Optional<A> outcome) implements Admission<A> {}

    /** The key named another request before. */
    record Conflict<A>() implements Admission<A> {}

    /** There is no room to remember another key. */
    record Full<A>() implements Admission<A> {}
  }

  /** One key: running while {@code forgetAt} is 0. */
  private static final class KeyState<W, A> {
    private final long fingerprint;
    private final List<W> waiters = new ArrayList<>();
    private Optional<A> outcome = Optional.empty();
    private long bytes;
    private long expiresAt;
    private boolean ended;

    KeyState(long fingerprint) {
      this.fingerprint = fingerprint;
    }
  }

  /**
   * A key whose request ran, as another store may take it over.
   *
   * @param key the key
   * @param fingerprint stands for the request's method, path and body
   * @param outcome empty where it is not kept any more
   * @param outcomeBytes what the outcome holds
   * @param expiresAt when the key is forgotten, in nanoseconds of the store's clock
   */
  public record CompletedKey<A>(
      String key, long fingerprint, Optional<A> outcome, long outcomeBytes, long expiresAt) {}

  private final int maxKeys;
  private final long maxBytes;
  private final Map<String, KeyState<W, A>> running = new LinkedHashMap<>();
  private final LinkedHashMap<String, KeyState<W, A>> completed = new LinkedHashMap<>();
  private long bytes;

  /**
   * Creates an empty store.
   *
   * @param maxKeys how many keys are known at most
   * @param maxBytes how many bytes of outcomes are kept at most, all together
   */
  public IdempotencyKeyStore(int maxKeys, long maxBytes) {
    checkArgument(maxKeys > 0, "maxKeys is not positive: %s", maxKeys);
    checkArgument(maxBytes >= 0, "maxBytes is negative: %s", maxBytes);
    this.maxKeys = maxKeys;
    this.maxBytes = maxBytes;
  }

  /**
   * Takes a request in.
   *
   * @param key the key
   * @param fingerprint stands for the request's method, path and body
   * @param waiter who is kept to be handed back where the admission is {@link Admission.Join}
   * @param now the time
   */
  public Admission<A> admit(String key, long fingerprint, W waiter, long now) {
    expire(now);
    KeyState<W, A> known = running.getOrDefault(key, completed.get(key));
    if (known == null) {
      if (running.size() + completed.size() >= maxKeys) {
        return new Admission.Full<>();
      }
      running.put(key, new KeyState<>(fingerprint));
      return new Admission.Run<>();
    }
    if (known.ended && known.expiresAt - now <= 0) {
      // One that was taken over may stand behind others that are forgotten later.
      releaseBytes(known);
      completed.remove(key);
      return admit(key, fingerprint, waiter, now);
    }
    if (known.fingerprint != fingerprint) {
      return new Admission.Conflict<>();
    }
    if (known.ended) {
      return new Admission.Completed<>(known.outcome);
    }
    known.waiters.add(waiter);
    return new Admission.Join<>();
  }

  /**
   * Notes that the key's request ran and how it ended.
   *
   * @param key the key
   * @param outcome what whoever asks again is given
   * @param outcomeBytes what it holds; one that alone is more than all may hold is not kept
   * @param now the time
   * @return those who wait for the outcome
   */
  public List<W> complete(String key, A outcome, long outcomeBytes, long now) {
    KeyState<W, A> known = running.remove(key);
    checkState(known != null, "%s does not run", key);
    recordCompletion(
        key, known, Optional.of(outcome), outcomeBytes, now + KeyTimeouts.OUTCOME_RETENTION_NANOS);
    List<W> waiters = ImmutableList.copyOf(known.waiters);
    known.waiters.clear();
    return waiters;
  }

  /** Notes that the key's request did not run after all; returns those who wait. */
  public List<W> abort(String key) {
    KeyState<W, A> known = running.remove(key);
    checkState(known != null, "%s does not run", key);
    return ImmutableList.copyOf(known.waiters);
  }

  /** Returns the keys of the shard whose requests ran; those that run now are not among them. */
  public List<CompletedKey<A>> completedKeys(int shard, long now) {
    expire(now);
    ImmutableList.Builder<CompletedKey<A>> found = ImmutableList.builder();
    completed.forEach(
        (key, known) -> {
          if (KeyShards.of(key) == shard) {
            found.add(
                new CompletedKey<>(
                    key, known.fingerprint, known.outcome, known.bytes, known.expiresAt));
          }
        });
    return found.build();
  }

  /**
   * Takes keys over from a store that runs none of them any more: all, or none where there is no
   * room.
   *
   * <p>A key known here by an older run gives way to the one taken over.
   *
   * @return whether they are known now
   */
  public boolean importKeys(List<CompletedKey<A>> keys, long now) {
    expire(now);
    if (running.size() + completed.size() + keys.size() > maxKeys) {
      return false;
    }
    for (CompletedKey<A> key : keys) {
      if (running.containsKey(key.key())) {
        continue;
      }
      KeyState<W, A> older = completed.remove(key.key());
      if (older != null) {
        releaseBytes(older);
      }
      recordCompletion(
          key.key(),
          new KeyState<>(key.fingerprint()),
          key.outcome(),
          key.outcomeBytes(),
          key.expiresAt());
    }
    return true;
  }

  private void recordCompletion(
      String key, KeyState<W, A> known, Optional<A> outcome, long outcomeBytes, long forgetAt) {
    known.ended = true;
    known.expiresAt = forgetAt;
    completed.put(key, known);
    if (outcomeBytes <= maxBytes) {
      known.outcome = outcome;
      known.bytes = outcomeBytes;
      bytes += outcomeBytes;
      evictOutcomes();
    }
  }

  private void releaseBytes(KeyState<W, A> known) {
    bytes -= known.bytes;
  }

  private void evictOutcomes() {
    for (KeyState<W, A> oldest : completed.values()) {
      if (bytes <= maxBytes) {
        return;
      }
      bytes -= oldest.bytes;
      oldest.bytes = 0;
      oldest.outcome = Optional.empty();
    }
  }

  /** Forgets what ended longer ago than the window. */
  private void expire(long now) {
    Iterator<KeyState<W, A>> oldest = completed.values().iterator();
    while (oldest.hasNext()) {
      KeyState<W, A> known = oldest.next();
      if (known.expiresAt - now > 0) {
        return;
      }
      releaseBytes(known);
      oldest.remove();
    }
  }
}
