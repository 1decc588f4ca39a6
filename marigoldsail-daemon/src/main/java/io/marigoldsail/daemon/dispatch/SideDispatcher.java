package io.marigoldsail.daemon.dispatch;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.dispatch.ResponseSender.Rejection;
import io.marigoldsail.daemon.link.AnnouncementCodec;
import io.marigoldsail.daemon.link.BrokenFrameException;
import io.marigoldsail.daemon.link.EntryChannel;
import io.marigoldsail.daemon.link.KeyFrameListener;
import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.link.LinkListener;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.link.LinkServer;
import io.marigoldsail.dispatch.AttemptId;
import io.marigoldsail.dispatch.AttemptTable;
import io.marigoldsail.dispatch.ByteBudget;
import io.marigoldsail.dispatch.TargetLoad;
import io.marigoldsail.dispatch.TransitDelay;
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
 * Every rejection first writes a tombstone for the request's id to the {@link AttemptTable}, so
 * that a late copy of the request does not run.
 */
public final class SideDispatcher implements AutoCloseable {
  /** Holds several seconds of a fast target's requests in a few megabytes. */
  private static final int MAX_ENDED_IDS = 20_000;

  private static final long ENDED_ID_TTL_NANOS = TimeUnit.SECONDS.toNanos(60);

  /** Period of health probes. A draining target must get no new requests after at most 2 s. */
  private static final long TICK_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** How long a request keeps its slot past its deadline, as the target may still be running it. */
  private static final long TARGET_OVERRUN_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** Retry-after of rejections for lack of a slot: about a round trip to the entry. */
  private static final long SLOT_RETRY_AFTER_MILLIS = 5;

  private static final long DRAINING_RETRY_AFTER_MILLIS = 1_000;

