package io.marigoldsail.daemon.link;

import io.marigoldsail.protocol.AnnounceAck;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.TaskMessage;
import io.marigoldsail.timeline.Event;
import io.marigoldsail.timeline.EventKind;
import io.marigoldsail.timeline.EventRecorder;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * A side process's control link to one entry. Dials the entry, sends announcements, closes the
 * connection when the entry stops responding, and dials again after a backoff.
 *
 * <p>Confined to the loop's thread.
 */
final class EntryLink {
  /** Receives the events of the link, on the loop's thread. */
  interface Listener {
    void opened(EntryLink link);

    void acknowledged(EntryLink link, AnnounceAck ack);

    void taskReceived(String entry, TaskMessage message);

    void keyFrameReceived(String entry, Frame frame);

    void lost(EntryLink link);
  }

  private static final System.Logger LOG = System.getLogger(EntryLink.class.getName());

  /** The link is closed if the entry sends nothing for this long. */
  private static final long SILENCE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_600);

  private static final long INITIAL_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final long MAX_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long PAUSE_THRESHOLD_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final LinkLoop loop;
  private final InetSocketAddress address;
  private final boolean seed;
  private final RandomGenerator random;
  private final EventRecorder events;
  private final Listener listener;
  private LinkConnection connection;
  private boolean dialling;
  private boolean closed;
  private long backoffNanos = INITIAL_BACKOFF_NANOS;
  private long nextDialAt;
  private long lastListedAt;
  private long lastAnnounceAt;
  private String entryName = "";

  EntryLink(
      LinkLoop loop,
      InetSocketAddress address,
      boolean seed,
      RandomGenerator random,
      EventRecorder events,
      Listener listener) {
    this.loop = loop;
    this.address = address;
    this.seed = seed;
    this.random = random;
    this.events = events;
    this.listener = listener;
    this.nextDialAt = loop.now();
    this.lastListedAt = loop.now();
    this.lastAnnounceAt = loop.now();
  }

  /**
   * Sends the announcement if the link is up, or dials the entry if it is down and the backoff has
   * passed.
   */
  void announce(Frame announcement, long now) {
    boolean wasPaused = now - lastAnnounceAt > PAUSE_THRESHOLD_NANOS;
    lastAnnounceAt = now;
    if (connection == null) {
      if (!dialling && nextDialAt - now <= 0) {
        dial();
      }
      return;
    }
    if (wasPaused) {
      connection.resetSilenceTimer(now);
    }
    // When a device between the two ends drops its connection state, the local socket still accepts
    // writes but no response ever arrives. Without this check the entry would remove this VM while
    // its announcements keep going to the dead connection.
    if (now - connection.lastReceived() > SILENCE_TIMEOUT_NANOS) {
      connection.close("silent");
      return;
    }
    connection.send(announcement);
  }

  void send(Frame frame) {
    if (connection != null) {
      connection.send(frame);
    }
  }

  void sendAll(FrameStream frames) {
    if (connection != null) {
      connection.sendAll(frames);
    }
  }

  void listed(long now) {
    lastListedAt = now;
  }

  boolean isEstablished() {
    return connection != null && !entryName.isEmpty();
  }

  boolean isExpired(long now, long afterNanos) {
    return !seed && connection == null && now - lastListedAt > afterNanos;
  }

  void close() {
    closed = true;
    if (connection != null) {
      connection.close("stopped");
    }
  }

  private void dial() {
    dialling = true;
    loop.dial(
        address,
        new EntryFrameListener(),
        reason -> {
          dialling = false;
          scheduleRedial();
          LOG.log(
              System.Logger.Level.DEBUG,
              "event=entry-unreachable entry={0} reason=\"{1}\"",
              address,
              reason.getMessage());
        });
  }

  private void scheduleRedial() {
    nextDialAt = loop.now() + backoffNanos / 2 + random.nextLong(backoffNanos);
    backoffNanos = Math.min(MAX_BACKOFF_NANOS, backoffNanos * 2);
  }

  /** Handles the frames that the entry sends. */
  private final class EntryFrameListener implements LinkListener {
    @Override
    public void opened(LinkConnection opened) {
      dialling = false;
      if (closed) {
        opened.close("stopped");
        return;
      }
      connection = opened;
      listener.opened(EntryLink.this);
    }

    @Override
    public void received(LinkConnection from, Frame frame) throws BrokenFrameException {
      switch (frame.getBodyCase()) {
        case ANNOUNCE_ACK -> {
          entryName = frame.getAnnounceAck().getEntry();
          backoffNanos = INITIAL_BACKOFF_NANOS;
          listener.acknowledged(EntryLink.this, frame.getAnnounceAck());
        }
        case TASK -> listener.taskReceived(entryName, frame.getTask());
        case KEY_LEASES, KEY_HANDOVER, KEY_HANDOVER_RESULT ->
            listener.keyFrameReceived(entryName, frame);
        default ->
            throw new BrokenFrameException(
                "entry sent a frame of unexpected type " + frame.getBodyCase());
      }
    }

    @Override
    public void closed(LinkConnection ended, String reason) {
      if (connection != ended) {
        return;
      }
      connection = null;
      scheduleRedial();
      listener.lost(EntryLink.this);
      events.record(
          Event.of(EventKind.CONNECTION_LOST).withDetail("entry " + address + ": " + reason));
    }
  }
}
