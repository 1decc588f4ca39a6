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
 * Handles the frames that a side process exchanges with entries about idempotency keys: lease
 * confirmations, shards that are handed over to it, and its own shards, which it hands over at its
 * planned stop.
 *
 * <p>Confined to the loop's thread, but for {@link #received}.
 */
final class KeyFrameHandler implements KeyFrameListener {
  private final LinkLoop loop;
  private final long processIncarnation;
  private final EntryChannel entries;
  private final KeyedRequests keyedRequests;
  private final BooleanSupplier draining;
  private ShardHandoverSender handoverSender;
  private boolean handedOver;

  KeyFrameHandler(
      LinkLoop loop,
      long processIncarnation,
      EntryChannel entries,
      KeyedRequests keyedRequests,
      BooleanSupplier draining) {
    this.loop = loop;
    this.processIncarnation = processIncarnation;
    this.entries = entries;
    this.keyedRequests = keyedRequests;
    this.draining = draining;
  }

  /** Handles a frame of an entry; may be called from any thread. */
  @Override
  public void received(String entry, Frame frame) {
    loop.run(
        () -> {
          switch (frame.getBodyCase()) {
            case KEY_LEASES -> keyedRequests.leasesConfirmed(frame.getKeyLeases());
            case KEY_HANDOVER -> acceptHandover(entry, frame.getKeyHandover());
            case KEY_HANDOVER_RESULT -> handoverResult(entry, frame.getKeyHandoverResult());
            default -> {
              // Entries send no other frames about keys.
            }
          }
        });
  }

  /**
   * Starts to hand over all shards; later calls have no effect.
   *
   * <p>To be called once no keyed request runs here or will run again.
   *
   * @param done run when {@link #isHandedOver} has become true
   */
  void handOver(Runnable done) {
    if (handoverSender != null) {
      return;
    }
    handoverSender = new ShardHandoverSender(loop, entries, keyedRequests.shardsToHandOver());
    handoverSender
        .start()
        .thenRun(
            () -> {
              handedOver = true;
              done.run();
            });
  }

  /** Returns whether the handover has ended; shards that could not be moved in time are skipped. */
  boolean isHandedOver() {
    return handedOver;
  }

  private void acceptHandover(String entry, KeyHandover frame) {
    if (frame.getSuccessorIncarnation() != processIncarnation) {
      return;
    }
    keyedRequests
        .acceptHandover(frame, draining.getAsBoolean())
        .ifPresent(taken -> entries.sendTo(entry, takenFrame(frame, taken)));
  }

  private Frame takenFrame(KeyHandover frame, boolean taken) {
    KeyHandoverTaken.Builder result =
        KeyHandoverTaken.newBuilder()
            .setShard(frame.getShard())
            .setSuccessorIncarnation(processIncarnation)
            .setTaken(taken);
    return Frame.newBuilder().setKeyHandoverTaken(result).build();
  }

  private void handoverResult(String entry, KeyHandoverResult result) {
    if (handoverSender != null) {
      handoverSender.resultReceived(entry, result);
    }
  }
}
