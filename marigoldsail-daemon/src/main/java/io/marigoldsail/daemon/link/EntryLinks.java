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
 * The control links of an entry: side processes dial in, announce themselves and exchange messages
 * about tasks.
 *
 * <p>Keeps the {@link MemberTable} up to date on the loop's thread. Safe for any thread where not
 * said otherwise.
 */
public final class EntryLinks implements PeerLinks, AutoCloseable {
  /** How long after its last announcement a VM is dropped. */
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
   * Creates links that are not started.
   *
   * @param loop the thread
   * @param address where side processes dial in
   * @param maxConnections how many side processes at most
   * @param identity who this entry is
   * @param configurationRevision the revision in force here
   * @param otherEntries addresses of the other entries known, {@code host:port}
   * @param events the time line
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
   * Begins to listen.
   *
   * @throws IOException if the address cannot be had
   */
  public void start() throws IOException {
    server.start();
    lastTick = loop.now();
    tick = loop.repeat(this::tick, TICK_PERIOD_NANOS);
  }

  /** Returns the port that is listened on. */
  public int port() {
    return server.port();
  }

  /** Returns the members; to be read on the loop's thread only. */
  public MemberTable members() {
    return members;
  }

  /** Adds a listener for changes of members; to be called before {@link #start}. */
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

  /** Hands a frame to the link to the VM, if there is one. */
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

  /** Stops listening and ends all links. */
  @Override
  public void close() {
    tick.cancel(false);
    server.close();
  }

  private void tick() {
    long now = loop.now();
    // An entry frozen for seconds finds all deadlines passed before it has read what waits in its
    // sockets; the lateness of its own tick tells that it was the one who was away.
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
      connection.close("a later process of " + announcement.vm() + " is known");
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
    Event about =
        Event.of(EventKind.MEMBER_JOINED)
            .withVm(announcement.vm())
            .withDetail("incarnation " + announcement.processIncarnation());
    if (change == MemberTable.Change.JOINED) {
      events.record(about);
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
    throw new BrokenFrameException("a message before any announcement");
  }

  /** Frames of side processes. */
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
        default -> throw new BrokenFrameException("unexpected " + frame.getBodyCase());
      }
    }

    @Override
    public void closed(LinkConnection connection, String reason) {
      connectionsByVm.values().removeIf(known -> known == connection);
    }
  }
}
