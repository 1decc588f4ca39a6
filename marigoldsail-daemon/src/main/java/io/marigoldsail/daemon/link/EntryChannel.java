package io.marigoldsail.daemon.link;

import io.marigoldsail.protocol.Frame;
import java.util.Set;

/** A side process's way to the entries that hear it. Safe for any thread. */
public interface EntryChannel {
  /** Returns how many entries are known to hear this process; at least 1. */
  int entryCount();

  /** Returns the names of the entries that there is a link to. */
  Set<String> peers();

  /** Sends a frame to the entry; without effect where there is no link to it. */
  void sendTo(String entry, Frame frame);

  /** Sends frames to the entry one by one while it takes them. */
  void sendAllTo(String entry, FrameStream frames);
}
