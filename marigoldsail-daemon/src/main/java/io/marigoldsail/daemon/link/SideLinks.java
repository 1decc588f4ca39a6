package io.marigoldsail.daemon.link;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableSet;
import io.marigoldsail.membership.Announcement;
import io.marigoldsail.protocol.AnnounceAck;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.TaskMessage;
import io.marigoldsail.settings.HostPort;
import io.marigoldsail.timeline.EventRecorder;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * The control links of a side process: it dials every entry that it knows, announces itself and
 * exchanges messages about tasks.
 *
 * <p>Entries come from the settings and from what entries tell of each other. Safe for any thread
 * where not said otherwise.
 */
public final class SideLinks implements PeerLinks, EntryChannel, AutoCloseable {
  /**
   * How often the VM is announced; a sixth of the entry's {@link EntryLinks#MEMBER_TIMEOUT_NANOS}.
   */
  public static final long ANNOUNCE_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private static final int MAX_ENTRIES = 64;
  private static final long ENTRY_EXPIRY_NANOS = TimeUnit.MINUTES.toNanos(2);

  private final LinkLoop loop;
  private final Supplier<Announcement> announcement;
  private final EventRecorder events;
  private final RandomGenerator random;
  private final Map<InetSocketAddress, EntryLink> links = new LinkedHashMap<>();
  private final Map<String, EntryLink> linksByEntry = new ConcurrentHashMap<>();
  private final List<TaskMessageListener> taskListeners = new CopyOnWriteArrayList<>();
  private final List<KeyFrameListener> keyListeners = new CopyOnWriteArrayList<>();
  private Future<?> tick;
  private volatile int establishedCount;

  /**
   * Creates links that are not started.
   *
   * @param loop the thread
   * @param announcement what is announced now; called on the loop
   * @param seeds the entries of the settings, never forgotten
   * @param events the time line
   * @param random for the back-off's jitter
   */
  public SideLinks(
      LinkLoop loop,
      Supplier<Announcement> announcement,
      List<InetSocketAddress> seeds,
      EventRecorder events,
      RandomGenerator random) {
    this.loop = requireNonNull(loop, "loop");
    this.announcement = requireNonNull(announcement, "announcement");
    this.events = requireNonNull(events, "events");
    this.random = requireNonNull(random, "random");
    for (InetSocketAddress seed : seeds) {
      links.put(seed, newLink(seed, true));
    }
  }

  /** Begins to dial and to announce. */
  public void start() {
    tick = loop.repeat(this::tick, ANNOUNCE_PERIOD_NANOS);
    loop.runLater(this::tick);
  }

  /** Announces now instead of at the next turn; for news that must not wait, such as leaving. */
  public void announceNow() {
    loop.run(this::tick);
  }

  @Override
  public int entryCount() {
    return Math.max(1, establishedCount);
  }

  @Override
  public void addTaskListener(TaskMessageListener listener) {
    taskListeners.add(requireNonNull(listener, "listener"));
  }

  /** Adds a listener for frames about keys; to be called before the start. */
  public void addKeyListener(KeyFrameListener listener) {
    keyListeners.add(requireNonNull(listener, "listener"));
  }

  @Override
  public boolean send(String peer, TaskMessage message) {
    EntryLink link = linksByEntry.get(peer);
    if (link == null) {
      return false;
    }
    Frame frame = Frame.newBuilder().setTask(message).build();
    loop.run(() -> link.send(frame));
    return true;
  }

  @Override
  public void sendTo(String entry, Frame frame) {
    EntryLink link = linksByEntry.get(entry);
    if (link != null) {
      loop.run(() -> link.send(frame));
    }
  }

  @Override
  public void sendAllTo(String entry, FrameStream frames) {
    EntryLink link = linksByEntry.get(entry);
    if (link != null) {
      loop.run(() -> link.sendAll(frames));
    }
  }

  @Override
  public Set<String> peers() {
    return ImmutableSet.copyOf(linksByEntry.keySet());
  }

  /** Ends all links. */
  @Override
  public void close() {
    tick.cancel(false);
    loop.run(
        () -> {
          new ArrayList<>(links.values()).forEach(EntryLink::close);
          links.clear();
        });
  }

  private EntryLink newLink(InetSocketAddress address, boolean seed) {
    return new EntryLink(loop, address, seed, random, events, new Listener());
  }

  private void tick() {
    long now = loop.now();
    Frame frame = announceFrame();
    links
        .values()
        .removeIf(
            link -> {
              boolean forgotten = link.isExpired(now, ENTRY_EXPIRY_NANOS);
              if (forgotten) {
                link.close();
              }
              return forgotten;
            });
    int heard = 0;
    for (EntryLink link : links.values()) {
      link.announce(frame, now);
      if (link.isEstablished()) {
        heard++;
      }
    }
    establishedCount = heard;
  }

  private Frame announceFrame() {
    return Frame.newBuilder().setAnnounce(AnnouncementCodec.encode(announcement.get())).build();
  }

  /** Learns what the links tell. */
  private final class Listener implements EntryLink.Listener {
    @Override
    public void opened(EntryLink link) {
      link.announce(announceFrame(), loop.now());
    }

    @Override
    public void acknowledged(EntryLink link, AnnounceAck ack) {
      linksByEntry.put(ack.getEntry(), link);
      for (String other : ack.getEntriesList()) {
        HostPort.parse(other)
            .map(HostPort::socketAddress)
            .ifPresent(
                address -> {
                  EntryLink known = links.get(address);
                  if (known != null) {
                    known.listed(loop.now());
                  } else if (links.size() < MAX_ENTRIES) {
                    links.put(address, newLink(address, false));
                  }
                });
      }
    }

    @Override
    public void taskReceived(String entry, TaskMessage message) {
      taskListeners.forEach(listener -> listener.received(entry, message));
    }

    @Override
    public void keyFrameReceived(String entry, Frame frame) {
      keyListeners.forEach(listener -> listener.received(entry, frame));
    }

    @Override
    public void lost(EntryLink link) {
      linksByEntry.values().removeIf(known -> known == link);
    }
  }
}
