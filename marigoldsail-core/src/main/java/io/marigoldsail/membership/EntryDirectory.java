package io.marigoldsail.membership;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.marigoldsail.log.Fold;
import io.marigoldsail.log.HistoryReplacementPolicy;
import io.marigoldsail.log.LogEntry;
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
 * ones; call {@link #restartTimeouts} after an outage. Safe for any thread.
 */
public final class EntryDirectory implements Fold {
  /** The name of the stream. */
  public static final String STREAM = "members";

  private record KeptEntry(EntryPresence presence, long expiresAt) {}

  private final MonotonicClock clock;
  private final long timeoutNanos;
  private final Map<String, KeptEntry> entries = new TreeMap<>();

  /**
   * Creates an empty directory.
   *
   * @param clock the process's clock
   * @param timeoutNanos how long an entry is kept after its last record was read, in nanoseconds
   */
  public EntryDirectory(MonotonicClock clock, long timeoutNanos) {
    this.clock = requireNonNull(clock, "clock");
    this.timeoutNanos = timeoutNanos;
  }

  /** Returns the entries that have not expired, by name. */
  public synchronized List<EntryPresence> entries() {
    long now = clock.nanos();
    return entries.values().stream()
        .filter(kept -> kept.expiresAt() > now)
        .map(KeptEntry::presence)
        .toList();
  }

  /** Restarts the timeout of all entries, after a log outage. */
  public synchronized void restartTimeouts() {
    long expiresAt = clock.nanos() + timeoutNanos;
    entries.replaceAll((name, kept) -> new KeptEntry(kept.presence(), expiresAt));
  }

  @Override
  public synchronized void apply(LogEntry entry) {
    if (entry.type().equals(EntryPresence.TYPE)) {
      EntryPresence.fromJson(entry.body()).ifPresent(this::update);
    }
  }

  /** Ignores a late record of an earlier incarnation, which must not replace a later one. */
  private void update(EntryPresence presence) {
    KeptEntry kept = entries.get(presence.name());
    if (kept != null && kept.presence().incarnation() > presence.incarnation()) {
      return;
    }
    if (presence.removed()) {
      entries.remove(presence.name());
      return;
    }
    entries.put(presence.name(), new KeptEntry(presence, clock.nanos() + timeoutNanos));
  }

  /** Every entry appends its presence again within seconds, in any history. */
  @Override
  public HistoryReplacementPolicy historyReplacementPolicy() {
    return HistoryReplacementPolicy.READ_ON;
  }

  @Override
  public synchronized JsonNode snapshot() {
    ArrayNode all = JsonNodeFactory.instance.arrayNode();
    entries.values().forEach(kept -> all.add(kept.presence().toJson()));
    return all;
  }

  @Override
  public synchronized void restore(JsonNode snapshot) {
    entries.clear();
    for (JsonNode node : snapshot) {
      Optional<EntryPresence> presence = EntryPresence.fromJson(node);
      presence.ifPresent(this::update);
    }
  }
}
