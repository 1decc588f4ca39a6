package io.marigoldsail.daemon.link;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableSet;
import io.marigoldsail.membership.Announcement;
import io.marigoldsail.membership.EntryIdentity;
import io.marigoldsail.membership.MemberTable;
import io.marigoldsail.protocol.AnnounceAck;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.TaskMessage;
import io.marigoldsail.timeline.Event;
import io.marigoldsail.timeline.EventKind;
import io.marigoldsail.timeline.EventRecorder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * The control links of an entry. Accepts connections from side processes, receives their
 * announcements and exchanges task messages with them.
 *
 * <p>Updates the {@link MemberTable} on the loop's thread. Thread-safe unless stated otherwise.
 */
public final class EntryLinks implements PeerLinks, AutoCloseable {
  /** How long after its last announcement a VM is removed from the members. */
  public static final long MEMBER_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);

  private static final long TICK_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
  private static final long PAUSE_THRESHOLD_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final LinkLoop loop;
  private final EntryIdentity identity;
  private final MemberTable members;
  private final LongSupplier configurationRevision;
  private final Supplier<List<String>> otherEntries;
  private final EventRecorder events;
  private final LinkServer server;
  private final Map<String, LinkConnection> connectionsByVm = new ConcurrentHashMap<>();
  private final List<TaskMessageListener> taskListeners = new CopyOnWriteArrayList<>();
  private final List<KeyFrameListener> keyListeners = new CopyOnWriteArrayList<>();
  private final List<MemberListener> memberListeners = new CopyOnWriteArrayList<>();
  private long lastTick;
  private Future<?> tick;

  /**
   * Creates links without listening yet.
   *
   * @param loop the event loop that runs all callbacks
   * @param address the address that side processes connect to
   * @param maxConnections the maximum number of connected side processes
   * @param identity the identity of this entry
   * @param configurationRevision supplies the configuration revision in force in this process
   * @param otherEntries supplies the addresses of the other known entries, {@code host:port}
   * @param events the event timeline
   */
  public EntryLinks(
      LinkLoop loop,
      InetSocketAddress address,
      int maxConnections,
      EntryIdentity identity,
      LongSupplier configurationRevision,
      Supplier<List<String>> otherEntries,
      EventRecorder events) {
    this.loop = requireNonNull(loop, "loop");
    this.identity = requireNonNull(identity, "identity");
    this.members = new MemberTable(MEMBER_TIMEOUT_NANOS);
    this.configurationRevision = requireNonNull(configurationRevision, "configurationRevision");
    this.otherEntries = requireNonNull(otherEntries, "otherEntries");
    this.events = requireNonNull(events, "events");
    this.server = new LinkServer(loop, address, maxConnections, new SideProcessListener());
  }

  /**
   * Starts listening.
   *
   * @throws IOException if the address cannot be bound
   */
  public void start() throws IOException {
    server.start();
    lastTick = loop.now();
    tick = loop.repeat(this::tick, TICK_PERIOD_NANOS);
  }

  /** Returns the port that the server listens on. */
  public int port() {
    return server.port();
  }

  /** Returns the member table, which may be accessed on the loop's thread only. */
  public MemberTable members() {
    return members;
  }

  /** Adds a listener for membership changes. Must be called before {@link #start}. */
  public void addMemberListener(MemberListener listener) {
    memberListeners.add(requireNonNull(listener, "listener"));
  }

  @Override
  public void addTaskListener(TaskMessageListener listener) {
    taskListeners.add(requireNonNull(listener, "listener"));
  }

  @Override
  public boolean send(String peer, TaskMessage message) {
    LinkConnection connection = connectionsByVm.get(peer);
    if (connection == null) {
      return false;
    }
    Frame frame = Frame.newBuilder().setTask(message).build();
    loop.run(() -> connection.send(frame));
    return true;
  }

  /** Adds a listener for frames about idempotency keys. */
  public void addKeyListener(KeyFrameListener listener) {
    keyListeners.add(requireNonNull(listener, "listener"));
  }

  /** Sends a frame to the VM's side process; does nothing if there is no link to it. */
  public void sendTo(String vm, Frame frame) {
    LinkConnection connection = connectionsByVm.get(vm);
    if (connection != null) {
      loop.run(() -> connection.send(frame));
    }
  }

  @Override
  public Set<String> peers() {
    return ImmutableSet.copyOf(connectionsByVm.keySet());
  }

  /** Stops listening and closes all links. */
  @Override
  public void close() {
    tick.cancel(false);
    server.close();
  }

  private void tick() {
    long now = loop.now();
    // After this process was paused for seconds, all member deadlines have passed although
    // announcements wait unread in the sockets. A late tick shows that this process was paused, so
    // the deadlines are extended.
    if (now - lastTick > PAUSE_THRESHOLD_NANOS) {
      members.restartTimeouts(now);
    }
    lastTick = now;
    for (Announcement lost : members.expire(now)) {
      connectionsByVm.remove(lost.vm());
      events.record(Event.of(EventKind.MEMBER_LOST).withVm(lost.vm()).withDetail("silent"));
      memberListeners.forEach(listener -> listener.lost(lost));
    }
  }

  private void handleAnnouncement(LinkConnection connection, Announcement announcement) {
    MemberTable.Change change = members.update(announcement, loop.now());
    if (change == MemberTable.Change.STALE) {
      connection.close(
          "stale incarnation "
              + announcement.processIncarnation()
              + ": a later side process of VM "
              + announcement.vm()
              + " is known");
      return;
    }
    connectionsByVm.put(announcement.vm(), connection);
    connection.send(ackFrame());
    recordChange(announcement, change);
    memberListeners.forEach(listener -> listener.announced(announcement, change));
  }

  private Frame ackFrame() {
    AnnounceAck.Builder ack =
        AnnounceAck.newBuilder()
            .setEntry(identity.name())
            .setEntryIncarnation(identity.incarnation())
            .setConfigurationRevision(configurationRevision.getAsLong())
            .addAllEntries(otherEntries.get());
    return Frame.newBuilder().setAnnounceAck(ack).build();
  }

  private void recordChange(Announcement announcement, MemberTable.Change change) {
    Event joined =
        Event.of(EventKind.MEMBER_JOINED)
            .withVm(announcement.vm())
            .withDetail("incarnation " + announcement.processIncarnation());
    if (change == MemberTable.Change.JOINED) {
      events.record(joined);
    }
    if (change == MemberTable.Change.DRAINING) {
      events.record(Event.of(EventKind.MEMBER_LEAVING).withVm(announcement.vm()));
    }
  }

  private String vmOf(LinkConnection connection) throws BrokenFrameException {
    for (Map.Entry<String, LinkConnection> entry : connectionsByVm.entrySet()) {
      if (entry.getValue() == connection) {
        return entry.getKey();
      }
    }
    throw new BrokenFrameException("message received before the first announcement");
  }

  /** Handles the frames that side processes send. */
  private final class SideProcessListener implements LinkListener {
    @Override
    public void opened(LinkConnection connection) {}

    @Override
    public void received(LinkConnection connection, Frame frame) throws BrokenFrameException {
      switch (frame.getBodyCase()) {
        case ANNOUNCE ->
            handleAnnouncement(connection, AnnouncementCodec.decode(frame.getAnnounce()));
        case TASK -> {
          String vm = vmOf(connection);
          taskListeners.forEach(listener -> listener.received(vm, frame.getTask()));
        }
        case KEY_HANDOVER, KEY_HANDOVER_TAKEN -> {
          String vm = vmOf(connection);
          keyListeners.forEach(listener -> listener.received(vm, frame));
        }
        default ->
            throw new BrokenFrameException(
                "side process sent a frame of unexpected type " + frame.getBodyCase());
      }
    }

    @Override
    public void closed(LinkConnection connection, String reason) {
      connectionsByVm.values().removeIf(known -> known == connection);
    }
  }
}
