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
public final class KeyStore<W, A> {
  /** The decision on a request with a key. */
  public sealed interface Admission<A> {
    /** The request runs now. */
    record Run<A>() implements Admission<A> {}

    /** A request with this key is running; this one waits for its outcome. */
    record Join<A>() implements Admission<A> {}

    /** A request with this key has run; the outcome is empty if it was evicted. */
    record Ran<A>(Optional<A> outcome) implements Admission<A> {}

    /** The key was used with a different request. */
    record Conflict<A>() implements Admission<A> {}

    /** The store has no capacity for another key. */
    record Full<A>() implements Admission<A> {}
  }

  /** The state of one key; {@code forgetAt} is 0 while its request is running. */
  private static final class Known<W, A> {
    private final long fingerprint;
    private final List<W> waiters = new ArrayList<>();
    private Optional<A> outcome = Optional.empty();
    private long bytes;
    private long forgetAt;
    private boolean ended;

    Known(long fingerprint) {
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
   * @param forgetAt expiry time of the key, in nanoseconds of the store's clock
   */
  public record Ended<A>(
      String key, long fingerprint, Optional<A> outcome, long outcomeBytes, long forgetAt) {}

  private final int maxKeys;
  private final long maxBytes;
  private final Map<String, Known<W, A>> running = new LinkedHashMap<>();
  private final LinkedHashMap<String, Known<W, A>> ended = new LinkedHashMap<>();
  private long bytes;

  /**
   * Creates an empty store.
   *
   * @param maxKeys maximum number of keys
   * @param maxBytes maximum total size of outcomes, in bytes
   */
  public KeyStore(int maxKeys, long maxBytes) {
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
    Known<W, A> state = running.getOrDefault(key, ended.get(key));
    if (state == null) {
      if (running.size() + ended.size() >= maxKeys) {
        return new Admission.Full<>();
      }
      running.put(key, new Known<>(fingerprint));
      return new Admission.Run<>();
    }
    if (state.ended && state.forgetAt - now <= 0) {
      // An imported key may be queued behind keys that expire later.
      forget(state);
      ended.remove(key);
      return admit(key, fingerprint, waiter, now);
    }
    if (state.fingerprint != fingerprint) {
      return new Admission.Conflict<>();
    }
    if (state.ended) {
      return new Admission.Ran<>(state.outcome);
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
  public List<W> ran(String key, A outcome, long outcomeBytes, long now) {
    Known<W, A> state = running.remove(key);
    checkState(state != null, "no request with key %s is running", key);
    end(key, state, Optional.of(outcome), outcomeBytes, now + KeyTerms.WINDOW_NANOS);
    List<W> waiters = ImmutableList.copyOf(state.waiters);
    state.waiters.clear();
    return waiters;
  }

  /**
   * Removes a key whose request did not run after all, and returns the requests that wait for it.
   *
   * @throws IllegalStateException if no request with the key is running
   */
  public List<W> notRun(String key) {
    Known<W, A> state = running.remove(key);
    checkState(state != null, "no request with key %s is running", key);
    return ImmutableList.copyOf(state.waiters);
  }

  /** Returns the keys of the shard whose requests have run, without those that are running. */
  public List<Ended<A>> endedOf(int shard, long now) {
    expire(now);
    ImmutableList.Builder<Ended<A>> found = ImmutableList.builder();
    ended.forEach(
        (key, state) -> {
          if (KeyShards.of(key) == shard) {
            found.add(
                new Ended<>(key, state.fingerprint, state.outcome, state.bytes, state.forgetAt));
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
  public boolean takeOver(List<Ended<A>> keys, long now) {
    expire(now);
    if (running.size() + ended.size() + keys.size() > maxKeys) {
      return false;
    }
    for (Ended<A> key : keys) {
      if (running.containsKey(key.key())) {
        continue;
      }
      Known<W, A> older = ended.remove(key.key());
      if (older != null) {
        forget(older);
      }
      end(
          key.key(),
          new Known<>(key.fingerprint()),
          key.outcome(),
          key.outcomeBytes(),
          key.forgetAt());
    }
    return true;
  }

  private void end(
      String key, Known<W, A> state, Optional<A> outcome, long outcomeBytes, long forgetAt) {
    state.ended = true;
    state.forgetAt = forgetAt;
    ended.put(key, state);
    if (outcomeBytes <= maxBytes) {
      state.outcome = outcome;
      state.bytes = outcomeBytes;
      bytes += outcomeBytes;
      dropOutcomes();
    }
  }

  private void forget(Known<W, A> state) {
    bytes -= state.bytes;
  }

  private void dropOutcomes() {
    for (Known<W, A> oldest : ended.values()) {
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
    Iterator<Known<W, A>> oldest = ended.values().iterator();
    while (oldest.hasNext()) {
      Known<W, A> state = oldest.next();
      if (state.forgetAt - now > 0) {
        return;
      }
      forget(state);
      oldest.remove();
    }
  }
}
