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
 * Gives the keys of a stopping side process to other homes, by way of one entry after another until
 * the log has moved every shard.
 *
 * <p>Begun only when this process runs nothing with a key any more and never will again. So however
 * often and by whichever entries a shard's keys are sent, they are the same and all there are, and
 * it does not matter which of several successors the log names. What is not moved in time is left
 * to the quiet time after this process's end. Confined to the loop's thread.
 */
final class ShardHandoverSender {
  private static final System.Logger LOG = System.getLogger(ShardHandoverSender.class.getName());

  /** How long the hand-over may lengthen a planned stop. */
  static final long HANDOVER_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** How long one entry may take: more than an append, little enough for two to be asked. */
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

  /** Begins; completed when all shards are moved, or nothing more can be done for those left. */
  CompletableFuture<Void> start() {
    deadline = loop.now() + HANDOVER_TIMEOUT_NANOS;
    entriesToTry = entries.peers().iterator();
    sendToNextEntry();
    return done;
  }

  /** Takes an entry's word about a shard. */
  void resultReceived(String entry, KeyHandoverResult result) {
    if (result.getMoved()) {
      remaining.remove(result.getShard());
    }
    boolean heard = result.getMoved() || entry.equals(currentEntry);
    if (heard && awaitingResult.remove(result.getShard()) && awaitingResult.isEmpty()) {
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
    int thisRound = round;
    loop.schedule(
        () -> {
          if (round == thisRound) {
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
