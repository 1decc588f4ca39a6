package io.marigoldsail.daemon.dispatch;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.dispatch.SideAnswers.Refusal;
import io.marigoldsail.daemon.link.Announcements;
import io.marigoldsail.daemon.link.BrokenFrameException;
import io.marigoldsail.daemon.link.EntryChannel;
import io.marigoldsail.daemon.link.KeyListener;
import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.link.LinkListener;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.link.LinkServer;
import io.marigoldsail.dispatch.ByteBudget;
import io.marigoldsail.dispatch.RequestLedger;
import io.marigoldsail.dispatch.TargetLoad;
import io.marigoldsail.dispatch.TransitDelay;
import io.marigoldsail.dispatch.WireId;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.RequestBody;
import io.marigoldsail.protocol.RequestStart;
import io.marigoldsail.protocol.Resolution;
import io.marigoldsail.protocol.Resolve;
import io.marigoldsail.protocol.TargetReport;
import io.marigoldsail.timeline.Event;
import io.marigoldsail.timeline.EventKind;
import io.marigoldsail.timeline.EventRecorder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Runs the requests of all entries on the target of this VM, each at most once.
 *
 * <p>All state is confined to the loop's thread; the public methods may be called from any thread.
 * Every rejection first writes a tombstone for the request's id to the {@link RequestLedger}, so
 * that a late copy of the request does not run.
 */
public final class SideDispatcher implements AutoCloseable {
  /** Holds several seconds of a fast target's requests in a few megabytes. */
  private static final int MAX_ENDED = 20_000;

  private static final long LEDGER_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(60);

  /** Period of health probes. A leaving target must get no new requests after at most 2 s. */
  private static final long TICK_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** How long a request keeps its slot past its deadline, as the target may still be running it. */
  private static final long LINGER_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** Retry-after of rejections for lack of a slot: about a round trip to the entry. */
  private static final long SOON_MILLIS = 5;

  private static final long LATER_MILLIS = 1_000;

  private final LinkLoop loop;
  private final Target target;
  private final SideLimits limits;
  private final long processIncarnation;
  private final EntryChannel entries;
  private final ByteBudget budget;
  private final EventRecorder events;
  private final LinkServer server;
  private final TargetWatch watch;
  private final RequestLedger<Frame> ledger;
  private final SideAnswers answers;
  private final SideKeys keys;
  private final KeyExchange exchange;
  private final Map<WireId, SideRequest> requests = new HashMap<>();
  private final ArrayDeque<SideRequest> waiting = new ArrayDeque<>();
  private final Map<LinkConnection, TransitDelay> delays = new HashMap<>();
  private final GoAwayFence fence;
  private volatile int running;
  private volatile int waitingCount;
  private volatile boolean stopping;
  private boolean toldOfStop;
  private volatile Runnable leavingListener = () -> {};
  private Future<?> tick;

  /**
   * Creates a dispatcher that does not listen yet.
   *
   * @param loop the loop that all state is confined to
   * @param address the address that entries connect to
   * @param target the target that runs the requests
   * @param limits the limits of slots, queue, connections and memory
   * @param processIncarnation the incarnation that this process announces
   * @param entries sends frames to the entries that this process announces itself to
   * @param budget the bytes that request bodies may hold; shared with the target's client
   * @param events records the request's events
   */
  public SideDispatcher(
      LinkLoop loop,
      InetSocketAddress address,
      Target target,
      SideLimits limits,
      long processIncarnation,
      EntryChannel entries,
      ByteBudget budget,
      EventRecorder events) {
    this.loop = requireNonNull(loop, "loop");
    this.target = requireNonNull(target, "target");
    this.limits = requireNonNull(limits, "limits");
    this.processIncarnation = processIncarnation;
    this.entries = requireNonNull(entries, "entries");
    this.budget = requireNonNull(budget, "budget");
    this.events = requireNonNull(events, "events");
    this.watch = new TargetWatch(loop, target, () -> leavingListener.run());
    this.server = new LinkServer(loop, address, limits.maxConnections(), new Incoming());
    this.fence = new GoAwayFence(loop, server::isFlushed);
    this.ledger = new RequestLedger<>(MAX_ENDED, limits.keptAnswerBytes(), LEDGER_WINDOW_NANOS);
    this.answers = new SideAnswers(loop, ledger, this::report, events);
    this.keys = new SideKeys(loop, processIncarnation, answers);
    this.exchange = new KeyExchange(loop, processIncarnation, entries, keys, this::isLeaving);
  }

