package io.marigoldsail.daemon.dispatch;

import io.marigoldsail.daemon.link.EntryChannel;
import io.marigoldsail.daemon.link.KeyFrameListener;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.KeyHandover;
import io.marigoldsail.protocol.KeyHandoverResult;
import io.marigoldsail.protocol.KeyHandoverTaken;
import java.util.function.BooleanSupplier;

/**
 * What a side process and entries tell each other about keys: evidence that it holds shards, keys
 * that it takes over, and keys that it gives away at its planned stop.
 *
 * <p>Confined to the loop's thread, but for {@link #received}.
 */
final class KeyFrameHandler implements KeyFrameListener {
  private final LinkLoop loop;
  private final long processIncarnation;
  private final EntryChannel entries;
  private final KeyedRequests keys;
  private final BooleanSupplier leaving;
  private ShardHandoverSender handoverSender;
  private boolean handedOver;

  KeyFrameHandler(
      LinkLoop loop,
      long processIncarnation,
      EntryChannel entries,
      KeyedRequests keys,
      BooleanSupplier leaving) {
    this.loop = loop;
    this.processIncarnation = processIncarnation;
    this.entries = entries;
    this.keys = keys;
    this.leaving = leaving;
  }

  /** Takes a frame of an entry; may be called from any thread. */
  @Override
  public void received(String entry, Frame frame) {
    loop.run(
        () -> {
          switch (frame.getBodyCase()) {
            case KEY_LEASES -> keys.leasesConfirmed(frame.getKeyLeases());
            case KEY_HANDOVER -> acceptHandover(entry, frame.getKeyHandover());
            case KEY_HANDOVER_RESULT -> handoverResult(entry, frame.getKeyHandoverResult());
            default -> {
              // Entries send nothing else about keys.
            }
          }
        });
  }

  /**
   * Begins to give all keys away, the first time only.
   *
   * <p>To be called once nothing with a key runs here or will again.
   *
   * @param done run when {@link #isHandedOver} has become true
   */
  void handOver(Runnable done) {
    if (handoverSender != null) {
      return;
    }
    handoverSender = new ShardHandoverSender(loop, entries, keys.shardsToHandOver());
    handoverSender
        .start()
        .thenRun(
            () -> {
              handedOver = true;
              done.run();
            });
  }

  /** Returns whether the keys were given away, as far as that could be done. */
  boolean isHandedOver() {
    return handedOver;
  }

  private void acceptHandover(String entry, KeyHandover frame) {
    if (frame.getSuccessorIncarnation() != processIncarnation) {
      return;
    }
    keys.acceptHandover(frame, leaving.getAsBoolean())
        .ifPresent(taken -> entries.sendTo(entry, takenFrame(frame, taken)));
  }

  private Frame takenFrame(KeyHandover frame, boolean taken) {
    KeyHandoverTaken.Builder answer =
        KeyHandoverTaken.newBuilder()
            .setShard(frame.getShard())
            .setSuccessorIncarnation(processIncarnation)
            .setTaken(taken);
    return Frame.newBuilder().setKeyHandoverTaken(answer).build();
  }

  private void handoverResult(String entry, KeyHandoverResult result) {
    if (handoverSender != null) {
      handoverSender.resultReceived(entry, result);
    }
  }
}
