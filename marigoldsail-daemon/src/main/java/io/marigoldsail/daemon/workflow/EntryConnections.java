package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
import io.marigoldsail.daemon.frames.ReportParts;
import io.marigoldsail.daemon.identity.EarlierForms;
import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.daemon.workflow.WorkflowStore.Owners;
import io.marigoldsail.daemon.workflow.WorkflowStore.OwnersResult;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.OwnerMap;
import io.marigoldsail.protocol.VmReport;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The connections of a side process to the entries, and the owner of each partition.
 *
 * <p>Entries send changes of the owner map; the store is queried only while some entry is not
 * connected. Confined to the loop's thread.
 */
final class EntryConnections {
  private static final EventLog LOG = EventLog.of(EntryConnections.class);

  /** Interval between two queries to the store, in nanoseconds. */
  private static final long STORE_QUERY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  /** Receives connection events and frames; called on the loop. */
  interface Listener {
    /** An entry has connected. */
    void connected(EntryConnection connection);

    /** An entry has disconnected. */
    void disconnected(EntryConnection connection);

    /** An entry sent a frame other than an owner map. */
    void received(EntryConnection connection, Frame frame);

    /** The owners of partitions have changed. */
    void ownersChanged();
  }

  /** A connection to an entry. */
  static final class EntryConnection {
    private final String member;
    private final LinkConnection link;
    private long ordersSeen;
    private boolean needsCapacity = true;
    private boolean readsTextIds;

    EntryConnection(String member, LinkConnection link) {
      this.member = member;
      this.link = link;
    }

    String member() {
      return member;
    }

    LinkConnection link() {
      return link;
    }

    long ordersSeen() {
      return ordersSeen;
    }

    /** Sends the report in a form that the entry reads, as far as it has told. */
    void send(VmReport report) {
      ReportParts.send(link, readsTextIds ? report : EarlierForms.reportForAnyEntry(report));
    }

    /** Returns whether tasks wait for capacity at the entry, as far as it has sent. */
    boolean needsCapacity() {
      return needsCapacity;
    }

    /** Records the number of the orders received, and whether tasks wait for capacity. */
    void recordOrders(long number, boolean needsCapacityNow) {
      if (number > ordersSeen) {
        needsCapacity = needsCapacityNow;
      }
      ordersSeen = Math.max(ordersSeen, number);
    }
  }

  private final LinkLoop loop;
  private final WorkflowStore store;
  private final Listener listener;
  private final Map<Integer, String> owners = new HashMap<>();

  /** The name under which the process is connected that a member name in the owner map denotes. */
  private ImmutableMap<String, String> connectedNames = ImmutableMap.of();

  private long ownersFingerprint = OwnerMapCodec.fingerprint(owners);
  private ImmutableSet<String> members = ImmutableSet.of();
  private final Map<String, EntryConnection> connections = new HashMap<>();
  private final MemberLinks links;
  private long generation;
  private long storeQueriedAt = Long.MIN_VALUE;

  EntryConnections(LinkLoop loop, WorkflowStore store, Listener listener) {
    this.loop = requireNonNull(loop, "loop");
    this.store = requireNonNull(store, "store");
    this.listener = requireNonNull(listener, "listener");
    this.links = new MemberLinks(loop, new MemberLinkListener());
  }

  Iterable<EntryConnection> connections() {
    return Set.copyOf(connections.values());
  }

  /** Returns the number of connected entries. */
  int connectedCount() {
    return connections.size();
  }

  /**
   * Returns the fingerprint of the owner map in use, computed as the entries do.
   *
   * <p>A late response of the store can replace a newer map that an entry sent. Entries send their
   * map again if the reported fingerprint differs from theirs; without it the side process would
   * report to a former owner forever.
   */
  long ownersFingerprint() {
    return ownersFingerprint;
  }

  /** Returns the digest of the owner map in use, for entries that read no fingerprints. */
  int legacyOwnersDigest() {
    return OwnerMapCodec.legacyDigest(owners);
  }

