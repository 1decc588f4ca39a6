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
 * Carries out what an entry's {@link RequestPolicy} decides, and tells it what came of it.
 *
 * <p>Keeps every request until its one answer, matches answers by id, and finds out over a new
 * connection what became of requests whose connection was lost. All state is confined to the loop's
 * thread; the public methods may be called from any thread.
 */
public final class EntryDispatcher implements AutoCloseable {
  private static final System.Logger LOG = System.getLogger(EntryDispatcher.class.getName());
  private static final long PROCESS_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long NO_OWNER_RETRY_AFTER_MILLIS = 1_000;

  /** What a request waits after its home was full for the first time, in nanoseconds. */
  private static final long OWNER_RETRY_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  private static final int MAX_OWNER_BACKOFF_DOUBLINGS = 8;
  private static final long NEVER = Long.MAX_VALUE;

  private final LinkLoop loop;
  private final EntryIdentity identity;
  private final RequestPolicy policy;
  private final LinkSettings times;
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
   * @param loop the thread
   * @param identity who this entry is
   * @param policy decides; owned by this dispatcher from now on
   * @param times how connections are watched
   * @param answerBudget what answers may hold while they are put together
   * @param keys the homes of idempotency keys; without them keys go to targets unused
   * @param detectsRepeats whether the targets of a service tell repeats of a key apart themselves
   * @param events the time line
   * @param random for the back-off's jitter
   */
  public EntryDispatcher(
      LinkLoop loop,
      EntryIdentity identity,
      RequestPolicy policy,
      LinkSettings times,
      ByteBudget answerBudget,
      Optional<KeyShardTable> keys,
      Predicate<String> detectsRepeats,
      EventRecorder events,
      RandomGenerator random) {
    this.loop = requireNonNull(loop, "loop");
    this.identity = requireNonNull(identity, "identity");
    this.policy = requireNonNull(policy, "policy");
    this.times = requireNonNull(times, "times");
    this.shardTable = requireNonNull(keys, "keys");
    this.detectsRepeats = requireNonNull(detectsRepeats, "detectsRepeats");
    this.events = requireNonNull(events, "events");
    this.attempts =
        new AttemptTracker(
            loop, identity, times, answerBudget, events, random, new AttemptListener());
  }

  /** Begins to serve. */
  public void start() {
    lastTick = loop.now();
    tick = loop.repeat(this::tick, times.checkIntervalNanos());
  }

  /** Returns the listener through which this dispatcher learns of targets. */
  public MemberListener memberListener() {
    return new TargetMemberListener();
  }

  /** Takes a request; its sink is called exactly once. */
  public void submit(CallerRequest request, ResponseSink sink) {
    loop.run(() -> requestArrived(request, sink));
  }

  /** Returns how many targets there are connections to; to be called on the loop's thread. */
  int reachableTargetCount() {
    return attempts.pools().targets().size();
  }

  /** Returns whether the platform's balancer may send callers here. */
  public boolean isReady() {
    return !stopping;
  }

  /**
   * Begins a planned stop: health turns bad at once, arrivals are served for the grace time, what
   * is in progress ends.
   *
   * @param graceNanos how long the platform's balancer may take to notice the bad health
   * @return completed when every request taken has been answered
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

  /** Ends all connections; what is pending gets no answer, so {@link #beginStop} goes first. */
  @Override
  public void close() {
    tick.cancel(false);
    loop.run(attempts.pools()::close);
  }

  private void requestArrived(CallerRequest request, ResponseSink sink) {
    long number = ++lastRequestNumber;
    String label = Long.toHexString(identity.incarnation()) + "-" + number;
    if (refusing) {
      sink.failed(label, new Failure(ErrorKind.SHUTTING_DOWN, identity.name() + " stops", 1_000));
      return;
    }
    events.record(
        Event.of(EventKind.REQUEST_ARRIVED)
            .withRequest(label)
            .withCaller(request.caller())
            .withDetail(request.service()));
    PendingRequest arrived = new PendingRequest(number, label, request, sink);
    pending.put(number, arrived);
    if (request.isKeyed() && shardTable.isPresent()) {
      sendToOwner(arrived, shardTable.get());
      return;
    }
    submitToPolicy(arrived);
  }

