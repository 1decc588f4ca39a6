package io.marigoldsail.configuration;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import io.marigoldsail.error.Failure;
import io.marigoldsail.error.Result;
import io.marigoldsail.log.Fold;
import io.marigoldsail.log.HistoryReplacementPolicy;
import io.marigoldsail.log.LogEntry;
import io.marigoldsail.log.Position;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * Works the configuration out from its stream; every process comes to the same.
 *
 * <p>A record is accepted if the revision that it names is still the current one and its content
 * keeps the rules; then the revision goes up by one. Records of a newer version of this software
 * are accepted by their revision alone, since their content cannot be judged here: the order stays
 * the same in all processes, and what was in force here stays so until it can be understood.
 *
 * <p>{@link #apply} and {@link #restore} may be called by different threads; {@link #state} never
 * blocks.
 */
public final class ConfigurationFold implements Fold {
  private final ConfigurationCheck check;
  private final Map<String, CompletableFuture<PublishOutcome>> pendingOutcomes =
      new ConcurrentHashMap<>();
  private final List<Consumer<ConfigurationState>> listeners = new CopyOnWriteArrayList<>();
  private final AtomicLong invalidRecords = new AtomicLong();
  private volatile ConfigurationState state = ConfigurationState.EMPTY;

  /** Creates a fold of an empty stream. */
  public ConfigurationFold(ConfigurationCheck check) {
    this.check = requireNonNull(check, "check");
  }

  /** Returns what is known by now. */
  public ConfigurationState state() {
    return state;
  }

  /** Returns how many records were passed over because they were broken or never checked. */
  public long invalidRecordCount() {
    return invalidRecords.get();
  }

  /**
   * Tells of every change of what is in force, in order. The listener is called with the state, now
   * and then on the thread that applies records; it must be quick.
   */
  public synchronized void addInForceListener(Consumer<ConfigurationState> listener) {
    listeners.add(listener);
    listener.accept(state);
  }

  @Override
  public synchronized void apply(LogEntry entry) {
    // A process that took over a peer's state reads records that are in it already. They would be
    // refused as stale; but one that was refused as premature could be accepted now.
    if (entry.position().compareTo(state.nextPosition()) < 0) {
      return;
    }
    Position next = new Position(entry.position().offset(), entry.position().index() + 1);
    long before = state.revisionInForce();
    if (entry.type().equals(PublishRecord.TYPE)) {
      applyPublish(entry);
    }
    state = state.withNextPosition(next);
    notifyIfChanged(before);
  }

  private void applyPublish(LogEntry entry) {
    Result<PublishRecord> read = PublishRecord.read(entry.body());
    if (!read.isOk()) {
      invalidRecords.incrementAndGet();
      return;
    }
    PublishRecord published = read.value();
    PublishOutcome outcome = decideOutcome(published);
    if (outcome instanceof PublishOutcome.Accepted accepted) {
      state =
          state.withAccepted(toVersion(published, accepted), published.schema(), supportedSchema());
    } else if (outcome instanceof PublishOutcome.Invalid) {
      invalidRecords.incrementAndGet();
    }
    CompletableFuture<PublishOutcome> waiting = pendingOutcomes.remove(published.publishId());
    if (waiting != null) {
      waiting.complete(outcome);
    }
  }

  private PublishOutcome decideOutcome(PublishRecord published) {
    if (published.checkedAgainst() != state.revision()) {
      return new PublishOutcome.Stale(state.revision());
    }
    if (published.schema() <= supportedSchema()) {
      Optional<Failure> failure = validate(published);
      if (failure.isPresent()) {
        return new PublishOutcome.Invalid(failure.get().detail());
      }
    }
    return new PublishOutcome.Accepted(state.revision() + 1);
  }

  private Optional<Failure> validate(PublishRecord published) {
    String file = published.file();
    Optional<Failure> failure = check.checkFile(file, file, published.content());
    boolean restUnderstood =
        state.schemas().entrySet().stream()
            .allMatch(s -> s.getKey().equals(file) || s.getValue() <= supportedSchema());
    // Beside a file of a newer version the merge cannot be judged here, only the file itself.
    if (failure.isPresent() || !restUnderstood) {
      return failure;
    }
    return check.checkSites(file, file, state.files().with(file, published.content()));
  }

  private static int supportedSchema() {
    return PublishRecord.CURRENT_SCHEMA;
  }

  private static PublishedVersion toVersion(
      PublishRecord published, PublishOutcome.Accepted accepted) {
    return new PublishedVersion(
        accepted.revision(),
        published.file(),
        published.publishId(),
        published.author(),
        published.note(),
        published.atMillis(),
        Optional.of(published.content()));
  }

  private void notifyIfChanged(long before) {
    if (state.revisionInForce() != before) {
      listeners.forEach(listener -> listener.accept(state));
    }
  }

  /** Returns a future for the outcome of a try; to be asked for before its record is appended. */
  CompletableFuture<PublishOutcome> expectOutcome(String publishId) {
    return pendingOutcomes.computeIfAbsent(publishId, id -> new CompletableFuture<>());
  }

  void cancelExpectedOutcome(String publishId) {
    pendingOutcomes.remove(publishId);
  }

  /** The highest revision stays in force, whatever becomes of the stream. */
  @Override
  public HistoryReplacementPolicy historyReplacementPolicy() {
    return HistoryReplacementPolicy.CARRY_OVER;
  }

  @Override
  public synchronized void beginNewHistory() {
    state = state.withNextPosition(new Position(0, 0));
  }

  @Override
  public long revision() {
    return state.revision();
  }

  @Override
  public long revisionOf(JsonNode snapshot) {
    return snapshot.path("revision").asLong();
  }

  @Override
  public JsonNode snapshot() {
    return ConfigurationStateJson.write(state);
  }

  /**
   * Takes over a snapshot of the log or a peer's state, unless this process knows a later one:
   * revisions never go down, whatever an old snapshot or a peer that is behind says.
   *
   * @throws IllegalArgumentException if it is no state of the configuration; nothing changed then
   */
  @Override
  public synchronized void restore(JsonNode snapshot) {
    Optional<ConfigurationState> read = ConfigurationStateJson.read(snapshot);
    if (read.isEmpty()) {
      throw new IllegalArgumentException("no state of the configuration");
    }
    // A later revision at an earlier place is one that was carried into a stream that began again.
    boolean later = read.get().revision() > state.revision();
    boolean further =
        read.get().revision() == state.revision()
            && read.get().nextPosition().compareTo(state.nextPosition()) > 0;
    if (!later && !further) {
      return;
    }
    long before = state.revisionInForce();
    state = read.get();
    notifyIfChanged(before);
  }
}
