package io.marigoldsail.daemon.workflow;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.Sets;
import io.marigoldsail.daemon.capacity.RetainedWork;
import io.marigoldsail.daemon.identity.WorkflowIdCodec;
import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.daemon.workflow.WorkflowStore.Owners;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.OwnerMap;
import io.marigoldsail.protocol.Ping;
import io.marigoldsail.protocol.QueueCount;
import io.marigoldsail.protocol.VmReport;
import io.marigoldsail.protocol.WaitingCounts;
import io.marigoldsail.protocol.WorkflowQuery;
import io.marigoldsail.workflow.QueryResult;
import io.marigoldsail.workflow.WorkflowId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Tracks the other entries: the owners of partitions, queries to them, and their numbers of waiting
 * workflows.
 *
 * <p>Each entry dials all owners and sends its queries on the connections that it dialled. An entry
 * that stands by owns nothing and is not dialled; it receives the numbers of the owners on the
 * connections on which it sends its own. Confined to the loop's thread.
 */
final class EntryPeers {
  private static final EventLog LOG = EventLog.of(EntryPeers.class);

  /** Timeout of a query, in nanoseconds; slightly longer than an owner takes at most. */
  private static final long QUERY_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(950);

  /** Age above which counts are dropped, in nanoseconds; their entry is presumed gone. */
  static final long COUNTS_TTL_NANOS = TimeUnit.SECONDS.toNanos(8);

  /** Far more workflows than can wait; the number of local ones can be added to it. */
  static final int MAX_WAITING = 1_000_000_000;

  private static final Frame PING = Frame.newBuilder().setPing(Ping.getDefaultInstance()).build();

  private record PendingQuery(LinkConnection connection, Consumer<QueryResult> onResult) {}

  private record PeerCounts(Map<String, Integer> waiting, long receivedAt) {}

  private final LinkLoop loop;
  private final EntryMember self;
  private final MemberLinks links;
  private final Map<Long, PendingQuery> pendingQueries = new HashMap<>();
  private final Map<String, PeerCounts> counts = new HashMap<>();

  /** The connected members that have told that they read workflow ids as texts. */
  private final Set<String> textIdReaders = new HashSet<>();

  /** Connections that entries which own nothing have dialled. */
  private final Set<LinkConnection> standbyConnections = new HashSet<>();

  private final RetainedWork retained;
  private final WaitingCountsSchedule countsSchedule = new WaitingCountsSchedule();
  private final Map<Integer, String> ownersByPartition = new HashMap<>();
  private long ownersFingerprint = OwnerMapCodec.fingerprint(ownersByPartition);
  private OwnerMap ownerMap = OwnerMap.getDefaultInstance();
  private long lastQueryId;

  EntryPeers(LinkLoop loop, EntryMember self, RetainedWork retained) {
    this.loop = requireNonNull(loop, "loop");
    this.retained = requireNonNull(retained, "retained");
    this.self = requireNonNull(self, "self");
    this.links = new MemberLinks(loop, new PeerLinkListener());
  }

  /**
   * Replaces the owner map and returns whether it has to be sent to side processes.
   *
   * <p>Owners of a lower generation than the current map are ignored: they were requested from the
   * store earlier, and the response arrived late. A higher generation has to be sent even if the
   * owners are the same: side processes that know it ignore the older map of an entry that cannot
   * reach the store.
   */
  boolean updateOwners(long generation, Owners newOwners) {
    if (generation < ownerMap.getGeneration()) {
      return false;
    }
    Map<Integer, String> newMap = newOwners.byPartition();
    if (newMap.equals(ownersByPartition)) {
      boolean isHigher = generation > ownerMap.getGeneration();
      ownerMap = ownerMap.toBuilder().setGeneration(generation).build();
      return isHigher;
    }
    ownersByPartition.clear();
    ownersByPartition.putAll(newMap);
    ownersFingerprint = OwnerMapCodec.fingerprint(newMap);
    ownerMap = OwnerMapCodec.encodeWithMemberList(newMap, generation);
    LOG.info(
        LogLine.of("owner-map-changed")
            .with("generation", generation)
            .with("fingerprint", Long.toHexString(ownersFingerprint))
            .with("members", Set.copyOf(newMap.values())));
    dialOwners();
    return true;
  }

  /**
   * Returns whether the side process uses other owners than those known here, as far as its report
   * tells; reports of older versions have a digest alone, which different owners may share.
   */
  boolean usesOtherOwners(VmReport report) {
    return report.getOwnersFingerprint() == 0
        ? report.getOwnersDigest() != OwnerMapCodec.legacyDigest(ownersByPartition)
        : report.getOwnersFingerprint() != ownersFingerprint;
  }

  /**
   * Returns the owner map to be sent to a side process.
   *
   * @param readsMemberLists whether it reads maps that name each member once
   */
  OwnerMap ownerMap(boolean readsMemberLists) {
    OwnerMap map =
        readsMemberLists
            ? ownerMap
            : OwnerMapCodec.encode(ownersByPartition, ownerMap.getGeneration());
    return map.toBuilder().setReadsTextIds(true).build();
  }

  /** Returns the member that owns the partition, or empty if no owner is known. */
  Optional<String> ownerOf(int partition) {
    return Optional.ofNullable(ownersByPartition.get(partition));
  }

  /** Returns whether a connection to the member is open. */
  boolean isConnected(String member) {
    return links.linkTo(member).isPresent();
  }

  private void dialOwners() {
    Set<String> members = new HashSet<>(ownersByPartition.values());
    // Whatever incarnation a name tells, this process is at its own address.
    members.removeIf(name -> EntryMember.parse(name).filter(self::isAtAddressOf).isPresent());
    links.setMembers(members);
  }

