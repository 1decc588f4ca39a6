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
public final class KeyStore<W, A> {
  /** What is to be done with a request that names a key. */
  public sealed interface Admission<A> {
    /** Run it. */
    record Run<A>() implements Admission<A> {}

    /** It waits for the outcome of the one that runs. */
    record Join<A>() implements Admission<A> {}

    /** It ran already; the outcome is empty where it is not kept any more. */
    record Ran<A>(Optional<A> outcome) implements Admission<A> {}

    /** The key named another request before. */
    record Conflict<A>() implements Admission<A> {}

    /** There is no room to remember another key. */
    record Full<A>() implements Admission<A> {}
  }

  /** One key: running while {@code forgetAt} is 0. */
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
   * A key whose request ran, as another store may take it over.
   *
   * @param key the key
   * @param fingerprint stands for the request's method, path and body
   * @param outcome empty where it is not kept any more
   * @param outcomeBytes what the outcome holds
   * @param forgetAt when the key is forgotten, in nanoseconds of the store's clock
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
   * @param maxKeys how many keys are known at most
   * @param maxBytes how many bytes of outcomes are kept at most, all together
   */
  public KeyStore(int maxKeys, long maxBytes) {
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
    Known<W, A> known = running.getOrDefault(key, ended.get(key));
    if (known == null) {
      if (running.size() + ended.size() >= maxKeys) {
        return new Admission.Full<>();
      }
      running.put(key, new Known<>(fingerprint));
      return new Admission.Run<>();
    }
    if (known.ended && known.forgetAt - now <= 0) {
      // One that was taken over may stand behind others that are forgotten later.
      forget(known);
      ended.remove(key);
      return admit(key, fingerprint, waiter, now);
    }
    if (known.fingerprint != fingerprint) {
      return new Admission.Conflict<>();
    }
    if (known.ended) {
      return new Admission.Ran<>(known.outcome);
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
  public List<W> ran(String key, A outcome, long outcomeBytes, long now) {
    Known<W, A> known = running.remove(key);
    checkState(known != null, "%s does not run", key);
    end(key, known, Optional.of(outcome), outcomeBytes, now + KeyTerms.WINDOW_NANOS);
    List<W> waiters = ImmutableList.copyOf(known.waiters);
    known.waiters.clear();
    return waiters;
  }

  /** Notes that the key's request did not run after all; returns those who wait. */
  public List<W> notRun(String key) {
    Known<W, A> known = running.remove(key);
    checkState(known != null, "%s does not run", key);
    return ImmutableList.copyOf(known.waiters);
  }

  /** Returns the keys of the shard whose requests ran; those that run now are not among them. */
  public List<Ended<A>> endedOf(int shard, long now) {
    expire(now);
    ImmutableList.Builder<Ended<A>> found = ImmutableList.builder();
    ended.forEach(
        (key, known) -> {
          if (KeyShards.of(key) == shard) {
            found.add(
                new Ended<>(key, known.fingerprint, known.outcome, known.bytes, known.forgetAt));
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
      String key, Known<W, A> known, Optional<A> outcome, long outcomeBytes, long forgetAt) {
    known.ended = true;
    known.forgetAt = forgetAt;
    ended.put(key, known);
    if (outcomeBytes <= maxBytes) {
      known.outcome = outcome;
      known.bytes = outcomeBytes;
      bytes += outcomeBytes;
      dropOutcomes();
    }
  }

  private void forget(Known<W, A> known) {
    bytes -= known.bytes;
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

  /** Forgets what ended longer ago than the window. */
  private void expire(long now) {
    Iterator<Known<W, A>> oldest = ended.values().iterator();
    while (oldest.hasNext()) {
      Known<W, A> known = oldest.next();
      if (known.forgetAt - now > 0) {
        return;
      }
      forget(known);
      oldest.remove();
    }
  }
}
