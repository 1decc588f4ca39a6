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
    known.ended = true;
    known.forgetAt = now + KeyTerms.WINDOW_NANOS;
    ended.put(key, known);
    if (outcomeBytes <= maxBytes) {
      known.outcome = Optional.of(outcome);
      known.bytes = outcomeBytes;
      bytes += outcomeBytes;
      dropOutcomes();
    }
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
      bytes -= known.bytes;
      oldest.remove();
    }
  }
}
