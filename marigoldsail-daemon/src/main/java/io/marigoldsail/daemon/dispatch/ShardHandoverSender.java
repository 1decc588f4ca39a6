package io.marigoldsail.daemon.dispatch;

import io.marigoldsail.daemon.link.EntryChannel;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.protocol.HandedShard;
import io.marigoldsail.protocol.KeyHandoverResult;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Hands the shards of a stopping side process over to other owners, through one entry after another
 * until the log has moved every shard.
 *
 * <p>Started only when this process runs no keyed request and never will again. The keys of a shard
 * are therefore complete and the same however often and through whichever entries they are sent,
 * and any successor that the log names is correct. Shards that are not moved in time are served
 * again only after the takeover delay that follows this process's end. Confined to the loop's
 * thread.
 */
final class ShardHandoverSender {
  private static final System.Logger LOG = System.getLogger(ShardHandoverSender.class.getName());

  /** How long the handover may delay a planned stop. */
  static final long HANDOVER_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Time limit for one entry: longer than an append, and short enough to try two entries. */
  static final long ENTRY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final LinkLoop loop;
  private final EntryChannel entries;
  private final CompletableFuture<Void> done = new CompletableFuture<>();
  private final Map<HandedShard, HandoverFrames.Shard> remaining = new HashMap<>();
  private final Set<HandedShard> awaitingResult = new HashSet<>();
  private final int totalShards;
  private Iterator<String> entriesToTry;
  private String currentEntry = "";
  private int round;
  private long deadline;

  ShardHandoverSender(LinkLoop loop, EntryChannel entries, List<HandoverFrames.Shard> shards) {
    this.loop = loop;
    this.entries = entries;
    shards.forEach(shard -> remaining.put(shard.shardId(), shard));
    this.totalShards = shards.size();
  }

  /** Starts the handover; completed when all shards are moved, entries run out or time is up. */
  CompletableFuture<Void> start() {
    deadline = loop.now() + HANDOVER_TIMEOUT_NANOS;
    entriesToTry = entries.peers().iterator();
    sendToNextEntry();
    return done;
  }

  /** Handles an entry's result for a shard. */
  void resultReceived(String entry, KeyHandoverResult result) {
    if (result.getMoved()) {
      remaining.remove(result.getShard());
    }
    boolean conclusive = result.getMoved() || entry.equals(currentEntry);
    if (conclusive && awaitingResult.remove(result.getShard()) && awaitingResult.isEmpty()) {
      sendToNextEntry();
    }
  }

  private void sendToNextEntry() {
    round++;
    awaitingResult.clear();
    long now = loop.now();
    if (remaining.isEmpty() || !entriesToTry.hasNext() || deadline - now <= 0) {
      finish();
      return;
    }
    currentEntry = entriesToTry.next();
    awaitingResult.addAll(remaining.keySet());
    entries.sendAllTo(currentEntry, new HandoverFrames(List.copyOf(remaining.values()), now));
    int currentRound = round;
    loop.schedule(
        () -> {
          if (round == currentRound) {
            sendToNextEntry();
          }
        },
        Math.min(ENTRY_TIMEOUT_NANOS, deadline - now));
  }

  private void finish() {
    if (totalShards > 0 && !done.isDone()) {
      LOG.log(
          System.Logger.Level.INFO,
          "event=keys-handed-over shards={0} left={1}",
          totalShards - remaining.size(),
          remaining.size());
    }
    done.complete(null);
  }
}
