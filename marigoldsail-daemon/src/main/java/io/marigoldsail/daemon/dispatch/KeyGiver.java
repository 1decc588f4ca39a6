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
 * are therefore complete and the same however often and through whichever entries they are sent, and
 * any successor that the log names is correct. Shards that are not moved in time are quarantined
 * after this process has ended. Confined to the loop's thread.
 */
final class KeyGiver {
  private static final System.Logger LOG = System.getLogger(KeyGiver.class.getName());

  /** How long the handover may delay a planned stop. */
  static final long LIMIT_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Time limit for one entry: longer than an append, and short enough to try two entries. */
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

  /** Starts the handover; completed when all shards are moved, entries run out or time is up. */
  CompletableFuture<Void> start() {
    giveUpAt = loop.now() + LIMIT_NANOS;
    next = entries.peers().iterator();
    askNext();
    return done;
  }

  /** Handles an entry's result for a shard. */
  void result(String entry, KeyHandoverResult result) {
    if (result.getMoved()) {
      left.remove(result.getShard());
    }
    boolean conclusive = result.getMoved() || entry.equals(asked);
    if (conclusive && awaited.remove(result.getShard()) && awaited.isEmpty()) {
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
    int currentRound = round;
    loop.schedule(
        () -> {
          if (round == currentRound) {
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
