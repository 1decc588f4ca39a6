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
 * The entries that exist, folded from the stream {@code members}.
 *
 * <p>Each entry appends a {@link EntryPresence} every few seconds and when it changes. What is not
 * appended again expires at a stored deadline, unless the log itself is away: then nobody can be
 * heard, and dropping all would cut side processes off from entries that are well. Safe for any
 * thread.
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
   * @param keepNanos how long an entry is kept after its last record was read
   */
  public EntryDirectory(MonotonicClock clock, long keepNanos) {
    this.clock = requireNonNull(clock, "clock");
    this.timeoutNanos = keepNanos;
  }

  /** Returns the entries that are kept now, by name. */
  public synchronized List<EntryPresence> entries() {
    long now = clock.nanos();
    return entries.values().stream()
        .filter(held -> held.expiresAt() > now)
        .map(KeptEntry::presence)
        .toList();
  }

  /** Counts all entries as heard now, after the log was away. */
  public synchronized void restartTimeouts() {
    long expiresAt = clock.nanos() + timeoutNanos;
    entries.replaceAll((name, held) -> new KeptEntry(held.presence(), expiresAt));
  }

  @Override
  public synchronized void apply(LogEntry entry) {
    if (entry.type().equals(EntryPresence.TYPE)) {
      EntryPresence.fromJson(entry.body()).ifPresent(this::update);
    }
  }

  /** An earlier life's record, appended late, must not hide the later life. */
  private void update(EntryPresence presence) {
    KeptEntry held = entries.get(presence.name());
    if (held != null && held.presence().incarnation() > presence.incarnation()) {
      return;
    }
    if (presence.removed()) {
      entries.remove(presence.name());
      return;
    }
    entries.put(presence.name(), new KeptEntry(presence, clock.nanos() + timeoutNanos));
  }

  /** Every entry appends again within seconds, in whichever stream. */
  @Override
  public HistoryReplacementPolicy historyReplacementPolicy() {
    return HistoryReplacementPolicy.READ_ON;
  }

  @Override
  public synchronized JsonNode snapshot() {
    ArrayNode all = JsonNodeFactory.instance.arrayNode();
    entries.values().forEach(held -> all.add(held.presence().toJson()));
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