  /** Returns the listener for frames of entries about idempotency keys. */
  public KeyListener keyListener() {
    return exchange;
  }

  /** Sets the listener for changes of {@link #isLeaving}; to be called before {@link #start}. */
  public void onLeavingChanged(Runnable listener) {
    leavingListener = requireNonNull(listener, "listener");
  }

  /**
   * Starts to listen.
   *
   * @throws IOException if the address cannot be bound
   */
  public void start() throws IOException {
    server.start();
    tick = loop.repeat(this::tick, TICK_NANOS);
    loop.runLater(this::tick);
  }

  /** Returns the local port. */
  public int port() {
    return server.port();
  }

  /** Returns the current load of the target. */
  public TargetLoad load() {
    return new TargetLoad(running, waitingCount, entries.entryCount(), isLeaving());
  }

  /** Returns whether new requests are rejected because this process or its target is stopping. */
  public boolean isLeaving() {
    return stopping || !watch.takesWork();
  }

  /**
   * Begins a planned stop: new requests are rejected, pending ones are completed.
   *
   * @return completed when the entries have received the last response and no request of theirs is
   *     in transit to this process
   */
  public CompletableFuture<Void> beginStop() {
    stopping = true;
    loop.run(this::tellOfStop);
    return fence.passed();
  }

  private void tellOfStop() {
    if (toldOfStop) {
      return;
    }
    toldOfStop = true;
    leavingListener.run();
    fence.begin();
    checkDrained();
  }

  /** Closes all connections; pending requests are lost, so call {@link #beginStop} first. */
  @Override
  public void close() {
    tick.cancel(false);
    server.close();
  }

  private void tick() {
    ledger.expire(loop.now());
    keys.expire();
    watch.probe();
  }

  private void checkDrained() {
    // New requests are rejected by now: once no keyed request is pending, none will run here.
    if (stopping && requests.values().stream().noneMatch(SideKeys::isKeyed)) {
      exchange.give(this::checkDrained);
    }
    if (stopping && requests.isEmpty() && exchange.isGiven()) {
      fence.settle();
    }
  }

  private void start(LinkConnection connection, RequestStart start) throws BrokenFrameException {
    fence.crossed();
    WireId id = SideFrames.id(start.getId());
    switch (ledger.state(id)) {
      case UNSEEN -> admit(connection, id, start, loop.now());
      case TOMBSTONE -> answers.repeatRefusal(connection, id);
      case WAITING, RUNNING -> throw new BrokenFrameException("second RequestStart of " + id);
      // A copy of an id whose outcome was dropped must not run: the request may have run before.
      case DONE, FORGOTTEN -> answers.sayForgotten(connection, id);
    }
  }

  private void admit(LinkConnection connection, WireId id, RequestStart start, long now)
      throws BrokenFrameException {
    // The time that the frame spent in buffers while this process was paused counts against the
    // deadline. Otherwise a resumed process would run requests whose callers have timed out.
    long delay = delays.get(connection).excess(start.getSentAt(), now);
    long deadline = now + TimeUnit.MILLISECONDS.toNanos(start.getRemainingMillis()) - delay;
    Refusal refusal = refusal(start, deadline, now);
    if (refusal != null) {
      answers.refuse(connection, id, start.getLabel(), refusal);
      return;
    }
    SideRequest request;
    try {
      request = new SideRequest(id, start, deadline, connection);
    } catch (BrokenFrameException e) {
      budget.release(start.getBodyLength());
      throw e;
    }
    ledger.admit(id);
    requests.put(id, request);
    if (request.isWhole()) {
      ready(request);
    }
  }

