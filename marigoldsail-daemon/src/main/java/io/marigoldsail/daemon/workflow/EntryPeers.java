package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.workflow.WorkflowStore.Owners;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.OwnerMap;
import io.marigoldsail.protocol.PartitionOwner;
import io.marigoldsail.protocol.Ping;
import io.marigoldsail.protocol.QueueCount;
import io.marigoldsail.protocol.WaitingCounts;
import io.marigoldsail.protocol.WorkflowQuery;
import io.marigoldsail.workflow.QueryResult;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The other entries: who owns what, questions to them, and how much waits with them.
 *
 * <p>Each entry dials all others and asks on the connections that it dialled. Confined to the
 * loop's thread.
 */
final class EntryPeers {
  /** How long an owner may take to answer a question, in nanoseconds. */
  private static final long QUERY_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

  /** Counts older than this are of a process that is gone, in nanoseconds. */
  private static final long COUNTS_TTL_NANOS = TimeUnit.SECONDS.toNanos(8);

  private record PendingQuery(LinkConnection connection, Consumer<QueryResult> onResult) {}

  private record PeerCounts(Map<String, Integer> waiting, long receivedAt) {}

  private final LinkLoop loop;
  private final EntryMember self;
  private final MemberLinks links;
  private final Map<Long, PendingQuery> pendingQueries = new HashMap<>();
  private final Map<String, PeerCounts> counts = new HashMap<>();
  private final Map<Integer, String> updateOwners = new HashMap<>();
  private OwnerMap ownerMap = OwnerMap.getDefaultInstance();
  private long lastQueryId;

  EntryPeers(LinkLoop loop, EntryMember self) {
    this.loop = requireNonNull(loop, "loop");
    this.self = requireNonNull(self, "self");
    this.links = new MemberLinks(loop, new PeerLinkListener());
  }

  /**
   * Takes who owns what; returns whether side processes have to be told. An answer of the store
   * that was asked for before the one in use, and came later, is passed over.
   *
   * <p>A higher generation is told though the owners are the same: side processes that have it pass
   * over the older map of an entry that does not reach the store.
   */
  boolean updateOwners(long generation, Owners newOwners) {
    if (generation < ownerMap.getGeneration()) {
      return false;
    }
    Map<Integer, String> newMap = newOwners.byPartition();
    if (newMap.equals(updateOwners)) {
      boolean rose = generation > ownerMap.getGeneration();
      ownerMap = ownerMap.toBuilder().setGeneration(generation).build();
      return rose;
    }
    updateOwners.clear();
    updateOwners.putAll(newMap);
    OwnerMap.Builder builder =
        OwnerMap.newBuilder().setGeneration(generation).setDigest(newMap.hashCode());
    newMap.forEach(
        (partition, member) ->
            builder.addOwners(
                PartitionOwner.newBuilder().setPartition(partition).setMember(member)));
    ownerMap = builder.build();
    dialOwners();
    return true;
  }

  /** Returns who owns what, to be sent to side processes. */
  OwnerMap ownerMap() {
    return ownerMap;
  }

  /** Returns the member that owns the partition, or empty if nobody is known to. */
  Optional<String> ownerOf(int partition) {
    return Optional.ofNullable(updateOwners.get(partition));
  }

  private void dialOwners() {
    Set<String> members = new HashSet<>(updateOwners.values());
    members.remove(self.toString());
    links.setMembers(members);
  }

  /**
   * Asks the owner of the partition about a workflow.
   *
   * @param told runs on the loop; {@link QueryResult#UNAVAILABLE} if the owner is not reached
   */
  void query(int partition, WorkflowQuery question, Consumer<QueryResult> told) {
    LinkConnection connection = ownerOf(partition).flatMap(links::linkTo).orElse(null);
    if (connection == null) {
      told.accept(QueryResult.UNAVAILABLE);
      return;
    }
    long id = ++lastQueryId;
    pendingQueries.put(id, new PendingQuery(connection, told));
    connection.send(Frame.newBuilder().setWorkflowQuery(question.toBuilder().setId(id)).build());
    loop.schedule(() -> completeQuery(id, QueryResult.UNAVAILABLE), QUERY_TIMEOUT_NANOS);
  }

  private void completeQuery(long id, QueryResult result) {
    PendingQuery question = pendingQueries.remove(id);
    if (question != null) {
      question.onResult().accept(result);
    }
  }

  /** Tells the others how much waits here, and closes connections that went silent. */
  void tick(Map<String, Integer> waitingHere) {
    WaitingCounts.Builder told = WaitingCounts.newBuilder().setMember(self.toString());
    waitingHere.forEach(
        (queue, waiting) ->
            told.addQueues(QueueCount.newBuilder().setQueue(queue).setWaiting(waiting)));
    Frame frame = Frame.newBuilder().setWaitingCounts(told).build();
    Frame ping = Frame.newBuilder().setPing(Ping.getDefaultInstance()).build();
    long now = loop.now();
    for (LinkConnection connection : links.closeUnresponsive()) {
      connection.send(frame);
      connection.send(ping);
    }
    counts.values().removeIf(count -> now - count.receivedAt() > COUNTS_TTL_NANOS);
    dialOwners();
  }

  /** Takes what another entry told of itself. */
  void updateCounts(WaitingCounts told) {
    Map<String, Integer> waiting = new HashMap<>();
    told.getQueuesList().forEach(queue -> waiting.put(queue.getQueue(), queue.getWaiting()));
    counts.put(told.getMember(), new PeerCounts(waiting, loop.now()));
  }

  /** Returns how many workflows of the queue wait with the other entries. */
  int waitingAtPeers(String queue) {
    int sum = 0;
    for (PeerCounts count : counts.values()) {
      sum += count.waiting().getOrDefault(queue, 0);
    }
    return sum;
  }

  /** What the other entries send. */
  private final class PeerLinkListener implements MemberLinks.Listener {
    @Override
    public void opened(String member, LinkConnection link) {}

    @Override
    public void received(String member, Frame frame) {
      if (frame.hasWorkflowQueryAnswer()) {
        completeQuery(
            frame.getWorkflowQueryAnswer().getId(),
            QueryResult.forNumber(frame.getWorkflowQueryAnswer().getResult()));
      }
    }

    @Override
    public void closed(String member, LinkConnection link) {
      for (Map.Entry<Long, PendingQuery> each : Map.copyOf(pendingQueries).entrySet()) {
        if (each.getValue().connection() == link) {
          completeQuery(each.getKey(), QueryResult.UNAVAILABLE);
        }
      }
    }
  }
}
