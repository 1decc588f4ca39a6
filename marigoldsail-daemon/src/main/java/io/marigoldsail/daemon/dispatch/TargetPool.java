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
 * An entry's connections to one side process: a few, watched for silence and dialled again.
 *
 * <p>A connection counts only after its first ping was answered: a frozen process's kernel accepts
 * connections that nobody serves, and the stamps of the first frames tell the side process how long
 * the way usually takes. Confined to the loop's thread.
 */
final class TargetPool {
  /** Told of what the connections bring. */
  interface Listener {
    /** A connection can be used. */
    void connectionUsable(TargetPool pool, LinkConnection connection);

    /** A frame other than a pong came. */
    void frameReceived(TargetPool pool, LinkConnection connection, Frame frame)
        throws BrokenFrameException;

    /** Nobody listens where the side process was. */
    void connectionRefused(TargetPool pool);

    /** A connection has ended. */
    void connectionLost(TargetPool pool, LinkConnection connection, String reason);
  }

  private static final long INITIAL_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final long MAX_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final LinkLoop loop;
  private final InetSocketAddress address;
  private final LinkSettings times;
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
      LinkSettings times,
      RandomGenerator random,
      Listener listener) {
    this.loop = loop;
    this.announcement = announcement;
    this.address = address;
    this.times = times;
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
   * Returns the target as the policy is to see it; leaving for good once the side process goes
   * away, whatever an announcement says that was overtaken.
   */
  TargetState targetState() {
    TargetState announced = announcement.targetState();
    return goingAway ? announced.asDraining() : announced;
  }

  /** Takes the side process's word that it takes nothing new; returns whether that is news. */
  boolean markGoingAway() {
    boolean news = !goingAway;
    goingAway = true;
    return news;
  }

  /** Returns whether the side process will take nothing new any more. */
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
   * Returns the connection that answers best, in turn where several do, or null where none is
   * usable.
   *
   * <p>A connection that went silent is noticed after {@link LinkSettings#silenceTimeoutNanos};
   * taken in turn it would hold up every second request of that time. Whatever was sent on it is
   * unanswered longer than on the others, so that those are taken.
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

  /** Dials what is missing, pings what was quiet, and gives up what stayed silent. */
  void tick(long now) {
    while (!closed
        && usable.size() + unverified.size() + dialsInProgress < times.connectionsPerTarget()
        && nextDialAt - now <= 0) {
      dialsInProgress++;
      loop.dial(address, new ConnectionListener(), this::dialFailed);
    }
    for (LinkConnection connection : allConnections()) {
      long unanswered = connection.unansweredNanos(now);
      boolean idle = now - connection.lastReceived() > times.idlePingNanos();
      // A connection that something between the two ends lost track of accepts bytes and brings
      // nothing, for good, and no error ever comes of it. Every peer answers a ping at once, so
      // silence in spite of pings tells it from a peer that only works long.
      if (unanswered > times.silenceTimeoutNanos()) {
        connection.close("silent");
      } else if (unanswered > times.pingAfterNanos() || idle) {
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

  /** Frames of the side process. */
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