  /** Returns why the request is rejected, or null after reserving the bytes of its body. */
  private Refusal refusal(RequestStart start, long deadline, long now) {
    if (isLeaving()) {
      return new Refusal(ErrorKind.SHUTTING_DOWN, "the target or its side process is stopping", LATER_MILLIS);
    }
    if (deadline - now <= 0) {
      return new Refusal(ErrorKind.DEADLINE_BEFORE_START, "received after the deadline", 0);
    }
    if (start.getBodyLength() > Bodies.MAX_BYTES) {
      return new Refusal(ErrorKind.BODY_TOO_LARGE, "body limit is " + Bodies.MAX_BYTES + " bytes", 0);
    }
    if (isFull()) {
      return new Refusal(ErrorKind.OVERLOADED, "all slots and the queue are full", SOON_MILLIS);
    }
    if (!budget.tryReserve(start.getBodyLength())) {
      return new Refusal(ErrorKind.OVERLOADED, "body exceeds the free memory budget of the side process", SOON_MILLIS);
    }
    return null;
  }

  private boolean isFull() {
    return running >= limits.slots() && waiting.size() >= limits.waitingRoom();
  }

  private void body(LinkConnection connection, RequestBody body) throws BrokenFrameException {
    SideRequest request = requests.get(SideFrames.id(body.getId()));
    // Chunks of a request that was rejected or cancelled may still arrive; they are dropped.
    if (request == null || request.isWhole() || request.answerTo() != connection) {
      return;
    }
    request.add(body.getData(), body.getLast());
    if (request.isWhole()) {
      ready(request);
    }
  }

  private void ready(SideRequest request) {
    if (SideKeys.isKeyed(request)) {
      SideKeys.Turn admission = keys.admit(request, () -> join(request));
      if (admission == SideKeys.Turn.ANSWERED) {
        finish(request);
      }
      if (admission != SideKeys.Turn.RUN) {
        return;
      }
    }
    if (running < limits.slots()) {
      run(request);
      return;
    }
    if (isFull()) {
      giveUp(request, new Refusal(ErrorKind.OVERLOADED, "all slots and the queue are full", SOON_MILLIS));
      return;
    }
    waiting.add(request);
    waitingCount = waiting.size();
  }

  /** Lets a request share the outcome of a running one with the same key; it takes no slot. */
  private void join(SideRequest request) {
    ledger.started(request.id());
    request.dropBody();
  }

  private void giveUp(SideRequest request, Refusal refusal) {
    discard(request);
    answers.refuse(request.answerTo(), request.id(), request.start().getLabel(), refusal);
    checkDrained();
  }

  /** Removes a request that has not started, but for its entry in the ledger. */
  private void discard(SideRequest request) {
    finish(request);
    if (waiting.remove(request)) {
      waitingCount = waiting.size();
    }
    if (SideKeys.isKeyed(request) && request.isWhole()) {
      Refusal refusal =
          new Refusal(ErrorKind.OVERLOADED, "the request with the same Idempotency-Key did not run", SOON_MILLIS);
      for (SideRequest joined : keys.notRun(request)) {
        answers.neverReached(joined, refusal);
        finish(joined);
      }
    }
  }

  private void finish(SideRequest request) {
    fence.crossed();
    requests.remove(request.id());
    budget.release(request.start().getBodyLength());
  }

  private void run(SideRequest request) {
    if (request.deadline() - loop.now() <= 0) {
      giveUp(request, new Refusal(ErrorKind.DEADLINE_BEFORE_START, "deadline passed while queued", 0));
      return;
    }
    Refusal noLease = SideKeys.isKeyed(request) ? keys.unheld(request) : null;
    if (noLease != null) {
      giveUp(request, noLease);
      return;
    }
    RequestStart start = request.start();
    ledger.started(request.id());
    running++;
    events.record(
        Event.of(EventKind.REQUEST_STARTED)
            .withRequest(start.getLabel())
            .withCaller(start.getCaller()));
    TargetRequest targetRequest =
        SideFrames.toTarget(start, request.body(), request.deadline() + LINGER_NANOS);
    target.send(targetRequest, outcome -> loop.run(() -> ended(request, outcome)));
    request.dropBody();
  }

