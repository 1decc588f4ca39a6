package io.marigoldsail.configuration;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Failure;
import io.marigoldsail.error.Result;
import io.marigoldsail.log.Position;
import io.marigoldsail.time.MonotonicClock;
import io.marigoldsail.time.WallClock;
import io.marigoldsail.timeline.Event;
import io.marigoldsail.timeline.EventKind;
import io.marigoldsail.timeline.EventRecorder;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Publishes files: checks, appends, and reports success only after reading the record back.
 *
 * <p>Of two concurrent publishes of one file one succeeds and the other fails with a conflict. A
 * publish that lost to another file is checked and attempted again. Publishing the current content
 * of a file succeeds without a record, so a publish can be repeated after a lost response. Safe for
 * any thread.
 */
public final class ConfigurationPublisher {
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final ConfigurationFold fold;
  private final ConfigurationCheck check;
  private final ConfigurationAppender appender;
  private final EventRecorder events;
  private final MonotonicClock clock;
  private final WallClock wallClock;
  private final Executor executor;
  private final String idPrefix;
  private final AtomicLong sequence = new AtomicLong();

  /**
   * Creates a publisher.
   *
   * @param fold the state of the stream that the appender appends to
   * @param check the check that the fold uses
   * @param executor runs further attempts, so that they do not block the thread that reads the log
   * @param idPrefix unique for this incarnation of the process
   */
  public ConfigurationPublisher(
      ConfigurationFold fold,
      ConfigurationCheck check,
      ConfigurationAppender appender,
      EventRecorder events,
      MonotonicClock clock,
      WallClock wallClock,
      Executor executor,
      String idPrefix) {
    this.fold = requireNonNull(fold, "fold");
    this.check = requireNonNull(check, "check");
    this.appender = requireNonNull(appender, "appender");
    this.events = requireNonNull(events, "events");
    this.clock = requireNonNull(clock, "clock");
    this.wallClock = requireNonNull(wallClock, "wallClock");
    this.executor = requireNonNull(executor, "executor");
    this.idPrefix = requireNonNull(idPrefix, "idPrefix");
  }

  /** Returns why a publish would be refused now, or empty. */
  public Optional<Failure> validate(PublishRequest request) {
    return validate(request, fold.state());
  }

  /**
   * Publishes a file.
   *
   * @param deadlineNanos when to stop waiting, as a reading of the clock; the outcome is then
   *     unknown
   * @return a future for the accepted publish, or a failure: {@code INVALID_CONTENT} names file,
   *     key and rule, {@code CONFLICT} names the author of the conflicting publish, {@code
   *     LOG_UNAVAILABLE} means that nothing was accepted, {@code LOG_OUTCOME_UNKNOWN} that the same
   *     publish may be repeated to learn the outcome
   */
  public CompletableFuture<Result<PublishResult>> publish(
      PublishRequest request, long deadlineNanos) {
    requireNonNull(request, "request");
    ConfigurationState state = fold.state();
    Optional<Failure> conflict = conflict(request, state);
    if (conflict.isPresent() && !hasContent(state, request)) {
      return CompletableFuture.completedFuture(recordRefusal(request, conflict.get()));
    }
    long baseRevision = state.fileRevision(request.file());
    return attempt(request, baseRevision, deadlineNanos, 1);
  }

  private CompletableFuture<Result<PublishResult>> attempt(
      PublishRequest request, long baseRevision, long deadlineNanos, int attempts) {
    ConfigurationState state = fold.state();
    if (hasContent(state, request)) {
      return CompletableFuture.completedFuture(
          Result.ok(new PublishResult(state.revision(), false, attempts)));
    }
    if (state.fileRevision(request.file()) != baseRevision) {
      return CompletableFuture.completedFuture(
          recordRefusal(request, conflictFailure(request, state, baseRevision)));
    }
    Optional<Failure> failure = validate(request, state);
    if (failure.isPresent()) {
      return CompletableFuture.completedFuture(recordRefusal(request, failure.get()));
    }
    long remaining = deadlineNanos - clock.nanos();
    if (remaining <= 0) {
      return CompletableFuture.completedFuture(recordRefusal(request, contentionFailure(request)));
    }
    PublishRecord published = toRecord(request, state);
    return append(published, remaining)
        .thenComposeAsync(
            result -> handleOutcome(request, baseRevision, deadlineNanos, attempts, result),
            executor);
  }

  /**
   * Returns whether the file already has the requested content. Checked before any conflict: an
   * operator's earlier attempt whose response was lost may take effect between two reads of the
   * state, and must not be reported as a conflict with another author.
   */
  private static boolean hasContent(ConfigurationState state, PublishRequest request) {
    return state.files().content(request.file()).equals(Optional.of(request.content()));
  }