  private void submitToPolicy(PendingRequest arrived) {
    CallerRequest request = arrived.request();
    long number = arrived.number();
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
    PendingRequest waits = pending.get(number);
    if (waits != null && waits.attempt() == null) {
      events.record(Event.of(EventKind.REQUEST_QUEUED).withRequest(arrived.label()));
    }
  }

  /**
   * Sends a request to the home of its idempotency key.
   *
   * <p>There is no choice of target and so no waiting here: the home's waiting room takes it, or it
   * refuses it. A refusal for want of room is tried again here while there is time; after any other
   * outcome the caller may, with the same key. Where its home is not reached but the target tells
   * repeats apart by itself, any target takes it.
   */
  private void sendToOwner(PendingRequest request, KeyShardTable table) {
    String service = request.request().service();
    boolean detects = detectsRepeats.test(service);
    int shard = KeyShards.of(request.request().idempotencyKey());
    ShardOwner home = table.owner(service, shard).orElse(null);
    // A home that leaves refuses all; what is sent to it as it exits would be of unknown outcome.
    if (home == null || !attempts.pools().acceptsRequests(home.vm(), home.incarnation())) {
      if (detects) {
        submitToPolicy(request);
        return;
      }
      String detail = "this attempt was not run; its Idempotency-Key has no home that is reached";
      fail(request, new Failure(ErrorKind.KEY_STATE_UNKNOWN, detail, NO_OWNER_RETRY_AFTER_MILLIS));
      return;
    }
    request.sentToOwner(KeyShardCoordinator.claim(shard, home), detects);
    request.vm(home.vm());
    attempts.start(request, new Decision.Send(request.number(), home.vm(), 1, "home of its key"));
  }

  private void applyDecisions(List<Decision> decisions) {
    for (Decision decision : decisions) {
      PendingRequest request = pending.get(decision.request());
      checkState(request != null, "decision on request %s that is not here", decision.request());
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
    // The policy knows outcomes by their kind alone; a refusal after an attempt that may have run
    // must not read as "not run" to the caller, who would safely ask again and run it twice.
    if (request.mayHaveRun() && failure.kind().execution() == ErrorKind.Execution.NOT_RUN) {
      completeWithLastOutcome(request);
      return;
    }
    fail(request, failure);
  }

  private void startAttempt(PendingRequest request, Decision.Send send) {
    // Whatever the policy makes of outcomes: what may have run and is not idempotent is never sent
    // again.
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
      CallerResponse answer,
      Failure failure) {
    request.attemptEnded(outcome, answer, failure);
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
   * Sends the request to its home again after a back-off that doubles; returns false if its
   * deadline passes before.
   *
   * <p>Guards against refusals by a nearly idle fleet: a key has one home, and one that has just
   * started stands still for a moment, while four of 1,000 callers were told that it is full.
   */
  private boolean scheduleOwnerRetry(PendingRequest request) {
    int doublings = Math.min(request.ownerAttempts() - 1, MAX_OWNER_BACKOFF_DOUBLINGS);
    long due = loop.now() + (OWNER_RETRY_BACKOFF_NANOS << doublings);
    if (due >= request.request().deadline()) {
      return false;
    }
    loop.schedule(() -> retryOwner(request), due - loop.now());
    return true;
  }

  private void retryOwner(PendingRequest request) {
    if (pending.get(request.number()) == request) {
      sendToOwner(request, shardTable.orElseThrow());
    }
  }

  /** Hands the outcome of the last attempt on. */
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
      // This process was frozen; its peers' frames wait in its sockets.
      attempts.pools().resetSilenceTimers(now);
    }
    lastTick = now;
    attempts.tick(now);
  }

  private void targetsChanged() {
    applyDecisions(policy.targetsChanged(attempts.pools().targets(), loop.now()));
  }

  /** What members announce. */
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

  /** What comes of attempts. */
  private final class AttemptListener implements AttemptTracker.Listener {
    @Override
    public void attemptEnded(
        PendingRequest request, AttemptOutcome outcome, CallerResponse answer, Failure failure) {
      EntryDispatcher.this.attemptEnded(request, request.vm(), outcome, answer, failure);
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
