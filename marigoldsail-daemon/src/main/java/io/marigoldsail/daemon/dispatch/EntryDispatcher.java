package io.marigoldsail.daemon.dispatch;

import static com.google.common.base.Preconditions.checkState;
import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.link.MemberListener;
import io.marigoldsail.dispatch.Arrival;
import io.marigoldsail.dispatch.AttemptOutcome;
import io.marigoldsail.dispatch.ByteBudget;
import io.marigoldsail.dispatch.Decision;
import io.marigoldsail.dispatch.RequestPolicy;
import io.marigoldsail.dispatch.TargetLoad;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Failure;
import io.marigoldsail.idempotency.KeyShardTable;
import io.marigoldsail.idempotency.KeyShards;
import io.marigoldsail.idempotency.ShardOwner;
import io.marigoldsail.membership.Announcement;
import io.marigoldsail.membership.EntryIdentity;
import io.marigoldsail.membership.MemberTable;
import io.marigoldsail.timeline.Event;
import io.marigoldsail.timeline.EventKind;
import io.marigoldsail.timeline.EventRecorder;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Executes the decisions of an entry's {@link RequestPolicy} and reports the outcomes to it.
 *
 * <p>Holds every request until its single response, matches responses by id, and resolves the
 * outcome of requests on a lost connection over a new one. All state is confined to the loop's
 * thread; the public methods may be called from any thread.
 */
public final class EntryDispatcher implements AutoCloseable {
  private static final System.Logger LOG = System.getLogger(EntryDispatcher.class.getName());

  /** A longer time than this between two ticks shows that the process was paused. */
  private static final long PROCESS_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final long NO_OWNER_RETRY_AFTER_MILLIS = 1_000;

  /** The delay after the first overload rejection by the owner of a key; doubles each time. */
  private static final long OWNER_RETRY_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  private static final int MAX_OWNER_BACKOFF_DOUBLINGS = 8;
  private static final long NEVER = Long.MAX_VALUE;

  private final LinkLoop loop;
  private final EntryIdentity identity;
  private final RequestPolicy policy;
  private final LinkSettings settings;
  private final EventRecorder events;
  private final AttemptTracker attempts;
  private final Optional<KeyShardTable> shardTable;
  private final Predicate<String> detectsRepeats;
  private final Map<Long, PendingRequest> pending = new HashMap<>();
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private volatile boolean stopping;
  private boolean refusing;
  private long lastRequestNumber;
  private long lastTick;
  private long wakeAt = NEVER;
  private Future<?> wake;
  private Future<?> tick;

  /**
   * Creates a dispatcher that is not started.
   *
   * @param loop the loop that all state is confined to
   * @param identity the identity of this entry
   * @param policy decides on requests; owned by this dispatcher from now on
   * @param settings the settings of connections to side processes
   * @param responseBudget the bytes that responses may hold while they are assembled
   * @param shardTable the owners of idempotency keys; if empty, keys are passed to targets and not
   *     used here
   * @param detectsRepeats whether the targets of a service detect repeated idempotency keys
   * @param events records the request's events
   * @param random jitter of the reconnect backoff
   */
  public EntryDispatcher(
      LinkLoop loop,
      EntryIdentity identity,
      RequestPolicy policy,
      LinkSettings settings,
      ByteBudget responseBudget,
      Optional<KeyShardTable> shardTable,
      Predicate<String> detectsRepeats,
      EventRecorder events,
      RandomGenerator random) {
    this.loop = requireNonNull(loop, "loop");
    this.identity = requireNonNull(identity, "identity");
    this.policy = requireNonNull(policy, "policy");
    this.settings = requireNonNull(settings, "settings");
    this.shardTable = requireNonNull(shardTable, "shardTable");
    this.detectsRepeats = requireNonNull(detectsRepeats, "detectsRepeats");
    this.events = requireNonNull(events, "events");
    this.attempts =
        new AttemptTracker(
            loop, identity, settings, responseBudget, events, random, new AttemptListener());
  }

  /** Starts the periodic checks. */
  public void start() {
    lastTick = loop.now();
    tick = loop.repeat(this::tick, settings.checkIntervalNanos());
  }

  /** Returns the listener that receives the announcements of targets. */
  public MemberListener memberListener() {
    return new TargetMemberListener();
  }

  /** Accepts a request; calls its sink exactly once, on the loop's thread. */
  public void submit(CallerRequest request, ResponseSink sink) {
    loop.run(() -> requestArrived(request, sink));
  }

  /** Returns the number of targets with a usable connection; call on the loop's thread only. */
  int reachableTargetCount() {
    return attempts.pools().targets().size();
  }

  /** Returns whether the platform's load balancer may route callers to this entry. */
  public boolean isReady() {
    return !stopping;
  }

