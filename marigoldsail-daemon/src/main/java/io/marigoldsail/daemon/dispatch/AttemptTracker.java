package io.marigoldsail.daemon.dispatch;

import io.marigoldsail.daemon.dispatch.PendingRequest.Attempt;
import io.marigoldsail.daemon.link.AnnouncementCodec;
import io.marigoldsail.daemon.link.BrokenFrameException;
import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.dispatch.AttemptOutcome;
import io.marigoldsail.dispatch.ByteBudget;
import io.marigoldsail.dispatch.Decision;
import io.marigoldsail.dispatch.TargetLoad;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Failure;
import io.marigoldsail.membership.EntryIdentity;
import io.marigoldsail.protocol.AnswerBody;
import io.marigoldsail.protocol.AnswerStart;
import io.marigoldsail.protocol.Failed;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.NotRun;
import io.marigoldsail.protocol.Resolution;
import io.marigoldsail.protocol.TargetReport;
import io.marigoldsail.timeline.Event;
import io.marigoldsail.timeline.EventKind;
import io.marigoldsail.timeline.EventRecorder;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Tracks the attempts of an entry that are in flight: sends them, matches responses by id, and
 * resolves their outcome over a new connection if the one that they were sent on is lost.
 *
 * <p>Confined to the loop's thread.
 */
final class AttemptTracker {
  /** Is notified of the outcomes of attempts and of changes of the targets. */
  interface Listener {
    /** An attempt has ended; exactly one of response and failure is not null. */
    void attemptEnded(
        PendingRequest request, AttemptOutcome outcome, CallerResponse response, Failure failure);

    /** A target reported its load. */
    void loadReported(String vm, TargetLoad load);

    /** The list of reachable targets changed. */
    void targetsChanged();
  }

  private static final System.Logger LOG = System.getLogger(AttemptTracker.class.getName());
  private static final long NEVER = Long.MAX_VALUE;

  private final LinkLoop loop;
  private final EntryIdentity identity;
  private final LinkSettings settings;
  private final ByteBudget responseBudget;
  private final EventRecorder events;
  private final Listener listener;
  private final TargetPools pools;
  private final Map<Long, PendingRequest> requestsBySequence = new HashMap<>();
  private long lastSequence;

  AttemptTracker(
      LinkLoop loop,
      EntryIdentity identity,
      LinkSettings settings,
      ByteBudget responseBudget,
      EventRecorder events,
      RandomGenerator random,
      Listener listener) {
    this.loop = loop;
    this.identity = identity;
    this.settings = settings;
    this.responseBudget = responseBudget;
    this.events = events;
    this.listener = listener;
    this.pools = new TargetPools(loop, settings, random, new PoolListener());
  }

  TargetPools pools() {
    return pools;
  }

  /** Sends the request; the attempt may end before this returns. */
  void start(PendingRequest request, Decision.Send send) {
    TargetPool pool = pools.byVm(send.vm());
    if (pool != null && pool.isGoingAway()) {
      // A request sent after the GOAWAY was acknowledged has an unknown outcome, as the process may
      // have exited. The policy may still choose the target by a stale report from another
      // connection.
      String detail = "side process of " + send.vm() + " is shutting down";
      Failure failure = new Failure(ErrorKind.SHUTTING_DOWN, detail, 1_000);
      listener.attemptEnded(request, AttemptOutcome.NOT_RUN, null, failure);
      return;
    }
    LinkConnection connection = pool == null ? null : pool.selectConnection();
    if (connection == null) {
      Failure failure =
          new Failure(ErrorKind.TARGET_UNREACHABLE, "no usable connection to " + send.vm(), 1_000);
      listener.attemptEnded(request, AttemptOutcome.NOT_RUN, null, failure);
      return;
    }
    long now = loop.now();
    long remainingNanos = request.request().deadline() - now;
    Attempt attempt = new Attempt(++lastSequence, pool, connection);
    attempt.timer(loop.schedule(() -> timedOut(request, attempt), Math.max(0, remainingNanos)));
    request.attempt(attempt);
    requestsBySequence.put(attempt.sequence(), request);
    events.record(
        Event.of(send.attempt() > 1 ? EventKind.REQUEST_RETRIED : EventKind.REQUEST_SENT)
            .withRequest(request.label())
            .withVm(send.vm())
            .withDetail(send.reason()));
    connection.sendAll(
        EntryFrames.request(identity, attempt.sequence(), request, remainingNanos, now));
  }

  /** Ends attempts whose outcome was not resolved in time. */
  void tick(long now) {
    pools.tick(now);
    for (PendingRequest request : new ArrayList<>(requestsBySequence.values())) {
      Attempt attempt = request.attempt();
      if (attempt.resolveDeadline() != NEVER && attempt.resolveDeadline() - now <= 0) {
        endWithUnknownOutcome(
            request, "outcome not resolved in time after the connection was lost");
      }
    }
  }

