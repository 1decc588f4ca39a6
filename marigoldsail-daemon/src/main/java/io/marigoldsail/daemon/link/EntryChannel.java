package io.marigoldsail.daemon.link;

import io.marigoldsail.protocol.Frame;
import java.util.Set;

/** Sends frames from a side process to the entries it is connected to. Thread-safe. */
public interface EntryChannel {
  /** Returns the number of entries with an established link; at least 1. */
  int entryCount();

  /** Returns the names of the entries with a link. */
  Set<String> peers();

  /** Sends a frame to the entry; does nothing if there is no link to it. */
  void sendTo(String entry, Frame frame);

  /**
   * Streams frames to the entry as fast as its connection accepts them; does nothing if there is no
   * link to it.
   */
  void sendAllTo(String entry, FrameStream frames);
}