  /**
   * Begins a planned stop: {@link #isReady} turns false at once, new requests are served for the
   * grace time, and pending requests are completed.
   *
   * @param graceNanos how long the platform's load balancer may take to notice the failed health
   *     check
   * @return completed when every accepted request has its response
   */
  public CompletableFuture<Void> beginStop(long graceNanos) {
    stopping = true;
    loop.schedule(
        () -> {
          refusing = true;
          checkDrained();
        },
        graceNanos);
    return drained;
  }

  /** Closes all connections; pending requests get no response, so call {@link #beginStop} first. */
  @Override
  public void close() {
    tick.cancel(false);
    loop.run(attempts.pools()::close);
  }

  private void requestArrived(CallerRequest request, ResponseSink sink) {
    long number = ++lastRequestNumber;
    String label = Long.toHexString(identity.incarnation()) + "-" + number;
    if (refusing) {
      sink.failed(
          label,
          new Failure(ErrorKind.SHUTTING_DOWN, identity.name() + " is shutting down", 1_000));
      return;
    }
    events.record(
        Event.of(EventKind.REQUEST_ARRIVED)
            .withRequest(label)
            .withCaller(request.caller())
            .withDetail(request.service()));
    PendingRequest pendingRequest = new PendingRequest(number, label, request, sink);
    pending.put(number, pendingRequest);
    if (request.isKeyed() && shardTable.isPresent()) {
      sendToOwner(pendingRequest, shardTable.get());
      return;
    }
    submitToPolicy(pendingRequest);
  }

  private void submitToPolicy(PendingRequest pendingRequest) {
    CallerRequest request = pendingRequest.request();
    long number = pendingRequest.number();
    long now = loop.now();
    Arrival arrival =
        new Arrival(
            number,
            request.service(),
            request.caller(),
            request.key(),
            request.idempotent(),
            request.arrivedAt(),
            Math.max(request.arrivedAt(), request.deadline()));
    applyDecisions(policy.requestArrived(arrival, now));
    PendingRequest queued = pending.get(number);
    if (queued != null && queued.attempt() == null) {
      events.record(Event.of(EventKind.REQUEST_QUEUED).withRequest(pendingRequest.label()));
    }
  }

  /**
   * Sends a request to the owner of its idempotency key.
   *
   * <p>Only the owner may run it, so it does not wait in this entry: the owner queues or rejects
   * it. Overload rejections are retried here until the deadline; after any other outcome the caller
   * may retry with the same key. If the owner is not reachable and the target detects repeats, the
   * request may go to any target.
   */
  private void sendToOwner(PendingRequest request, KeyShardTable table) {
    String service = request.request().service();
    boolean targetDetectsRepeats = detectsRepeats.test(service);
    int shard = KeyShards.of(request.request().idempotencyKey());
    ShardOwner owner = table.owner(service, shard).orElse(null);
    // A draining owner rejects everything, and a request sent as it exits has an unknown outcome.
    if (owner == null || !attempts.pools().acceptsRequests(owner.vm(), owner.incarnation())) {
      if (targetDetectsRepeats) {
        submitToPolicy(request);
        return;
      }
      String detail = "this attempt was not run; the owner of its Idempotency-Key is not reachable";
      fail(request, new Failure(ErrorKind.KEY_STATE_UNKNOWN, detail, NO_OWNER_RETRY_AFTER_MILLIS));
      return;
    }
    request.sentToOwner(KeyShardCoordinator.claim(shard, owner), targetDetectsRepeats);
    request.vm(owner.vm());
    attempts.start(request, new Decision.Send(request.number(), owner.vm(), 1, "owner of its key"));
  }

  private void applyDecisions(List<Decision> decisions) {
    for (Decision decision : decisions) {
      PendingRequest request = pending.get(decision.request());
      checkState(
          request != null, "decision on request %s, which is not pending", decision.request());
      if (decision instanceof Decision.Send send) {
        request.vm(send.vm());
        startAttempt(request, send);
      } else if (decision instanceof Decision.Refuse refuse) {
        refuse(request, refuse.failure());
      }
    }
    scheduleWake();
  }

  private void scheduleWake() {
    long next = policy.nextWake();
    if (next == NEVER || (wakeAt != NEVER && wakeAt - next <= 0)) {
      return;
    }
    if (wake != null) {
      wake.cancel(false);
    }
    wakeAt = next;
    wake = loop.schedule(this::wake, Math.max(0, next - loop.now()));
  }

  private void wake() {
    wakeAt = NEVER;
    wake = null;
    applyDecisions(policy.wake(loop.now()));
  }

  private void refuse(PendingRequest request, Failure failure) {
    // The policy sees only kinds of outcomes. After an attempt that may have run, the caller must
    // not receive "not run": it would retry and run the request twice.
    if (request.mayHaveRun() && failure.kind().execution() == ErrorKind.Execution.NOT_RUN) {
      completeWithLastOutcome(request);
      return;
    }
    fail(request, failure);
  }

