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

/** A side process's link to one entry: dialled, announced on, watched and dialled again. */
final class EntryLink {
  /** Told of what comes over the link. */
  interface Listener {
    void opened(EntryLink link);

    void acknowledged(EntryLink link, AnnounceAck ack);

    void taskReceived(String entry, TaskMessage message);

    void keyFrameReceived(String entry, Frame frame);

    void lost(EntryLink link);
  }

  private static final System.Logger LOG = System.getLogger(EntryLink.class.getName());

  /** A link whose announcements are not answered for this long is taken for dead. */
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

  /** Announces on the link, or dials it where it is down and due. */
  void announce(Frame announcement, long now) {
    boolean wasFrozen = now - lastAnnounceAt > PAUSE_THRESHOLD_NANOS;
    lastAnnounceAt = now;
    if (connection == null) {
      if (!dialling && nextDialAt - now <= 0) {
        dial();
      }
      return;
    }
    if (wasFrozen) {
      connection.resetSilenceTimer(now);
    }
    // A connection that something between the two ends has lost track of takes bytes and answers
    // nothing, for good; the entry would drop this VM while it goes on announcing into the void.
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

  /** Frames of the entry. */
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
        default -> throw new BrokenFrameException("unexpected " + frame.getBodyCase());
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
