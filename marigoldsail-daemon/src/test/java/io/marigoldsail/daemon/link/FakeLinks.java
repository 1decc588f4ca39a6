package io.marigoldsail.daemon.link;

import io.netty.channel.embedded.EmbeddedChannel;

/** Connections for tests on virtual time. */
public final class FakeLinks {
  private FakeLinks() {}

  /** Returns an open connection without a peer. */
  public static LinkConnection withoutPeer(LinkLoop loop) {
    return new LinkConnection(new EmbeddedChannel(), loop);
  }
}