  /**
   * Registers the expected outcome before appending, because the record may be read back at any
   * time after.
   */
  private CompletableFuture<Result<PublishOutcome>> append(
      PublishRecord published, long remainingNanos) {
    String id = published.publishId();
    CompletableFuture<PublishOutcome> outcome = fold.expectOutcome(id);
    CompletableFuture<Result<PublishOutcome>> result = new CompletableFuture<>();
    outcome.thenAccept(decided -> result.complete(Result.ok(decided)));
    appender
        .append(PublishRecord.TYPE, published.write())
        .whenComplete(
            (position, error) -> {
              if (error != null) {
                result.complete(outcomeUnknown("append failed: " + error));
              } else if (position instanceof Result.Failed<Position> failed) {
                result.complete(Result.failed(failed.failure()));
              } else {
                resolveFromHistory(id, position.value(), result);
              }
            });
    result.completeOnTimeout(
        outcomeUnknown("record was not read back before the deadline"),
        remainingNanos,
        TimeUnit.NANOSECONDS);
    result.whenComplete((decided, error) -> fold.cancelExpectedOutcome(id));
    return result;
  }

  /**
   * Resolves the outcome of a record that the fold never applies because it restored a later state
   * from a peer. A publish that is not in the history of that state was not accepted.
   */
  private void resolveFromHistory(
      String id, Position position, CompletableFuture<Result<PublishOutcome>> result) {
    ConfigurationState state = fold.state();
    if (position.compareTo(state.nextPosition()) >= 0) {
      return;
    }
    PublishOutcome outcome =
        state
            .fullHistory()
            .byPublishId(id)
            .<PublishOutcome>map(version -> new PublishOutcome.Accepted(version.revision()))
            .orElseGet(() -> new PublishOutcome.Stale(state.revision()));
    result.complete(Result.ok(outcome));
  }

  private CompletableFuture<Result<PublishResult>> handleOutcome(
      PublishRequest request,
      long baseRevision,
      long deadlineNanos,
      int attempts,
      Result<PublishOutcome> result) {
    if (result instanceof Result.Failed<PublishOutcome> failed) {
      return CompletableFuture.completedFuture(recordRefusal(request, failed.failure()));
    }
    PublishOutcome outcome = result.value();
    if (outcome instanceof PublishOutcome.Accepted accepted) {
      String detail = request.file() + " in revision " + accepted.revision();
      events.record(Event.of(EventKind.CONFIGURATION_ACCEPTED).withDetail(detail));
      return CompletableFuture.completedFuture(
          Result.ok(new PublishResult(accepted.revision(), true, attempts)));
    }
    if (outcome instanceof PublishOutcome.Invalid invalid) {
      Failure failure = Failure.of(ErrorKind.INVALID_CONTENT, invalid.reason());
      return CompletableFuture.completedFuture(recordRefusal(request, failure));
    }
    return attempt(request, baseRevision, deadlineNanos, attempts + 1);
  }

  private Optional<Failure> validate(PublishRequest request, ConfigurationState state) {
    String file = request.file();
    Optional<Failure> failure = check.checkFile(file, file, request.content());
    if (failure.isPresent()) {
      return failure;
    }
    if (state.revisionInForce() != state.revision()) {
      return Optional.of(
          Failure.of(
              ErrorKind.CONFLICT,
              "revision "
                  + state.revision()
                  + " was written by a newer version; publish through a process of that version"));
    }
    return check.checkSites(file, file, state.files().with(file, request.content()));
  }

  private static Optional<Failure> conflict(PublishRequest request, ConfigurationState state) {
    long current = state.fileRevision(request.file());
    boolean stale =
        request.expectedRevision().isPresent() && request.expectedRevision().getAsLong() != current;
    return stale
        ? Optional.of(conflictFailure(request, state, request.expectedRevision().getAsLong()))
        : Optional.empty();
  }

  private static Failure conflictFailure(
      PublishRequest request, ConfigurationState state, long baseRevision) {
    String changedBy =
        state
            .fullHistory()
            .lastChangeOf(request.file())
            .map(last -> " by " + last.author() + " in revision " + last.revision())
            .orElse("");
    String detail =
        request.file()
            + ": was changed"
            + changedBy
            + "; this publish was made from revision "
            + baseRevision;
    return Failure.of(ErrorKind.CONFLICT, detail);
  }

  private static Failure contentionFailure(PublishRequest request) {
    String detail = request.file() + ": concurrent publishes took precedence until the deadline";
    return new Failure(ErrorKind.OVERLOADED, detail, RETRY_AFTER_MILLIS);
  }

  private static Result<PublishOutcome> outcomeUnknown(String reason) {
    return Result.failed(
        ErrorKind.LOG_OUTCOME_UNKNOWN,
        reason + "; repeat the same publish, it takes effect at most once");
  }

  private Result<PublishResult> recordRefusal(PublishRequest request, Failure failure) {
    String detail = request.file() + ": " + failure.kind().code() + ": " + failure.detail();
    events.record(Event.of(EventKind.CONFIGURATION_REFUSED).withDetail(detail));
    return Result.failed(failure);
  }

  private PublishRecord toRecord(PublishRequest request, ConfigurationState state) {
    return new PublishRecord(
        PublishRecord.CURRENT_SCHEMA,
        idPrefix + "/" + sequence.incrementAndGet(),
        state.revision(),
        request.file(),
        request.content(),
        request.author(),
        request.note(),
        wallClock.millis());
  }

  /** Returns the effective changes of a publish at each affected site. */
  public ConfigurationDiff diff(PublishRequest request) {
    ConfigurationState state = fold.state();
    return ConfigurationDiff.of(state, request.file(), request.content());
  }
}
