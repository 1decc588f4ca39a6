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
 * The recently run idempotency keys of a shard owner. Each key's request runs once, and all
 * requests with the key get its outcome.
 *
 * <p>No key is evicted before it expires; a new key is refused if the store is full. Old outcomes
 * may be evicted for newer ones; the key then still records that its request ran. A pure state
 * machine, confined to one thread; times are nanoseconds of one monotonic clock.
 *
 * @param <W> the type of a waiter for an outcome
 * @param <A> the type of an outcome
 */
public final class IdempotencyKeyStore<W, A> {
  /** The decision on a request with a key. */
  public sealed interface Admission<A> {
    /** The request runs now. */
    record Run<A>() implements Admission<A> {}

    /** A request with this key is running; this one waits for its outcome. */
    record Join<A>() implements Admission<A> {}

    /** A request with this key has run; the outcome is empty if it was evicted. */
    record Completed<A>(Optional<A> outcome) implements Admission<A> {}

    /** The key was used with a different request. */
    record Conflict<A>() implements Admission<A> {}

    /** The store has no capacity for another key. */
    record Full<A>() implements Admission<A> {}
  }

  /** The state of one key; {@code expiresAt} is 0 while its request is running. */
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
   * A key whose request has run, for transfer to another store.
   *
   * @param key the key
   * @param fingerprint hash of the request's method, path and body
   * @param outcome the outcome; empty if it was evicted
   * @param outcomeBytes size of the outcome, in bytes
   * @param expiresAt expiry time of the key, in nanoseconds of the store's clock
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
   * @param maxKeys maximum number of keys
   * @param maxBytes maximum total size of outcomes, in bytes
   */
  public IdempotencyKeyStore(int maxKeys, long maxBytes) {
    checkArgument(maxKeys > 0, "maxKeys is not positive: %s", maxKeys);
    checkArgument(maxBytes >= 0, "maxBytes is negative: %s", maxBytes);
    this.maxKeys = maxKeys;
    this.maxBytes = maxBytes;
  }

  /**
   * Decides on a request with a key.
   *
   * @param key the key
   * @param fingerprint hash of the request's method, path and body
   * @param waiter kept if the result is {@link Admission.Join}, and returned when the running
   *     request ends
   * @param now current monotonic time, in nanoseconds
   */
  public Admission<A> admit(String key, long fingerprint, W waiter, long now) {
    expire(now);
    KeyState<W, A> state = running.getOrDefault(key, completed.get(key));
    if (state == null) {
      if (running.size() + completed.size() >= maxKeys) {
        return new Admission.Full<>();
      }
      running.put(key, new KeyState<>(fingerprint));
      return new Admission.Run<>();
    }
    if (state.ended && state.expiresAt - now <= 0) {
      // An imported key may be queued behind keys that expire later.
      releaseBytes(state);
      completed.remove(key);
      return admit(key, fingerprint, waiter, now);
    }
    if (state.fingerprint != fingerprint) {
      return new Admission.Conflict<>();
    }
    if (state.ended) {
      return new Admission.Completed<>(state.outcome);
    }
    state.waiters.add(waiter);
    return new Admission.Join<>();
  }

  /**
   * Records the outcome of the key's request.
   *
   * @param key the key
   * @param outcome the outcome, which later requests with the key get
   * @param outcomeBytes size of the outcome, in bytes; an outcome larger than the store's limit is
   *     not kept
   * @param now current monotonic time, in nanoseconds
   * @return the requests that wait for the outcome
   * @throws IllegalStateException if no request with the key is running
   */
  public List<W> complete(String key, A outcome, long outcomeBytes, long now) {
    KeyState<W, A> state = running.remove(key);
    checkState(state != null, "no request with key %s is running", key);
    recordCompletion(
        key, state, Optional.of(outcome), outcomeBytes, now + KeyTimeouts.OUTCOME_RETENTION_NANOS);
    List<W> waiters = ImmutableList.copyOf(state.waiters);
    state.waiters.clear();
    return waiters;
  }

  /**
   * Removes a key whose request did not run after all, and returns the requests that wait for it.
   *
   * @throws IllegalStateException if no request with the key is running
   */
  public List<W> abort(String key) {
    KeyState<W, A> state = running.remove(key);
    checkState(state != null, "no request with key %s is running", key);
    return ImmutableList.copyOf(state.waiters);
  }

  /** Returns the keys of the shard whose requests have run, without those that are running. */
  public List<CompletedKey<A>> completedKeys(int shard, long now) {
    expire(now);
    ImmutableList.Builder<CompletedKey<A>> found = ImmutableList.builder();
    completed.forEach(
        (key, state) -> {
          if (KeyShards.of(key) == shard) {
            found.add(
                new CompletedKey<>(
                    key, state.fingerprint, state.outcome, state.bytes, state.expiresAt));
          }
        });
    return found.build();
  }

  /**
   * Imports keys from a store that no longer runs any of them: all of them, or none if capacity is
   * insufficient.
   *
   * <p>An imported key replaces a completed key of the same name, which is from an older run.
   *
   * @return whether the keys were imported
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
      String key, KeyState<W, A> state, Optional<A> outcome, long outcomeBytes, long expiresAt) {
    state.ended = true;
    state.expiresAt = expiresAt;
    completed.put(key, state);
    if (outcomeBytes <= maxBytes) {
      state.outcome = outcome;
      state.bytes = outcomeBytes;
      bytes += outcomeBytes;
      evictOutcomes();
    }
  }

  private void releaseBytes(KeyState<W, A> state) {
    bytes -= state.bytes;
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

  /** Removes completed keys whose retention time has passed. */
  private void expire(long now) {
    Iterator<KeyState<W, A>> oldest = completed.values().iterator();
    while (oldest.hasNext()) {
      KeyState<W, A> state = oldest.next();
      if (state.expiresAt - now > 0) {
        return;
      }
      releaseBytes(state);
      oldest.remove();
    }
  }
}
