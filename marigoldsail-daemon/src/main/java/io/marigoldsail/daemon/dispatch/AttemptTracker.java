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
 * The attempts of an entry that are on their way: sent, answered by id, and resolved over a new
 * connection where the one they were sent on was lost.
 *
 * <p>Confined to the loop's thread.
 */
final class AttemptTracker {
  /** Told what comes of attempts and of the connections they travel on. */
  interface Listener {
    /** An attempt has ended; exactly one of answer and failure is not null. */
    void attemptEnded(
        PendingRequest request, AttemptOutcome outcome, CallerResponse answer, Failure failure);

    /** A target's load was reported. */
    void loadReported(String vm, TargetLoad load);

    /** The list of targets that can be reached changed. */
    void targetsChanged();
  }

  private static final System.Logger LOG = System.getLogger(AttemptTracker.class.getName());
  private static final long NEVER = Long.MAX_VALUE;

  private final LinkLoop loop;
  private final EntryIdentity identity;
  private final LinkSettings times;
  private final ByteBudget answerBudget;
  private final EventRecorder events;
  private final Listener listener;
  private final TargetPools pools;
  private final Map<Long, PendingRequest> requestsBySequence = new HashMap<>();
  private long lastSequence;

  AttemptTracker(
      LinkLoop loop,
      EntryIdentity identity,
      LinkSettings times,
      ByteBudget answerBudget,
      EventRecorder events,
      RandomGenerator random,
      Listener listener) {
    this.loop = loop;
    this.identity = identity;
    this.times = times;
    this.answerBudget = answerBudget;
    this.events = events;
    this.listener = listener;
    this.pools = new TargetPools(loop, times, random, new PoolListener());
  }

  TargetPools pools() {
    return pools;
  }

  /** Sends the request; its attempt may end before this returns. */
  void start(PendingRequest request, Decision.Send send) {
    TargetPool pool = pools.byVm(send.vm());
    if (pool != null && pool.isGoingAway()) {
      // A request sent after the acknowledgement would find the process gone and be of unknown
      // outcome. Reports that were overtaken on another connection may still speak for the target.
      String detail = send.vm() + " stops";
      Failure failure = new Failure(ErrorKind.SHUTTING_DOWN, detail, 1_000);
      listener.attemptEnded(request, AttemptOutcome.NOT_RUN, null, failure);
      return;
    }
    LinkConnection connection = pool == null ? null : pool.selectConnection();
    if (connection == null) {
      Failure failure = new Failure(ErrorKind.TARGET_UNREACHABLE, "no link to " + send.vm(), 1_000);
      listener.attemptEnded(request, AttemptOutcome.NOT_RUN, null, failure);
      return;
    }
    long now = loop.now();
    long left = request.request().deadline() - now;
    Attempt attempt = new Attempt(++lastSequence, pool, connection);
    attempt.timer(loop.schedule(() -> timedOut(request, attempt), Math.max(0, left)));
    request.attempt(attempt);
    requestsBySequence.put(attempt.sequence(), request);
    events.record(
        Event.of(send.attempt() > 1 ? EventKind.REQUEST_RETRIED : EventKind.REQUEST_SENT)
            .withRequest(request.label())
            .withVm(send.vm())
            .withDetail(send.reason()));
    connection.sendAll(EntryFrames.request(identity, attempt.sequence(), request, left, now));
  }

  /** Gives up what could not be resolved in time. */
  void tick(long now) {
    pools.tick(now);
    for (PendingRequest request : new ArrayList<>(requestsBySequence.values())) {
      Attempt attempt = request.attempt();
      if (attempt.resolveDeadline() != NEVER && attempt.resolveDeadline() - now <= 0) {
        endWithUnknownOutcome(request, "its outcome could not be found out");
      }
    }
  }

  /** Tells the side process that nobody waits for the attempt any more. */
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
    // Where it has not started yet it need not run any more.
    cancel(request);
    Failure failure =
        Failure.of(
            ErrorKind.DEADLINE_WHILE_RUNNING, "no answer from " + attempt.pool().vm() + " in time");
    attemptEnded(request, AttemptOutcome.TIMED_OUT, null, failure);
  }

  private void attemptEnded(
      PendingRequest request, AttemptOutcome outcome, CallerResponse answer, Failure failure) {
    requestsBySequence.remove(request.attempt().sequence());
    listener.attemptEnded(request, outcome, answer, failure);
  }

  private void endWithUnknownOutcome(PendingRequest request, String why) {
    String detail = request.attempt().pool().vm() + ": " + why;
    attemptEnded(request, AttemptOutcome.LOST, null, Failure.of(ErrorKind.OUTCOME_UNKNOWN, detail));
  }

  /** Returns the request that a frame on the connection is about, or null where it came late. */
  private PendingRequest findAwaiting(LinkConnection connection, long sequence) {
    PendingRequest request = requestsBySequence.get(sequence);
    // Copies of an answer may come on a connection that was given up; the one that is awaited on
    // the present connection is whole by itself, and chunks of the two must not mix.
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
    ResponseAssembly assembly = ResponseAssembly.begin(start, answerBudget).orElse(null);
    if (assembly == null) {
      Failure failure = Failure.of(ErrorKind.OUTCOME_UNKNOWN, "no memory for the whole answer");
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
      throw new BrokenFrameException("a chunk of an answer that has not begun");
    }
    assembly.add(body.getData(), body.getLast());
    endIfComplete(request);
  }

  private void endIfComplete(PendingRequest request) {
    ResponseAssembly assembly = request.attempt().assembly();
    if (!assembly.isComplete()) {
      return;
    }
    CallerResponse answer = assembly.response();
    boolean targetError = answer.status() >= 500;
    attemptEnded(
        request, targetError ? AttemptOutcome.TARGET_ERROR : AttemptOutcome.ANSWERED, answer, null);
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

  /** A refusal for its key's sake says nothing of earlier tries, but this one did not run. */
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
        String detail = "lost on the way to " + request.attempt().pool().vm();
        Failure failure = new Failure(ErrorKind.TARGET_UNREACHABLE, detail, 1_000);
        attemptEnded(request, AttemptOutcome.NOT_RUN, null, failure);
      }
      case FORGOTTEN -> endWithUnknownOutcome(request, "it knows nothing of the request any more");
      default -> throw new BrokenFrameException("resolution without a state");
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

  /** What side processes send. */
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
          AttemptTracker.this.endWithUnknownOutcome(request, "its side process is gone");
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
      long resolveUntil = loop.now() + times.resolveTimeoutNanos();
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
