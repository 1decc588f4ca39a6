package io.marigoldsail.daemon.dispatch;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.link.EntryLinks;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.dispatch.TargetState;
import io.marigoldsail.idempotency.KeyShardTable;
import io.marigoldsail.idempotency.ShardAssignment;
import io.marigoldsail.idempotency.ShardOwner;
import io.marigoldsail.log.Position;
import io.marigoldsail.membership.Announcement;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.HandedShard;
import io.marigoldsail.protocol.KeyHandover;
import io.marigoldsail.protocol.KeyHandoverResult;
import io.marigoldsail.protocol.KeyHandoverTaken;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Relays the handover of key shards in an entry: forwards a shard's keys to the successor and, once
 * the successor has all of them, appends the move of the shard to the log.
 *
 * <p>Stateless, so an entry that is killed in between leaves nothing to clean up: either the record
 * is in the log, or the sender tries another entry. Runs on the loop.
 */
final class HandoverRelay {
  private static final long APPEND_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final LinkLoop loop;
  private final KeyShardTable table;
  private final KeyShardCoordinator.KeyLog log;
  private final EntryLinks links;
  private final Runnable onMoved;

  HandoverRelay(
      LinkLoop loop,
      KeyShardTable table,
      KeyShardCoordinator.KeyLog log,
      EntryLinks links,
      Runnable onMoved) {
    this.loop = requireNonNull(loop, "loop");
    this.table = requireNonNull(table, "table");
    this.log = requireNonNull(log, "log");
    this.links = requireNonNull(links, "links");
    this.onMoved = requireNonNull(onMoved, "onMoved");
  }

  /** Handles a frame of a side process. */
  void received(String vm, Frame frame) {
    switch (frame.getBodyCase()) {
      case KEY_HANDOVER -> forward(vm, frame.getKeyHandover());
      case KEY_HANDOVER_TAKEN -> shardTaken(vm, frame.getKeyHandoverTaken());
      default -> {
        // Side processes send no other frames about keys.
      }
    }
  }

  private void forward(String vm, KeyHandover frame) {
    HandedShard received = frame.getShard();
    Optional<Announcement> sender = links.members().member(vm);
    if (sender.isEmpty() || sender.get().processIncarnation() != received.getProcessIncarnation()) {
      return;
    }
    HandedShard shard = received.toBuilder().setVm(vm).setService(sender.get().service()).build();
    if (!isOwner(shard)) {
      sendResult(shard, hasMoved(shard));
      return;
    }
    Optional<TargetState> successor =
        ShardAssignment.successor(
            shard.getService(), shard.getClaim().getShard(), vm, links.members().targets());
    if (successor.isEmpty()) {
      sendResult(shard, false);
      return;
    }
    KeyHandover forwarded =
        frame.toBuilder()
            .setShard(shard)
            .setSuccessorIncarnation(successor.get().incarnation())
            .build();
    links.sendTo(successor.get().vm(), Frame.newBuilder().setKeyHandover(forwarded).build());
  }

  private void shardTaken(String successor, KeyHandoverTaken taken) {
    HandedShard shard = taken.getShard();
    if (!taken.getTaken()) {
      sendResult(shard, false);
      return;
    }
    ShardOwner from =
        new ShardOwner(
            shard.getVm(),
            shard.getProcessIncarnation(),
            KeyedRequests.position(shard.getClaim()),
            0);
    log.append(
            KeyShardTable.HANDOVER,
            KeyShardTable.handover(
                shard.getService(),
                shard.getClaim().getShard(),
                from,
                successor,
                taken.getSuccessorIncarnation()),
            loop.now() + APPEND_TIMEOUT_NANOS)
        .thenAccept(
            result ->
                loop.run(
                    () -> {
                      onMoved.run();
                      sendResult(shard, hasMoved(shard));
                    }));
  }

  private boolean isOwner(HandedShard shard) {
    return table
        .owner(shard.getService(), shard.getClaim().getShard())
        .filter(owner -> owner.vm().equals(shard.getVm()))
        .filter(owner -> owner.incarnation() == shard.getProcessIncarnation())
        .filter(owner -> owner.claim().equals(KeyedRequests.position(shard.getClaim())))
        .isPresent();
  }

  private boolean hasMoved(HandedShard shard) {
    Position formerClaim = KeyedRequests.position(shard.getClaim());
    return table
        .owner(shard.getService(), shard.getClaim().getShard())
        .filter(owner -> owner.claim().compareTo(formerClaim) > 0)
        .isPresent();
  }

  /** Sends the result to the sender of the shard, with the shard id that the sender used. */
  private void sendResult(HandedShard shard, boolean hasMoved) {
    KeyHandoverResult result =
        KeyHandoverResult.newBuilder()
            .setShard(shard.toBuilder().clearVm().clearService())
            .setMoved(hasMoved)
            .build();
    links.sendTo(shard.getVm(), Frame.newBuilder().setKeyHandoverResult(result).build());
  }
}