  /**
   * Returns whether the member owns the partition according to the owner map in use, under whatever
   * incarnation.
   */
  boolean owns(String member, int partition) {
    String owner = owners.get(partition);
    return owner != null && member.equals(connectedNames.get(owner));
  }

  /**
   * Connects to entries that are not connected, closes unresponsive connections, and queries the
   * store if an entry is missing.
   */
  void maintain() {
    long now = loop.now();
    links.closeUnresponsive();
    links.setMembers(members);
    boolean incomplete = links.size() == 0 || links.size() < members.size();
    if (incomplete
        && (storeQueriedAt == Long.MIN_VALUE
            || now - storeQueriedAt > STORE_QUERY_INTERVAL_NANOS)) {
      storeQueriedAt = now;
      store.owners().thenAccept(result -> loop.run(() -> ownersReadFromStore(result)));
    }
  }

  private void ownersReadFromStore(OwnersResult result) {
    if (!(result instanceof Owners read)) {
      LOG.debug(LogLine.of("owners-unread").with("result", result));
      return;
    }
    replaceOwners(read.byPartition(), "the store");
  }

  private void ownerMapReceived(String member, OwnerMap map) {
    if (OwnerMapCodec.isEmpty(map)
        || map.getGeneration() < generation
        || map.getGeneration() > PartitionOwnership.MAX_GENERATION) {
      LOG.debug(
          LogLine.of("owner-map-passed-over")
              .with("member", member)
              .with("generation", map.getGeneration())
              .with("known_generation", generation));
      return;
    }
    generation = map.getGeneration();
    replaceOwners(OwnerMapCodec.decode(map), member);
  }

  private void replaceOwners(Map<Integer, String> newOwners, String source) {
    if (newOwners.isEmpty() || newOwners.equals(owners)) {
      return;
    }
    owners.clear();
    owners.putAll(newOwners);
    ownersFingerprint = OwnerMapCodec.fingerprint(owners);
    connectedNames = connectedNames(Maps.filterKeys(owners, this::isPartition).values());
    members = ImmutableSet.copyOf(connectedNames.values());
    LOG.info(
        LogLine.of("owners-changed")
            .with("members", members)
            .with("generation", generation)
            .with("fingerprint", Long.toHexString(ownersFingerprint))
            .with("source", source));
    maintain();
    listener.ownersChanged();
  }

  private boolean isPartition(int number) {
    return 0 <= number && number < store.partitions();
  }

  /**
   * Returns the name to connect under for each name, which is the newest incarnation at its
   * address.
   *
   * <p>With two connections, an entry would take the VM's reports from one alone, and the other one
   * would look unresponsive. Names of no entry are left out.
   */
  private static ImmutableMap<String, String> connectedNames(Collection<String> names) {
    Map<InetSocketAddress, EntryMember> newestByAddress = new HashMap<>();
    Map<String, EntryMember> members = new HashMap<>();
    for (String name : ImmutableSet.copyOf(names)) {
      EntryMember.parse(name).ifPresent(member -> members.put(name, member));
    }
    for (EntryMember member : members.values()) {
      newestByAddress.merge(member.address(), member, EntryMember::newest);
    }
    return ImmutableMap.copyOf(
        Maps.transformValues(members, member -> newestByAddress.get(member.address()).toString()));
  }

  /** Passes link events on to the connections and to the listener. */
  private final class MemberLinkListener implements MemberLinks.Listener {
    @Override
    public void opened(String member, LinkConnection link) {
      EntryConnection connection = new EntryConnection(member, link);
      connections.put(member, connection);
      listener.connected(connection);
    }

    @Override
    public void received(String member, Frame frame) {
      if (frame.hasOwnerMap()) {
        connections.get(member).readsTextIds |= frame.getOwnerMap().getReadsTextIds();
        ownerMapReceived(member, frame.getOwnerMap());
      } else {
        listener.received(connections.get(member), frame);
      }
    }

    @Override
    public void closed(String member, LinkConnection link) {
      EntryConnection closed = connections.remove(member);
      if (closed != null) {
        listener.disconnected(closed);
      }
    }
  }
}