  /**
   * Sends a query on a workflow to the owner of the partition.
   *
   * @param query the query without ids
   * @param onResult runs on the loop, once; {@link QueryResult#UNAVAILABLE} if the owner is
   *     unknown, unreachable, of an earlier version that cannot represent the workflow's id, or
   *     does not respond in time
   */
  void query(
      int partition,
      WorkflowId workflow,
      WorkflowQuery.Builder query,
      Consumer<QueryResult> onResult) {
    Optional<String> owner = ownerOf(partition);
    LinkConnection connection = owner.flatMap(links::linkTo).orElse(null);
    if (connection == null) {
      onResult.accept(QueryResult.UNAVAILABLE);
      return;
    }
    if (textIdReaders.contains(owner.get())) {
      query.setWorkflowId(workflow.toString());
    } else if (WorkflowIdCodec.hasNumber(workflow)) {
      query.setWorkflow(WorkflowIdCodec.number(workflow));
    } else {
      LOG.info(
          LogLine.of("query-withheld")
              .with("workflow", workflow)
              .with("partition", partition)
              .with("member", owner.get())
              .with("reason", "the owner is not known to distinguish the case of digits"));
      onResult.accept(QueryResult.UNAVAILABLE);
      return;
    }
    long id = ++lastQueryId;
    pendingQueries.put(id, new PendingQuery(connection, onResult));
    connection.send(Frame.newBuilder().setWorkflowQuery(query.setId(id)).build());
    loop.schedule(() -> completeQuery(id, QueryResult.UNAVAILABLE), QUERY_TIMEOUT_NANOS);
  }

  private void completeQuery(long id, QueryResult result) {
    PendingQuery pending = pendingQueries.remove(id);
    if (pending != null) {
      pending.onResult().accept(result);
    }
  }

  /**
   * Sends a ping and, where due, the local counts to all peers, closes silent connections, drops
   * old counts and dials owners that are not connected; to be called periodically.
   *
   * @param waiting number of waiting workflows by queue
   */
  void tick(Map<String, Integer> waiting) {
    WaitingCounts.Builder localCounts =
        WaitingCounts.newBuilder()
            .setMember(self.toString())
            .setRetainedBytes(retained.bytes(self.toString()));
    waiting.forEach(
        (queue, count) ->
            localCounts.addQueues(QueueCount.newBuilder().setQueue(queue).setWaiting(count)));
    Frame frame = Frame.newBuilder().setWaitingCounts(localCounts).build();
    long now = loop.now();
    boolean sendCounts = countsSchedule.isDue(waiting);
    for (LinkConnection connection : links.closeUnresponsive()) {
      if (sendCounts) {
        connection.send(frame);
      }
      connection.send(PING);
    }
    if (sendCounts) {
      standbyConnections.forEach(connection -> connection.sendOneWay(frame));
    }
    counts.values().removeIf(count -> now - count.receivedAt() > COUNTS_TTL_NANOS);
    retained.retainOwners(Sets.union(counts.keySet(), Set.of(self.toString())));
    dialOwners();
  }

  /**
   * Replaces the counts of another entry, received on a connection that it dialled.
   *
   * @throws IllegalArgumentException if no entry sends such counts
   */
  void updateCounts(LinkConnection from, WaitingCounts received) {
    updateCounts(received);
    if (!ownersByPartition.containsValue(received.getMember()) && standbyConnections.add(from)) {
      countsSchedule.peerConnected();
    }
  }

  /** Forgets a connection that another process dialled. */
  void disconnected(LinkConnection connection) {
    standbyConnections.remove(connection);
  }

  private void updateCounts(WaitingCounts received) {
    checkArgument(
        EntryMember.parse(received.getMember()).isPresent(),
        "not the name of an entry: %s",
        received.getMember());
    Map<String, Integer> waiting = new HashMap<>();
    for (QueueCount queue : received.getQueuesList()) {
      checkArgument(queue.getWaiting() >= 0, "count is out of range: %s", queue.getWaiting());
      waiting.put(queue.getQueue(), queue.getWaiting());
    }
    counts.put(received.getMember(), new PeerCounts(waiting, loop.now()));
    retained.update(received.getMember(), Math.max(0, received.getRetainedBytes()));
  }

  /**
   * Returns the number of workflows of the queue that wait at the other entries, at most {@link
   * #MAX_WAITING}.
   */
  int waitingAtPeers(String queue) {
    long sum = 0;
    for (PeerCounts peerCounts : counts.values()) {
      sum += peerCounts.waiting().getOrDefault(queue, 0);
    }
    return (int) Math.min(sum, MAX_WAITING);
  }

  /** Handles frames and ends of the links to other entries. */
  private final class PeerLinkListener implements MemberLinks.Listener {
    @Override
    public void opened(String member, LinkConnection link) {
      countsSchedule.peerConnected();
      link.send(PING);
    }

    @Override
    public void received(String member, Frame frame) {
      if (frame.hasWorkflowQueryAnswer()) {
        completeQuery(
            frame.getWorkflowQueryAnswer().getId(),
            QueryResult.forNumber(frame.getWorkflowQueryAnswer().getResult()));
      } else if (frame.hasPong() && frame.getPong().getReadsTextIds()) {
        textIdReaders.add(member);
      } else if (frame.hasWaitingCounts()) {
        updateCounts(frame.getWaitingCounts());
      }
    }

    @Override
    public void closed(String member, LinkConnection link) {
      textIdReaders.remove(member);
      for (Map.Entry<Long, PendingQuery> each : Map.copyOf(pendingQueries).entrySet()) {
        if (each.getValue().connection() == link) {
          completeQuery(each.getKey(), QueryResult.UNAVAILABLE);
        }
      }
    }
  }
}
