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
 * Folds the configuration's stream into its state, with the same result in every process.
 *
 * <p>A record is accepted if it was checked against the current revision and its content is valid;
 * the revision then increases by one. Records of a newer schema version are accepted by revision
 * alone, because their content cannot be checked here: all processes keep the same order, and the
 * former configuration stays in force here until all files are supported.
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

  /** Creates an empty state. */
  public ConfigurationFold(ConfigurationCheck check) {
    this.check = requireNonNull(check, "check");
  }

  /** Returns the current state. */
  public ConfigurationState state() {
    return state;
  }

  /** Returns the number of records ignored because they were malformed or violated a rule. */
  public long invalidRecordCount() {
    return invalidRecords.get();
  }

  /**
   * Registers a listener for changes of the configuration in force. It is called with the current
   * state at once, and then in order on the thread that applies records; it must return quickly.
   */
  public synchronized void addInForceListener(Consumer<ConfigurationState> listener) {
    listeners.add(listener);
    listener.accept(state);
  }

  @Override
  public synchronized void apply(LogEntry entry) {
    // After restoring a peer's state, records that it includes are read again. Most would be
    // refused as stale, but one refused for a revision that did not exist yet could be accepted
    // now.
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
    CompletableFuture<PublishOutcome> pending = pendingOutcomes.remove(published.publishId());
    if (pending != null) {
      pending.complete(outcome);
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
    boolean otherFilesSupported =
        state.schemas().entrySet().stream()
            .allMatch(s -> s.getKey().equals(file) || s.getValue() <= supportedSchema());
    // If another file has a newer schema, the merged configuration cannot be checked.
    if (failure.isPresent() || !otherFilesSupported) {
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

  /**
   * Returns a future for the outcome of a publish; must be called before its record is appended.
   */
  CompletableFuture<PublishOutcome> expectOutcome(String publishId) {
    return pendingOutcomes.computeIfAbsent(publishId, id -> new CompletableFuture<>());
  }

  void cancelExpectedOutcome(String publishId) {
    pendingOutcomes.remove(publishId);
  }

  /** The highest revision stays in force in a replaced history. */
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
   * Restores a snapshot of the log or a peer's state, unless the current state is newer: revisions
   * never decrease, also if the snapshot is old or the peer lags.
   *
   * @throws IllegalArgumentException if it is not a configuration state; nothing changes then
   */
  @Override
  public synchronized void restore(JsonNode snapshot) {
    Optional<ConfigurationState> read = ConfigurationStateJson.read(snapshot);
    if (read.isEmpty()) {
      throw new IllegalArgumentException("snapshot is not a configuration state");
    }
    // A higher revision at a lower position was carried over into a replaced history.
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