  /** Notifies the side process that the attempt's response is no longer needed. */
  void cancel(PendingRequest request) {
    Attempt attempt = request.attempt();
    if (attempt.connection() != null) {
      attempt.connection().send(EntryFrames.cancel(identity, attempt.sequence()));
    }
  }

  private void timedOut(PendingRequest request, Attempt attempt) {
    if (request.attempt() != attempt) {
      return;
    }
    // If the attempt has not started yet, the side process no longer starts it.
    cancel(request);
    Failure failure =
        Failure.of(
            ErrorKind.DEADLINE_WHILE_RUNNING,
            "no response from " + attempt.pool().vm() + " within the deadline");
    attemptEnded(request, AttemptOutcome.TIMED_OUT, null, failure);
  }

  private void attemptEnded(
      PendingRequest request, AttemptOutcome outcome, CallerResponse response, Failure failure) {
    requestsBySequence.remove(request.attempt().sequence());
    listener.attemptEnded(request, outcome, response, failure);
  }

  private void endWithUnknownOutcome(PendingRequest request, String reason) {
    String detail = request.attempt().pool().vm() + ": " + reason;
    attemptEnded(request, AttemptOutcome.LOST, null, Failure.of(ErrorKind.OUTCOME_UNKNOWN, detail));
  }

  /** Returns the request that awaits a frame on this connection, or null if the frame is stale. */
  private PendingRequest findAwaiting(LinkConnection connection, long sequence) {
    PendingRequest request = requestsBySequence.get(sequence);
    // A copy of the response may arrive on a connection that was abandoned. The one on the current
    // connection is complete by itself, and chunks of the two must not be mixed.
    return request != null && request.attempt().connection() == connection ? request : null;
  }

  private void handleResponseStart(TargetPool pool, LinkConnection connection, AnswerStart start)
      throws BrokenFrameException {
    if (start.getLast()) {
      connection.countResponseRead();
    }
    reportLoad(pool, start.getReport());
    PendingRequest request = findAwaiting(connection, start.getId().getSequence());
    if (request == null) {
      return;
    }
    ResponseAssembly assembly = ResponseAssembly.begin(start, responseBudget).orElse(null);
    if (assembly == null) {
      Failure failure =
          Failure.of(
              ErrorKind.OUTCOME_UNKNOWN, "response exceeds the free memory budget of the entry");
      attemptEnded(request, AttemptOutcome.LOST, null, failure);
      return;
    }
    request.attempt().assembly(assembly);
    endIfComplete(request);
  }

  private void handleResponseBody(LinkConnection connection, AnswerBody body)
      throws BrokenFrameException {
    PendingRequest request = findAwaiting(connection, body.getId().getSequence());
    if (request == null) {
      return;
    }
    ResponseAssembly assembly = request.attempt().assembly();
    if (assembly == null) {
      throw new BrokenFrameException("AnswerBody before AnswerStart");
    }
    assembly.add(body.getData(), body.getLast());
    endIfComplete(request);
  }

  private void endIfComplete(PendingRequest request) {
    ResponseAssembly assembly = request.attempt().assembly();
    if (!assembly.isComplete()) {
      return;
    }
    CallerResponse response = assembly.response();
    boolean targetError = response.status() >= 500;
    attemptEnded(
        request,
        targetError ? AttemptOutcome.TARGET_ERROR : AttemptOutcome.ANSWERED,
        response,
        null);
  }

  private void handleNotRun(TargetPool pool, LinkConnection connection, NotRun notRun)
      throws BrokenFrameException {
    reportLoad(pool, notRun.getReport());
    PendingRequest request = findAwaiting(connection, notRun.getId().getSequence());
    if (request == null) {
      return;
    }
    ErrorKind kind =
        ErrorKind.forCode(notRun.getErrorKind())
            .filter(AttemptTracker::provesNotRun)
            .orElse(ErrorKind.OVERLOADED);
    long retryAfter = Math.max(0, notRun.getRetryAfterMillis());
    String detail = pool.vm() + ": " + notRun.getDetail();
    attemptEnded(request, AttemptOutcome.NOT_RUN, null, new Failure(kind, detail, retryAfter));
  }

  /**
   * Returns whether the kind proves that this attempt did not run. KEY_STATE_UNKNOWN does, although
   * an earlier attempt with the key may have run.
   */
  private static boolean provesNotRun(ErrorKind kind) {
    return kind.execution() == ErrorKind.Execution.NOT_RUN || kind == ErrorKind.KEY_STATE_UNKNOWN;
  }

