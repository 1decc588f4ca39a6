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
final class KeyGiver {
  private static final System.Logger LOG = System.getLogger(KeyGiver.class.getName());

  /** How long the hand-over may lengthen a planned stop. */
  static final long LIMIT_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** How long one entry may take: more than an append, little enough for two to be asked. */
  static final long ENTRY_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final LinkLoop loop;
  private final EntryChannel entries;
  private final CompletableFuture<Void> done = new CompletableFuture<>();
  private final Map<HandedShard, HandoverFrames.Shard> left = new HashMap<>();
  private final Set<HandedShard> awaited = new HashSet<>();
  private final int total;
  private Iterator<String> next;
  private String asked = "";
  private int round;
  private long giveUpAt;

  KeyGiver(LinkLoop loop, EntryChannel entries, List<HandoverFrames.Shard> shards) {
    this.loop = loop;
    this.entries = entries;
    shards.forEach(shard -> left.put(shard.handed(), shard));
    this.total = shards.size();
  }

  /** Begins; completed when all shards are moved, or nothing more can be done for those left. */
  CompletableFuture<Void> start() {
    giveUpAt = loop.now() + LIMIT_NANOS;
    next = entries.peers().iterator();
    askNext();
    return done;
  }

  /** Takes an entry's word about a shard. */
  void result(String entry, KeyHandoverResult result) {
    if (result.getMoved()) {
      left.remove(result.getShard());
    }
    boolean heard = result.getMoved() || entry.equals(asked);
    if (heard && awaited.remove(result.getShard()) && awaited.isEmpty()) {
      askNext();
    }
  }

  private void askNext() {
    round++;
    awaited.clear();
    long now = loop.now();
    if (left.isEmpty() || !next.hasNext() || giveUpAt - now <= 0) {
      end();
      return;
    }
    asked = next.next();
    awaited.addAll(left.keySet());
    entries.sendAllTo(asked, new HandoverFrames(List.copyOf(left.values()), now));
    int thisRound = round;
    loop.schedule(
        () -> {
          if (round == thisRound) {
            askNext();
          }
        },
        Math.min(ENTRY_NANOS, giveUpAt - now));
  }

  private void end() {
    if (total > 0 && !done.isDone()) {
      LOG.log(
          System.Logger.Level.INFO,
          "event=keys-handed-over shards={0} left={1}",
          total - left.size(),
          left.size());
    }
    done.complete(null);
  }
}
