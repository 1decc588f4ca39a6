package io.marigoldsail.daemon.dispatch;

import io.marigoldsail.daemon.link.EntryChannel;
import io.marigoldsail.daemon.link.KeyListener;
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
final class KeyExchange implements KeyListener {
  private final LinkLoop loop;
  private final long processIncarnation;
  private final EntryChannel entries;
  private final SideKeys keys;
  private final BooleanSupplier leaving;
  private KeyGiver giver;
  private boolean given;

  KeyExchange(
      LinkLoop loop,
      long processIncarnation,
      EntryChannel entries,
      SideKeys keys,
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
            case KEY_LEASES -> keys.vouched(frame.getKeyLeases());
            case KEY_HANDOVER -> take(entry, frame.getKeyHandover());
            case KEY_HANDOVER_RESULT -> result(entry, frame.getKeyHandoverResult());
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
   * @param done run when {@link #isGiven} has become true
   */
  void give(Runnable done) {
    if (giver != null) {
      return;
    }
    giver = new KeyGiver(loop, entries, keys.shardsToGive());
    giver
        .start()
        .thenRun(
            () -> {
              given = true;
              done.run();
            });
  }

  /** Returns whether the keys were given away, as far as that could be done. */
  boolean isGiven() {
    return given;
  }

  private void take(String entry, KeyHandover frame) {
    if (frame.getSuccessorIncarnation() != processIncarnation) {
      return;
    }
    keys.take(frame, leaving.getAsBoolean())
        .ifPresent(taken -> entries.sendTo(entry, answer(frame, taken)));
  }

  private Frame answer(KeyHandover frame, boolean taken) {
    KeyHandoverTaken.Builder answer =
        KeyHandoverTaken.newBuilder()
            .setShard(frame.getShard())
            .setSuccessorIncarnation(processIncarnation)
            .setTaken(taken);
    return Frame.newBuilder().setKeyHandoverTaken(answer).build();
  }

  private void result(String entry, KeyHandoverResult result) {
    if (giver != null) {
      giver.result(entry, result);
    }
  }
}
