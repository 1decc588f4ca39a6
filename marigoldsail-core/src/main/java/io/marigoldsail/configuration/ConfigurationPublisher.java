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
 * Publishes files: checks, appends, and says accepted only after reading the record back.
 *
 * <p>Of two publishers of one file one wins and the other is told; a publish that lost to another
 * file is checked anew and tried again by itself. Publishing the content that a file has already
 * succeeds without a record, so asking again after a lost answer is safe. Safe for any thread.
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
   * @param fold follows the stream that the appender appends to
   * @param check the same that the fold uses
   * @param executor runs further tries, so that they do not hold up the thread that reads the log
   * @param idPrefix unique to this incarnation of the process
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

  /** Returns what is wrong with a publish if it were made now, or empty. */
  public Optional<Failure> validate(PublishRequest request) {
    return validate(request, fold.state());
  }

  /**
   * Publishes a file.
   *
   * @param deadlineNanos the reading of the clock at which waiting ends; the outcome is then
   *     unknown
   * @return a future for the accepted publish, or a failure: {@code INVALID_CONTENT} names file,
   *     key and rule, {@code CONFLICT} names who was first, {@code LOG_UNAVAILABLE} says that
   *     nothing was accepted, {@code LOG_OUTCOME_UNKNOWN} that publishing the same again will tell
   */
  public CompletableFuture<Result<PublishResult>> publish(
      PublishRequest request, long deadlineNanos) {
    requireNonNull(request, "request");
    ConfigurationState state = fold.state();
    Optional<Failure> conflict = conflict(request, state);
    if (conflict.isPresent() && !hasContent(state, request)) {
      return CompletableFuture.completedFuture(recordRefusal(request, conflict.get()));
    }
    long basis = state.fileRevision(request.file());
    return attempt(request, basis, deadlineNanos, 1);
  }

  private CompletableFuture<Result<PublishResult>> attempt(
      PublishRequest request, long basis, long deadlineNanos, int tries) {
    ConfigurationState state = fold.state();
    if (hasContent(state, request)) {
      return CompletableFuture.completedFuture(
          Result.ok(new PublishResult(state.revision(), false, tries)));
    }
    if (state.fileRevision(request.file()) != basis) {
      return CompletableFuture.completedFuture(
          recordRefusal(request, conflictFailure(request, state, basis)));
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
            result -> handleOutcome(request, basis, deadlineNanos, tries, result), executor);
  }

  /**
   * Whether the file has the wanted content already. Looked at before any conflict: the earlier try
   * of an operator whose answer was lost may take effect late, between two looks at the state, and
   * its author must not be told that somebody else was first.
   */
  private static boolean hasContent(ConfigurationState state, PublishRequest request) {
    return state.files().content(request.file()).equals(Optional.of(request.content()));
  }

  /** The fold is told to expect the record before it can possibly arrive. */
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
                result.complete(outcomeUnknown("the appender failed: " + error));
              } else if (position instanceof Result.Failed<Position> failed) {
                result.complete(Result.failed(failed.failure()));
              } else {
                resolveFromHistory(id, position.value(), result);
              }
            });
    result.completeOnTimeout(
        outcomeUnknown("the log did not answer in time"), remainingNanos, TimeUnit.NANOSECONDS);
    result.whenComplete((decided, error) -> fold.cancelExpectedOutcome(id));
    return result;
  }

  /**
   * A fold that took over a peer's state past the record never applies it. Its history then tells:
   * what is not in it was not accepted.
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
      long basis,
      long deadlineNanos,
      int tries,
      Result<PublishOutcome> result) {
    if (result instanceof Result.Failed<PublishOutcome> failed) {
      return CompletableFuture.completedFuture(recordRefusal(request, failed.failure()));
    }
    PublishOutcome outcome = result.value();
    if (outcome instanceof PublishOutcome.Accepted accepted) {
      String detail = request.file() + " in revision " + accepted.revision();
      events.record(Event.of(EventKind.CONFIGURATION_ACCEPTED).withDetail(detail));
      return CompletableFuture.completedFuture(
          Result.ok(new PublishResult(accepted.revision(), true, tries)));
    }
    if (outcome instanceof PublishOutcome.Invalid invalid) {
      Failure failure = Failure.of(ErrorKind.INVALID_CONTENT, invalid.reason());
      return CompletableFuture.completedFuture(recordRefusal(request, failure));
    }
    return attempt(request, basis, deadlineNanos, tries + 1);
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
      PublishRequest request, ConfigurationState state, long basis) {
    String who =
        state
            .fullHistory()
            .lastChangeOf(request.file())
            .map(last -> " by " + last.author() + " in revision " + last.revision())
            .orElse("");
    String detail =
        request.file() + ": was changed" + who + "; this publish was made from revision " + basis;
    return Failure.of(ErrorKind.CONFLICT, detail);
  }

  private static Failure contentionFailure(PublishRequest request) {
    String detail = request.file() + ": other publishes were first until the deadline";
    return new Failure(ErrorKind.OVERLOADED, detail, RETRY_AFTER_MILLIS);
  }

  private static Result<PublishOutcome> outcomeUnknown(String why) {
    return Result.failed(
        ErrorKind.LOG_OUTCOME_UNKNOWN, why + "; publish the same again, it takes effect once");
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

  /** Returns what a publish would change at each site that it touches. */
  public ConfigurationDiff diff(PublishRequest request) {
    ConfigurationState state = fold.state();
    return ConfigurationDiff.of(state, request.file(), request.content());
  }
}
