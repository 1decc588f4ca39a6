package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.link.LinkListener;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.daemon.workflow.WorkflowStore.Owner;
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
 * <p>Each entry dials all others and asks on the connections that it dialled. A connection on which
 * nothing comes back is closed and dialled anew, since connections go silent without a reset.
 * Confined to the loop's thread.
 */
final class EntryPeers {
  private static final EventLog LOG = EventLog.of(EntryPeers.class);

  /** How long an owner may take to answer a question, in nanoseconds. */
  private static final long QUESTION_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

  /** A connection that leaves this long something unanswered is given up, in nanoseconds. */
  private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_800);

  /** Counts older than this are of a process that is gone, in nanoseconds. */
  private static final long COUNTS_NANOS = TimeUnit.SECONDS.toNanos(8);

  private record Asked(LinkConnection connection, Consumer<QueryResult> told) {}

  private record Counts(Map<String, Integer> waiting, long at) {}

  private final LinkLoop loop;
  private final EntryMember self;
  private final Map<String, LinkConnection> connections = new HashMap<>();
  private final Set<String> dialling = new HashSet<>();
  private final Map<Long, Asked> asked = new HashMap<>();
  private final Map<String, Counts> counts = new HashMap<>();
  private final Map<Integer, String> owners = new HashMap<>();
  private OwnerMap map = OwnerMap.getDefaultInstance();
  private long lastQuestion;

  EntryPeers(LinkLoop loop, EntryMember self) {
    this.loop = requireNonNull(loop, "loop");
    this.self = requireNonNull(self, "self");
  }

  /** Takes who owns what; returns whether it changed. */
  boolean owners(long generation, ImmutableList<Owner> newOwners) {
    Map<Integer, String> newMap = new HashMap<>();
    newOwners.forEach(owner -> newMap.put(owner.partition(), owner.member()));
    if (newMap.equals(owners)) {
      map = map.toBuilder().setGeneration(Math.max(generation, map.getGeneration())).build();
      return false;
    }
    owners.clear();
    owners.putAll(newMap);
    OwnerMap.Builder builder =
        OwnerMap.newBuilder().setGeneration(generation).setDigest(newMap.hashCode());
    newMap.forEach(
        (partition, member) ->
            builder.addOwners(
                PartitionOwner.newBuilder().setPartition(partition).setMember(member)));
    map = builder.build();
    dialAll();
    return true;
  }

  /** Returns who owns what, to be sent to side processes. */
  OwnerMap map() {
    return map;
  }

  /** Returns the member that owns the partition, or empty if nobody is known to. */
  Optional<String> owner(int partition) {
    return Optional.ofNullable(owners.get(partition));
  }

  private void dialAll() {
    Set<String> members = new HashSet<>(owners.values());
    members.remove(self.toString());
    for (String member : members) {
      EntryMember.parse(member).ifPresent(parsed -> dial(member, parsed));
    }
    for (String member : Set.copyOf(connections.keySet())) {
      if (!members.contains(member)) {
        connections.get(member).close("no owner any more");
      }
    }
  }

  private void dial(String member, EntryMember parsed) {
    if (connections.containsKey(member) || !dialling.add(member)) {
      return;
    }
    loop.dial(
        parsed.address(),
        new Link(member),
        cause -> {
          dialling.remove(member);
          LOG.debug(LogLine.of("entry-unreachable").with("member", member).with("cause", cause));
        });
  }

  /**
   * Asks the owner of the partition about a workflow.
   *
   * @param told runs on the loop; {@link QueryResult#CANNOT_TELL} if the owner is not reached
   */
  void ask(int partition, WorkflowQuery question, Consumer<QueryResult> told) {
    LinkConnection connection = owner(partition).map(connections::get).orElse(null);
    if (connection == null) {
      told.accept(QueryResult.CANNOT_TELL);
      return;
    }
    long id = ++lastQuestion;
    asked.put(id, new Asked(connection, told));
    connection.send(Frame.newBuilder().setWorkflowQuery(question.toBuilder().setId(id)).build());
    loop.schedule(() -> answered(id, QueryResult.CANNOT_TELL), QUESTION_NANOS);
  }

  private void answered(long id, QueryResult result) {
    Asked question = asked.remove(id);
    if (question != null) {
      question.told().accept(result);
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
    for (LinkConnection connection : Set.copyOf(connections.values())) {
      if (connection.unansweredNanos(now) > SILENCE_NANOS) {
        connection.close("silent");
        continue;
      }
      connection.send(frame);
      connection.send(ping);
    }
    counts.values().removeIf(count -> now - count.at() > COUNTS_NANOS);
    dialAll();
  }

  /** Takes what another entry told of itself. */
  void counted(WaitingCounts told) {
    Map<String, Integer> waiting = new HashMap<>();
    told.getQueuesList().forEach(queue -> waiting.put(queue.getQueue(), queue.getWaiting()));
    counts.put(told.getMember(), new Counts(waiting, loop.now()));
  }

  /** Returns how many workflows of the queue wait with the other entries. */
  int waitingElsewhere(String queue) {
    int sum = 0;
    for (Counts count : counts.values()) {
      sum += count.waiting().getOrDefault(queue, 0);
    }
    return sum;
  }

  /** A connection that this entry dialled. */
  private final class Link implements LinkListener {
    private final String member;

    Link(String member) {
      this.member = member;
    }

    @Override
    public void opened(LinkConnection connection) {
      dialling.remove(member);
      connections.put(member, connection);
      LOG.info(LogLine.of("entry-connected").with("member", member));
    }

    @Override
    public void received(LinkConnection connection, Frame frame) {
      if (frame.hasWorkflowQueryAnswer()) {
        answered(
            frame.getWorkflowQueryAnswer().getId(),
            QueryResult.forNumber(frame.getWorkflowQueryAnswer().getResult()));
      }
    }

    @Override
    public void closed(LinkConnection connection, String reason) {
      connections.remove(member, connection);
      LOG.info(LogLine.of("entry-disconnected").with("member", member).with("reason", reason));
      for (Map.Entry<Long, Asked> each : Map.copyOf(asked).entrySet()) {
        if (each.getValue().connection() == connection) {
          answered(each.getKey(), QueryResult.CANNOT_TELL);
        }
      }
    }
  }
}
