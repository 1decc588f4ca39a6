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
 * An entry's part in handing keys over: it passes a shard's keys on to the successor, and once that
 * one has them all lets the log move the shard.
 *
 * <p>Keeps nothing, so an entry killed in the middle leaves nothing behind: either the record
 * stands in the log, or the giver asks another entry. Runs on the loop.
 */
final class HandoverRelay {
  private static final long APPEND_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final LinkLoop loop;
  private final KeyShardTable table;
  private final KeyShardCoordinator.KeyLog log;
  private final EntryLinks links;
  private final Runnable moved;

  HandoverRelay(
      LinkLoop loop,
      KeyShardTable table,
      KeyShardCoordinator.KeyLog log,
      EntryLinks links,
      Runnable moved) {
    this.loop = requireNonNull(loop, "loop");
    this.table = requireNonNull(table, "table");
    this.log = requireNonNull(log, "log");
    this.links = requireNonNull(links, "links");
    this.moved = requireNonNull(moved, "moved");
  }

  /** Takes a frame of a side process. */
  void received(String vm, Frame frame) {
    switch (frame.getBodyCase()) {
      case KEY_HANDOVER -> forward(vm, frame.getKeyHandover());
      case KEY_HANDOVER_TAKEN -> shardTaken(vm, frame.getKeyHandoverTaken());
      default -> {
        // Side processes send nothing else about keys.
      }
    }
  }

  private void forward(String vm, KeyHandover frame) {
    HandedShard given = frame.getShard();
    Optional<Announcement> giver = links.members().member(vm);
    if (giver.isEmpty() || giver.get().processIncarnation() != given.getProcessIncarnation()) {
      return;
    }
    HandedShard shard = given.toBuilder().setVm(vm).setService(giver.get().service()).build();
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
    KeyHandover passed =
        frame.toBuilder()
            .setShard(shard)
            .setSuccessorIncarnation(successor.get().incarnation())
            .build();
    links.sendTo(successor.get().vm(), Frame.newBuilder().setKeyHandover(passed).build());
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
                      moved.run();
                      sendResult(shard, hasMoved(shard));
                    }));
  }

  private boolean isOwner(HandedShard shard) {
    return table
        .owner(shard.getService(), shard.getClaim().getShard())
        .filter(home -> home.vm().equals(shard.getVm()))
        .filter(home -> home.incarnation() == shard.getProcessIncarnation())
        .filter(home -> home.claim().equals(KeyedRequests.position(shard.getClaim())))
        .isPresent();
  }

  private boolean hasMoved(HandedShard shard) {
    Position given = KeyedRequests.position(shard.getClaim());
    return table
        .owner(shard.getService(), shard.getClaim().getShard())
        .filter(home -> home.claim().compareTo(given) > 0)
        .isPresent();
  }

  /** Tells the giver, in the words in which it named the shard. */
  private void sendResult(HandedShard shard, boolean hasMoved) {
    KeyHandoverResult result =
        KeyHandoverResult.newBuilder()
            .setShard(shard.toBuilder().clearVm().clearService())
            .setMoved(hasMoved)
            .build();
    links.sendTo(shard.getVm(), Frame.newBuilder().setKeyHandoverResult(result).build());
  }
}
