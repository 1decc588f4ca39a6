package io.marigoldsail.daemon.dispatch;

import io.marigoldsail.daemon.link.BrokenFrameException;
import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.link.LinkListener;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.dispatch.TargetState;
import io.marigoldsail.membership.Announcement;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.Ping;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * An entry's connections to one side process. Monitors them for unresponsiveness and reconnects.
 *
 * <p>A connection is usable only after its first ping was answered: the kernel of a paused process
 * still accepts connections, and the timestamps of the first frames let the side process estimate
 * the usual transit delay. Confined to the loop's thread.
 */
final class TargetPool {
  /** Is notified of frames and changes of connections. */
  interface Listener {
    /** A connection became usable. */
    void connectionUsable(TargetPool pool, LinkConnection connection);

    /** A frame other than a pong was received. */
    void frameReceived(TargetPool pool, LinkConnection connection, Frame frame)
        throws BrokenFrameException;

    /** A connection was refused while none is usable: nothing listens at the address. */
    void connectionRefused(TargetPool pool);

    /** A usable connection was closed. */
    void connectionLost(TargetPool pool, LinkConnection connection, String reason);
  }

  private static final long INITIAL_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final long MAX_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final LinkLoop loop;
  private final InetSocketAddress address;
  private final LinkSettings settings;
  private final RandomGenerator random;
  private final Listener listener;
  private final List<LinkConnection> usable = new ArrayList<>();
  private final List<LinkConnection> unverified = new ArrayList<>();
  private Announcement announcement;
  private int dialsInProgress;
  private int lastSelected;
  private long nextDialAt;
  private long backoffNanos = INITIAL_BACKOFF_NANOS;
  private int attemptsInFlight;
  private boolean goingAway;
  private boolean closed;

  TargetPool(
      LinkLoop loop,
      Announcement announcement,
      InetSocketAddress address,
      LinkSettings settings,
      RandomGenerator random,
      Listener listener) {
    this.loop = loop;
    this.announcement = announcement;
    this.address = address;
    this.settings = settings;
    this.random = random;
    this.listener = listener;
    this.nextDialAt = loop.now();
  }

  String vm() {
    return announcement.vm();
  }

  long incarnation() {
    return announcement.processIncarnation();
  }

  Announcement announcement() {
    return announcement;
  }

  void announcement(Announcement newer) {
    announcement = newer;
  }

  /**
   * Returns the state of the target for the policy. Once the side process has sent GOAWAY, the
   * target stays draining, even if a stale announcement is received later.
   */
  TargetState targetState() {
    TargetState announced = announcement.targetState();
    return goingAway ? announced.asDraining() : announced;
  }

  /** Records that the side process sent GOAWAY; returns whether this is the first time. */
  boolean markGoingAway() {
    boolean first = !goingAway;
    goingAway = true;
    return first;
  }

  /** Returns whether the side process has sent GOAWAY and rejects new requests. */
  boolean isGoingAway() {
    return goingAway;
  }

  boolean isUsable() {
    return !usable.isEmpty();
  }

  /** Returns whether exactly one connection is usable. */
  boolean hasSingleUsable() {
    return usable.size() == 1;
  }

  void attemptBegan() {
    attemptsInFlight++;
  }

  void attemptEnded() {
    attemptsInFlight--;
  }

  boolean hasAttempts() {
    return attemptsInFlight > 0;
  }

  /**
   * Returns the usable connection that has been waiting for a reply for the shortest time,
   * round-robin among equals, or null if none is usable.
   *
   * <p>An unresponsive connection is detected only after {@link LinkSettings#silenceTimeoutNanos}.
   * Until then it has waited longest, so that requests use the others; plain round-robin would
   * delay every second request.
   */
  LinkConnection selectConnection() {
    long now = loop.now();
    LinkConnection best = null;
    for (int i = 0; i < usable.size(); i++) {
      lastSelected = (lastSelected + 1) % usable.size();
      LinkConnection candidate = usable.get(lastSelected);
      if (best == null || candidate.unansweredNanos(now) < best.unansweredNanos(now)) {
        best = candidate;
      }
    }
    return best;
  }

  /** Opens missing connections, pings quiet ones, and closes unresponsive ones. */
  void tick(long now) {
    while (!closed
        && usable.size() + unverified.size() + dialsInProgress < settings.connectionsPerTarget()
        && nextDialAt - now <= 0) {
      dialsInProgress++;
      loop.dial(address, new ConnectionListener(), this::dialFailed);
    }
    for (LinkConnection connection : allConnections()) {
      long unanswered = connection.unansweredNanos(now);
      boolean idle = now - connection.lastReceived() > settings.idlePingNanos();
      // A connection whose state was lost in the network accepts bytes but delivers nothing, and
      // never reports an error. Peers answer pings at once, so unanswered pings distinguish it from
      // a peer with a long-running request.
      if (unanswered > settings.silenceTimeoutNanos()) {
        connection.close("silent");
      } else if (unanswered > settings.pingAfterNanos() || idle) {
        ping(connection);
      }
    }
  }

  void resetSilenceTimers(long now) {
    allConnections().forEach(connection -> connection.resetSilenceTimer(now));
  }

  void close() {
    closed = true;
    allConnections().forEach(connection -> connection.close("stopped"));
  }

  private List<LinkConnection> allConnections() {
    List<LinkConnection> all = new ArrayList<>(usable);
    all.addAll(unverified);
    return all;
  }

  private void ping(LinkConnection connection) {
    connection.send(Frame.newBuilder().setPing(Ping.newBuilder().setNonce(loop.now())).build());
  }

  private void dialFailed(Throwable cause) {
    dialsInProgress--;
    delayNextDial();
    if (cause instanceof ConnectException && !isUsable()) {
      listener.connectionRefused(this);
    }
  }

  private void delayNextDial() {
    nextDialAt = loop.now() + backoffNanos / 2 + random.nextLong(backoffNanos);
    backoffNanos = Math.min(MAX_BACKOFF_NANOS, backoffNanos * 2);
  }

  /** Handles frames and connection changes of the side process. */
  private final class ConnectionListener implements LinkListener {
    @Override
    public void opened(LinkConnection connection) {
      dialsInProgress--;
      if (closed) {
        connection.close("stopped");
        return;
      }
      unverified.add(connection);
      ping(connection);
    }

    @Override
    public void received(LinkConnection connection, Frame frame) throws BrokenFrameException {
      if (frame.getBodyCase() != Frame.BodyCase.PONG) {
        listener.frameReceived(TargetPool.this, connection, frame);
        return;
      }
      if (unverified.remove(connection)) {
        usable.add(connection);
        backoffNanos = INITIAL_BACKOFF_NANOS;
        listener.connectionUsable(TargetPool.this, connection);
      }
    }

    @Override
    public void closed(LinkConnection connection, String reason) {
      boolean wasUsable = usable.remove(connection);
      if (unverified.remove(connection)) {
        delayNextDial();
      }
      if (wasUsable) {
        listener.connectionLost(TargetPool.this, connection, reason);
        tick(loop.now());
      }
    }
  }
}