  private void ended(SideRequest request, TargetOutcome outcome) {
    running--;
    finish(request);
    answers.give(request, outcome);
    if (SideKeys.isKeyed(request)) {
      for (SideRequest joined : keys.ran(request, outcome)) {
        finish(joined);
        answers.give(joined, SideKeys.kept(outcome));
      }
    }
    startNext();
    checkDrained();
  }

  private void startNext() {
    while (running < limits.slots() && !waiting.isEmpty()) {
      SideRequest next = waiting.poll();
      waitingCount = waiting.size();
      run(next);
    }
  }

  private void cancel(WireId id) {
    SideRequest request = requests.get(id);
    if (request == null) {
      ledger.bury(id, loop.now());
      return;
    }
    // A running request is not cancelled: the target cannot undo it, and a slot that is freed while
    // the target still works on the request would overload the target.
    if (ledger.bury(id, loop.now())) {
      discard(request);
      checkDrained();
    }
  }

  private void resolve(LinkConnection connection, Resolve resolve) {
    fence.crossed();
    WireId id = SideFrames.id(resolve.getId());
    Resolution.State state = Resolution.State.FORGOTTEN;
    // A restarted process does not know its predecessor's requests, so that an unseen id does not
    // prove that the request did not run.
    if (resolve.getProcessIncarnation() == processIncarnation) {
      SideRequest request = requests.get(id);
      if (request != null && !request.isWhole()) {
        // The rest of the body was lost with the connection.
        discard(request);
        ledger.bury(id, loop.now());
      }
      if (ledger.answer(id).isPresent()) {
        answers.repeat(connection, id, ledger.answer(id).get());
        recordResolved(id, "done");
        return;
      }
      state = resolution(connection, id);
    }
    recordResolved(id, state.name());
    connection.send(SideFrames.resolution(id, state));
  }

  private Resolution.State resolution(LinkConnection connection, WireId id) {
    return switch (ledger.state(id)) {
      case UNSEEN, TOMBSTONE -> {
        ledger.bury(id, loop.now());
        yield Resolution.State.NOT_RUN;
      }
      case WAITING, RUNNING -> {
        requests.get(id).answerTo(connection);
        yield Resolution.State.RUNNING;
      }
      case DONE, FORGOTTEN -> Resolution.State.FORGOTTEN;
    };
  }

  private void recordResolved(WireId id, String state) {
    events.record(Event.of(EventKind.REQUEST_RESOLVED).withDetail("attempt " + id + ": " + state));
  }

  private TargetReport report() {
    return Announcements.write(load(), limits.slots());
  }

  /** Handles frames and connection changes of entries. */
  private final class Incoming implements LinkListener {
    @Override
    public void opened(LinkConnection connection) {
      delays.put(connection, new TransitDelay());
      fence.opened(connection);
    }

    @Override
    public void received(LinkConnection connection, Frame frame) throws BrokenFrameException {
      if (stopping) {
        // This frame is handled before the task that announces the stop; entries are notified first.
        tellOfStop();
      }
      answers.acknowledged(connection, frame.getAnswersRead());
      switch (frame.getBodyCase()) {
        case REQUEST_START -> start(connection, frame.getRequestStart());
        case REQUEST_BODY -> body(connection, frame.getRequestBody());
        case RESOLVE -> resolve(connection, frame.getResolve());
        case GO_AWAY_ACK -> fence.acknowledged(connection);
        case CANCEL -> cancel(SideFrames.id(frame.getCancel().getId()));
        case PING -> {
          long sentAt = frame.getPing().getNonce();
          delays.get(connection).excess(sentAt, loop.now());
          connection.send(SideFrames.pong(sentAt));
        }
        default -> throw new BrokenFrameException("unexpected " + frame.getBodyCase());
      }
    }

    @Override
    public void closed(LinkConnection connection, String reason) {
      delays.remove(connection);
      answers.closed(connection);
      fence.closed(connection);
      List<SideRequest> incomplete = new ArrayList<>();
      for (SideRequest request : requests.values()) {
        if (request.answerTo() == connection && !request.isWhole()) {
          incomplete.add(request);
        }
      }
      for (SideRequest request : incomplete) {
        discard(request);
        ledger.bury(request.id(), loop.now());
      }
      checkDrained();
    }
  }
}