  private void handleFailed(TargetPool pool, LinkConnection connection, Failed failed)
      throws BrokenFrameException {
    reportLoad(pool, failed.getReport());
    PendingRequest request = findAwaiting(connection, failed.getId().getSequence());
    if (request == null) {
      return;
    }
    ErrorKind kind =
        ErrorKind.forCode(failed.getErrorKind())
            .filter(known -> known.execution() != ErrorKind.Execution.NOT_RUN)
            .orElse(ErrorKind.OUTCOME_UNKNOWN);
    AttemptOutcome outcome =
        kind == ErrorKind.TARGET_BROKEN_ANSWER ? AttemptOutcome.TARGET_ERROR : AttemptOutcome.LOST;
    attemptEnded(request, outcome, null, Failure.of(kind, pool.vm() + ": " + failed.getDetail()));
  }

  private void handleResolution(LinkConnection connection, Resolution resolution)
      throws BrokenFrameException {
    PendingRequest request = findAwaiting(connection, resolution.getId().getSequence());
    if (request == null) {
      return;
    }
    events.record(
        Event.of(EventKind.REQUEST_RESOLVED)
            .withRequest(request.label())
            .withVm(request.attempt().pool().vm())
            .withDetail(resolution.getState().name()));
    switch (resolution.getState()) {
      case RUNNING -> request.attempt().resolveDeadline(NEVER);
      case NOT_RUN -> {
        String detail = "not received by " + request.attempt().pool().vm() + ": connection lost";
        Failure failure = new Failure(ErrorKind.TARGET_UNREACHABLE, detail, 1_000);
        attemptEnded(request, AttemptOutcome.NOT_RUN, null, failure);
      }
      case FORGOTTEN -> endWithUnknownOutcome(request, "side process no longer knows the request");
      default ->
          throw new BrokenFrameException("Resolution has no known state: " + resolution.getState());
    }
  }

  private void handleGoAway(TargetPool pool, LinkConnection connection) {
    if (pool.markGoingAway()) {
      listener.targetsChanged();
    }
    connection.sendAfterQueued(EntryFrames.goAwayAck());
  }

  private void reportLoad(TargetPool pool, TargetReport report) throws BrokenFrameException {
    TargetLoad load = AnnouncementCodec.decode(report);
    if (pools.byVm(pool.vm()) == pool) {
      listener.loadReported(pool.vm(), load);
    }
  }

  /** Handles frames and connection changes of side processes. */
  private final class PoolListener implements TargetPool.Listener {
    @Override
    public void connectionUsable(TargetPool pool, LinkConnection connection) {
      if (pool.hasSingleUsable()) {
        listener.targetsChanged();
      }
      for (PendingRequest request : requestsBySequence.values()) {
        Attempt attempt = request.attempt();
        if (attempt.pool() == pool && attempt.connection() == null) {
          attempt.connection(connection);
          connection.send(EntryFrames.resolve(identity, attempt.sequence(), pool.incarnation()));
        }
      }
    }

    @Override
    public void connectionRefused(TargetPool pool) {
      for (PendingRequest request : new ArrayList<>(requestsBySequence.values())) {
        Attempt attempt = request.attempt();
        if (attempt.pool() == pool && attempt.connection() == null) {
          AttemptTracker.this.endWithUnknownOutcome(
              request, "nothing listens at the address of the side process");
        }
      }
    }

    @Override
    public void frameReceived(TargetPool pool, LinkConnection connection, Frame frame)
        throws BrokenFrameException {
      switch (frame.getBodyCase()) {
        case ANSWER_START -> handleResponseStart(pool, connection, frame.getAnswerStart());
        case ANSWER_BODY -> handleResponseBody(connection, frame.getAnswerBody());
        case NOT_RUN -> handleNotRun(pool, connection, frame.getNotRun());
        case FAILED -> handleFailed(pool, connection, frame.getFailed());
        case RESOLUTION -> handleResolution(connection, frame.getResolution());
        case GO_AWAY -> handleGoAway(pool, connection);
        default -> throw new BrokenFrameException("unexpected " + frame.getBodyCase());
      }
    }

    @Override
    public void connectionLost(TargetPool pool, LinkConnection connection, String reason) {
      events.record(Event.of(EventKind.CONNECTION_LOST).withVm(pool.vm()).withDetail(reason));
      LOG.log(
          System.Logger.Level.INFO,
          "event=request-link-lost vm={0} reason=\"{1}\"",
          pool.vm(),
          reason);
      if (!pool.isUsable()) {
        listener.targetsChanged();
      }
      long resolveUntil = loop.now() + settings.resolveTimeoutNanos();
      for (PendingRequest request : new ArrayList<>(requestsBySequence.values())) {
        Attempt attempt = request.attempt();
        if (attempt.connection() != connection) {
          continue;
        }
        attempt.connection(null);
        if (attempt.resolveDeadline() == NEVER) {
          attempt.resolveDeadline(resolveUntil);
        }
      }
    }
  }
}
