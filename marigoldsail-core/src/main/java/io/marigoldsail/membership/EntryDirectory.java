package io.marigoldsail.membership;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.marigoldsail.log.Fold;
import io.marigoldsail.log.LogEntry;
import io.marigoldsail.log.NewHistory;
import io.marigoldsail.time.MonotonicClock;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The running entries, folded from the stream {@code members}.
 *
 * <p>Each entry appends an {@link EntryPresence} every few seconds and whenever it changes. An
 * entry expires a fixed time after its last record was read. While the log itself is unavailable
 * nothing can be received, and expiring all entries would disconnect side processes from healthy
 * ones; call {@link #extendAll} after an outage. Safe for any thread.
 */
public final class EntryDirectory implements Fold {
  /** The name of the stream. */
  public static final String STREAM = "members";

  private record Held(EntryPresence presence, long expiresAt) {}

  private final MonotonicClock clock;
  private final long keepNanos;
  private final Map<String, Held> entries = new TreeMap<>();

  /**
   * Creates an empty directory.
   *
   * @param clock the process's clock
   * @param keepNanos how long an entry is kept after its last record was read, in nanoseconds
   */
  public EntryDirectory(MonotonicClock clock, long keepNanos) {
    this.clock = requireNonNull(clock, "clock");
    this.keepNanos = keepNanos;
  }

  /** Returns the entries that have not expired, by name. */
  public synchronized List<EntryPresence> entries() {
    long now = clock.nanos();
    return entries.values().stream()
        .filter(kept -> kept.expiresAt() > now)
        .map(Held::presence)
        .toList();
  }

  /** Restarts the timeout of all entries, after a log outage. */
  public synchronized void extendAll() {
    long expiresAt = clock.nanos() + keepNanos;
    entries.replaceAll((name, kept) -> new Held(kept.presence(), expiresAt));
  }

  @Override
  public synchronized void apply(LogEntry entry) {
    if (entry.type().equals(EntryPresence.TYPE)) {
      EntryPresence.read(entry.body()).ifPresent(this::take);
    }
  }

  /** Ignores a late record of an earlier incarnation, which must not replace a later one. */
  private void take(EntryPresence presence) {
    Held kept = entries.get(presence.name());
    if (kept != null && kept.presence().incarnation() > presence.incarnation()) {
      return;
    }
    if (presence.gone()) {
      entries.remove(presence.name());
      return;
    }
    entries.put(presence.name(), new Held(presence, clock.nanos() + keepNanos));
  }

  /** Every entry appends its presence again within seconds, in any history. */
  @Override
  public NewHistory onNewHistory() {
    return NewHistory.READ_ON;
  }

  @Override
  public synchronized JsonNode snapshot() {
    ArrayNode all = JsonNodeFactory.instance.arrayNode();
    entries.values().forEach(kept -> all.add(kept.presence().write()));
    return all;
  }

  @Override
  public synchronized void restore(JsonNode snapshot) {
    entries.clear();
    for (JsonNode node : snapshot) {
      Optional<EntryPresence> presence = EntryPresence.read(node);
      presence.ifPresent(this::take);
    }
  }
}