  private final LinkLoop loop;
  private final Target target;
  private final SideLimits limits;
  private final long processIncarnation;
  private final EntryChannel entries;
  private final ByteBudget budget;
  private final EventRecorder events;
  private final LinkServer server;
  private final TargetHealthMonitor healthMonitor;
  private final AttemptTable<Frame> attemptTable;
  private final ResponseSender responseSender;
  private final KeyedRequests keyedRequests;
  private final KeyFrameHandler keyFrameHandler;
  private final Map<AttemptId, SideRequest> requests = new HashMap<>();
  private final ArrayDeque<SideRequest> queue = new ArrayDeque<>();
  private final Map<LinkConnection, TransitDelay> transitDelays = new HashMap<>();
  private final ConnectionDrain connectionDrain;
  private volatile int running;
  private volatile int queueLength;
  private volatile boolean stopping;
  private boolean stopAnnounced;
  private volatile Runnable drainingListener = () -> {};
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
    this.healthMonitor = new TargetHealthMonitor(loop, target, () -> drainingListener.run());
    this.server = new LinkServer(loop, address, limits.maxConnections(), new EntryFrameListener());
    this.connectionDrain = new ConnectionDrain(loop, server::isFlushed);
    this.attemptTable =
        new AttemptTable<>(MAX_ENDED_IDS, limits.retainedResponseBytes(), ENDED_ID_TTL_NANOS);
    this.responseSender = new ResponseSender(loop, attemptTable, this::report, events);
    this.keyedRequests = new KeyedRequests(loop, processIncarnation, responseSender);
    this.keyFrameHandler =
        new KeyFrameHandler(loop, processIncarnation, entries, keyedRequests, this::isDraining);
  }

  /** Returns the listener for frames of entries about idempotency keys. */
  public KeyFrameListener keyListener() {
    return keyFrameHandler;
  }

  /** Sets the listener for changes of {@link #isDraining}; to be called before {@link #start}. */
  public void onDrainingChanged(Runnable listener) {
    drainingListener = requireNonNull(listener, "listener");
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
    return new TargetLoad(running, queueLength, entries.entryCount(), isDraining());
  }

  /** Returns whether new requests are rejected because this process or its target is stopping. */
  public boolean isDraining() {
    return stopping || !healthMonitor.acceptsWork();
  }

  /**
   * Begins a planned stop: new requests are rejected, pending ones are completed.
   *
   * @return completed when entries have received the last response and no request is in transit
   */
  public CompletableFuture<Void> beginStop() {
    stopping = true;
    loop.run(this::announceStop);
    return connectionDrain.drained();
  }

  private void announceStop() {
    if (stopAnnounced) {
      return;
    }
    stopAnnounced = true;
    drainingListener.run();
    connectionDrain.begin();
    checkDrained();
  }

  /** Closes all connections; pending requests are lost, so call {@link #beginStop} first. */
  @Override
  public void close() {
    tick.cancel(false);
    server.close();
  }

  private void tick() {
    attemptTable.expire(loop.now());
    keyedRequests.expire();
    healthMonitor.probe();
  }

  private void checkDrained() {
    // New requests are rejected by now: once no keyed request is pending, none will run here.
    if (stopping && requests.values().stream().noneMatch(KeyedRequests::isKeyed)) {
      keyFrameHandler.handOver(this::checkDrained);
    }
    if (stopping && requests.isEmpty() && keyFrameHandler.isHandedOver()) {
      connectionDrain.completeWhenDrained();
    }
  }

  private void start(LinkConnection connection, RequestStart start) throws BrokenFrameException {
    connectionDrain.recordActivity();
    AttemptId id = SideFrames.fromMessage(start.getId());
    switch (attemptTable.state(id)) {
      case UNSEEN -> admit(connection, id, start, loop.now());
      case TOMBSTONE -> responseSender.resendRejection(connection, id);
      case WAITING, RUNNING -> throw new BrokenFrameException("second RequestStart of " + id);
      // A copy of a request whose outcome was dropped must not run: it may have run before.
      case DONE, FORGOTTEN -> responseSender.sendOutcomeUnknown(connection, id);
    }
  }

  private void admit(LinkConnection connection, AttemptId id, RequestStart start, long now)
      throws BrokenFrameException {
    // The time that the frame spent in buffers while this process was paused counts against the
    // deadline. Otherwise a resumed process would run requests whose callers have timed out.
    long delay = transitDelays.get(connection).excessNanos(start.getSentAt(), now);
    long deadline = now + TimeUnit.MILLISECONDS.toNanos(start.getRemainingMillis()) - delay;
    Rejection rejection = rejection(start, deadline, now);
    if (rejection != null) {
      responseSender.reject(connection, id, start.getLabel(), rejection);
      return;
    }
    SideRequest request;
    try {
      request = new SideRequest(id, start, deadline, connection);
    } catch (BrokenFrameException e) {
      budget.release(start.getBodyLength());
      throw e;
    }
    attemptTable.admit(id);
    requests.put(id, request);
    if (request.isComplete()) {
      runOrQueue(request);
    }
  }

  /** Returns why the request is rejected, or null after reserving the bytes of its body. */
  private Rejection rejection(RequestStart start, long deadline, long now) {
    if (isDraining()) {
      return new Rejection(
          ErrorKind.SHUTTING_DOWN, "the target is draining", DRAINING_RETRY_AFTER_MILLIS);
    }
    if (deadline - now <= 0) {
      return new Rejection(ErrorKind.DEADLINE_BEFORE_START, "received after the deadline", 0);
    }
    if (start.getBodyLength() > BodyLimits.MAX_BYTES) {
      return new Rejection(
          ErrorKind.BODY_TOO_LARGE, "body limit is " + BodyLimits.MAX_BYTES + " bytes", 0);
    }
    if (isFull()) {
      return new Rejection(
          ErrorKind.OVERLOADED, "all slots and the queue are full", SLOT_RETRY_AFTER_MILLIS);
    }
    if (!budget.tryReserve(start.getBodyLength())) {
      return new Rejection(
          ErrorKind.OVERLOADED, "no memory budget left for the body", SLOT_RETRY_AFTER_MILLIS);
    }
    return null;
  }

  private boolean isFull() {
    return running >= limits.slots() && queue.size() >= limits.queueCapacity();
  }

  private void appendBody(LinkConnection connection, RequestBody body) throws BrokenFrameException {
    SideRequest request = requests.get(SideFrames.fromMessage(body.getId()));
    // Chunks of a request that was rejected or cancelled may still arrive; they are dropped.
    if (request == null || request.isComplete() || request.responseConnection() != connection) {
      return;
    }
    request.appendBody(body.getData(), body.getLast());
    if (request.isComplete()) {
      runOrQueue(request);
    }
  }

  private void runOrQueue(SideRequest request) {
    if (KeyedRequests.isKeyed(request)) {
      KeyedRequests.AdmissionResult admission = keyedRequests.admit(request, () -> join(request));
      if (admission == KeyedRequests.AdmissionResult.ANSWERED) {
        finish(request);
      }
      if (admission != KeyedRequests.AdmissionResult.RUN) {
        return;
      }
    }
    if (running < limits.slots()) {
      run(request);
      return;
    }
    if (isFull()) {
      reject(
          request,
          new Rejection(
              ErrorKind.OVERLOADED, "all slots and the queue are full", SLOT_RETRY_AFTER_MILLIS));
      return;
    }
    queue.add(request);
    queueLength = queue.size();
  }

  /** Lets a request share the outcome of a running one with the same key; it takes no slot. */
  private void join(SideRequest request) {
    attemptTable.started(request.id());
    request.releaseBody();
  }

  private void reject(SideRequest request, Rejection rejection) {
    discard(request);
    responseSender.reject(
        request.responseConnection(), request.id(), request.start().getLabel(), rejection);
    checkDrained();
  }

  /** Removes a request that has not started, but keeps its state in the attempt table. */
  private void discard(SideRequest request) {
    finish(request);
    if (queue.remove(request)) {
      queueLength = queue.size();
    }
    if (KeyedRequests.isKeyed(request) && request.isComplete()) {
      Rejection rejection =
          new Rejection(
              ErrorKind.OVERLOADED, "the joined request did not run", SLOT_RETRY_AFTER_MILLIS);
      for (SideRequest joined : keyedRequests.requestNotRun(request)) {
        responseSender.rejectNotSent(joined, rejection);
        finish(joined);
      }
    }
  }

  private void finish(SideRequest request) {
    connectionDrain.recordActivity();
    requests.remove(request.id());
    budget.release(request.start().getBodyLength());
  }

  private void run(SideRequest request) {
    if (request.deadline() - loop.now() <= 0) {
      reject(request, new Rejection(ErrorKind.DEADLINE_BEFORE_START, "expired in the queue", 0));
      return;
    }
    Rejection noLease =
        KeyedRequests.isKeyed(request) ? keyedRequests.leaseRejection(request) : null;
    if (noLease != null) {
      reject(request, noLease);
      return;
    }
    RequestStart start = request.start();
    attemptTable.started(request.id());
    running++;
    events.record(
        Event.of(EventKind.REQUEST_STARTED)
            .withRequest(start.getLabel())
            .withCaller(start.getCaller()));
    TargetRequest targetRequest =
        SideFrames.targetRequest(start, request.body(), request.deadline() + TARGET_OVERRUN_NANOS);
    target.send(targetRequest, outcome -> loop.run(() -> attemptEnded(request, outcome)));
    request.releaseBody();
  }

  private void attemptEnded(SideRequest request, TargetOutcome outcome) {
    running--;
    finish(request);
    responseSender.sendOutcome(request, outcome);
    if (KeyedRequests.isKeyed(request)) {
      for (SideRequest joined : keyedRequests.requestRan(request, outcome)) {
        finish(joined);
        responseSender.sendOutcome(joined, KeyedRequests.detachedFromBudget(outcome));
      }
    }
    startNext();
    checkDrained();
  }

  private void startNext() {
    while (running < limits.slots() && !queue.isEmpty()) {
      SideRequest next = queue.poll();
      queueLength = queue.size();
      run(next);
    }
  }

  private void cancel(AttemptId id) {
    SideRequest request = requests.get(id);
    if (request == null) {
      attemptTable.markNotRun(id, loop.now());
      return;
    }
    // A running request is not cancelled: the target cannot undo it, and a slot that is freed while
    // the target still works on the request would overload the target.
    if (attemptTable.markNotRun(id, loop.now())) {
      discard(request);
      checkDrained();
    }
  }

  private void resolve(LinkConnection connection, Resolve resolve) {
    connectionDrain.recordActivity();
    AttemptId id = SideFrames.fromMessage(resolve.getId());
    Resolution.State state = Resolution.State.FORGOTTEN;
    // A restarted process does not know earlier requests: an unseen id does not prove "not run".
    if (resolve.getProcessIncarnation() == processIncarnation) {
      SideRequest request = requests.get(id);
      if (request != null && !request.isComplete()) {
        // The rest of the body was lost with the connection.
        discard(request);
        attemptTable.markNotRun(id, loop.now());
      }
      if (attemptTable.response(id).isPresent()) {
        responseSender.resend(connection, id, attemptTable.response(id).get());
        recordResolved(id, "done");
        return;
      }
      state = resolution(connection, id);
    }
    recordResolved(id, state.name());
    connection.send(SideFrames.resolution(id, state));
  }

  private Resolution.State resolution(LinkConnection connection, AttemptId id) {
    return switch (attemptTable.state(id)) {
      case UNSEEN, TOMBSTONE -> {
        attemptTable.markNotRun(id, loop.now());
        yield Resolution.State.NOT_RUN;
      }
      case WAITING, RUNNING -> {
        requests.get(id).responseConnection(connection);
        yield Resolution.State.RUNNING;
      }
      case DONE, FORGOTTEN -> Resolution.State.FORGOTTEN;
    };
  }

  private void recordResolved(AttemptId id, String state) {
    events.record(Event.of(EventKind.REQUEST_RESOLVED).withDetail("attempt " + id + ": " + state));
  }

  private TargetReport report() {
    return AnnouncementCodec.encode(load(), limits.slots());
  }

  /** Handles frames and connection changes of entries. */
  private final class EntryFrameListener implements LinkListener {
    @Override
    public void opened(LinkConnection connection) {
      transitDelays.put(connection, new TransitDelay());
      connectionDrain.opened(connection);
    }

    @Override
    public void received(LinkConnection connection, Frame frame) throws BrokenFrameException {
      if (stopping) {
        // This frame is handled before the task that announces the stop, so announce the stop now.
        announceStop();
      }
      responseSender.acknowledged(connection, frame.getAnswersRead());
      switch (frame.getBodyCase()) {
        case REQUEST_START -> start(connection, frame.getRequestStart());
        case REQUEST_BODY -> appendBody(connection, frame.getRequestBody());
        case RESOLVE -> resolve(connection, frame.getResolve());
        case GO_AWAY_ACK -> connectionDrain.acknowledged(connection);
        case CANCEL -> cancel(SideFrames.fromMessage(frame.getCancel().getId()));
        case PING -> {
          long sentAt = frame.getPing().getNonce();
          transitDelays.get(connection).excessNanos(sentAt, loop.now());
          connection.send(SideFrames.pong(sentAt));
        }
        default -> throw new BrokenFrameException("unexpected " + frame.getBodyCase());
      }
    }

    @Override
    public void closed(LinkConnection connection, String reason) {
      transitDelays.remove(connection);
      responseSender.connectionClosed(connection);
      connectionDrain.closed(connection);
      List<SideRequest> incomplete = new ArrayList<>();
      for (SideRequest request : requests.values()) {
        if (request.responseConnection() == connection && !request.isComplete()) {
          incomplete.add(request);
        }
      }
      for (SideRequest request : incomplete) {
        discard(request);
        attemptTable.markNotRun(request.id(), loop.now());
      }
      checkDrained();
    }
  }
}