  private void startAttempt(PendingRequest request, Decision.Send send) {
    // Whatever the policy decides, a non-idempotent request that may have run is not sent again.
    if (request.mayHaveRun() && !request.request().idempotent()) {
      LOG.log(System.Logger.Level.ERROR, "event=second-run-prevented request={0}", request.label());
      completeWithLastOutcome(request);
      return;
    }
    attempts.start(request, send);
  }

  private void attemptEnded(
      PendingRequest request,
      String vm,
      AttemptOutcome outcome,
      CallerResponse response,
      Failure failure) {
    request.attemptEnded(outcome, response, failure);
    if (request.isRoutedToOwner()) {
      if (!isOverloaded(outcome, failure) || !scheduleOwnerRetry(request)) {
        completeWithLastOutcome(request);
      }
      return;
    }
    applyDecisions(policy.attemptEnded(request.number(), vm, outcome, loop.now()));
    if (pending.containsKey(request.number())
        && request.attempt() == null
        && !policy.isPending(request.number())) {
      completeWithLastOutcome(request);
    }
  }

  private static boolean isOverloaded(AttemptOutcome outcome, Failure failure) {
    return outcome == AttemptOutcome.NOT_RUN && failure.kind() == ErrorKind.OVERLOADED;
  }

  /**
   * Schedules another attempt at the owner with exponential backoff; returns false if the deadline
   * is earlier.
   *
   * <p>A key has a single owner, and one that has just started stalls briefly: without the retry 4
   * of 1,000 callers were refused as overloaded by a nearly idle fleet.
   */
  private boolean scheduleOwnerRetry(PendingRequest request) {
    int doublings = Math.min(request.ownerAttempts() - 1, MAX_OWNER_BACKOFF_DOUBLINGS);
    long retryAt = loop.now() + (OWNER_RETRY_BACKOFF_NANOS << doublings);
    if (retryAt >= request.request().deadline()) {
      return false;
    }
    loop.schedule(() -> retryOwner(request), retryAt - loop.now());
    return true;
  }

  private void retryOwner(PendingRequest request) {
    if (pending.get(request.number()) == request) {
      sendToOwner(request, shardTable.orElseThrow());
    }
  }

  /** Completes the request with the outcome of its last attempt. */
  private void completeWithLastOutcome(PendingRequest request) {
    if (request.lastResponse() != null) {
      removePending(request);
      request.sink().succeeded(request.label(), request.lastResponse());
      return;
    }
    Failure failure = request.lastFailure();
    if (request.mayHaveRun() && failure.kind().execution() == ErrorKind.Execution.NOT_RUN) {
      failure =
          Failure.of(
              ErrorKind.OUTCOME_UNKNOWN, "an earlier attempt may have run; " + failure.detail());
    }
    fail(request, failure);
  }

  private void fail(PendingRequest request, Failure failure) {
    removePending(request);
    boolean refused = failure.kind().execution() == ErrorKind.Execution.NOT_RUN;
    events.record(
        Event.of(refused ? EventKind.REQUEST_REFUSED : EventKind.REQUEST_FAILED)
            .withRequest(request.label())
            .withCaller(request.request().caller())
            .withDetail(failure.kind().code() + ": " + failure.detail()));
    request.sink().failed(request.label(), failure);
  }

  private void removePending(PendingRequest request) {
    pending.remove(request.number());
    checkDrained();
  }

  private void checkDrained() {
    if (refusing && pending.isEmpty()) {
      drained.complete(null);
    }
  }

  private void tick() {
    long now = loop.now();
    if (now - lastTick > PROCESS_PAUSE_NANOS) {
      // This process was paused; frames of its peers are still unread in the sockets.
      attempts.pools().resetSilenceTimers(now);
    }
    lastTick = now;
    attempts.tick(now);
  }

  private void targetsChanged() {
    applyDecisions(policy.targetsChanged(attempts.pools().targets(), loop.now()));
  }

  /** Applies announcements and losses of members. */
  private final class TargetMemberListener implements MemberListener {
    @Override
    public void announced(Announcement announcement, MemberTable.Change change) {
      if (attempts.pools().update(announcement)) {
        targetsChanged();
      }
      if (attempts.pools().isUsable(announcement.vm())) {
        applyDecisions(policy.loadReported(announcement.vm(), announcement.load(), loop.now()));
      }
    }

    @Override
    public void lost(Announcement last) {
      if (attempts.pools().retire(last.vm())) {
        targetsChanged();
      }
    }
  }

  /** Passes outcomes of attempts and reports of targets to the policy. */
  private final class AttemptListener implements AttemptTracker.Listener {
    @Override
    public void attemptEnded(
        PendingRequest request, AttemptOutcome outcome, CallerResponse response, Failure failure) {
      EntryDispatcher.this.attemptEnded(request, request.vm(), outcome, response, failure);
    }

    @Override
    public void loadReported(String vm, TargetLoad load) {
      applyDecisions(policy.loadReported(vm, load, loop.now()));
    }

    @Override
    public void targetsChanged() {
      EntryDispatcher.this.targetsChanged();
    }
  }
}
