package io.marigoldsail.daemon.link;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.marigoldsail.protocol.Frame;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class LinkConnectionTest {
  private static final Frame FRAME = Frame.getDefaultInstance();

  private final AtomicLong clock = new AtomicLong();
  private final LinkLoop loop = new LinkLoop("connection", clock::get);
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final LinkConnection connection = new LinkConnection(channel, loop);

  @AfterEach
  void stop() {
    channel.close();
    loop.close();
  }

  @Test
  void sentFrameIsUnansweredUntilFrameIsReceived() {
    connection.send(FRAME);
    clock.set(5);
    assertEquals(5, connection.unansweredNanos(clock.get()));
    connection.frameReceived(clock.get());
    assertEquals(0, connection.unansweredNanos(clock.get()));
  }

  /**
   * A sound connection on which news went out between two questions was closed as silent, and the
   * peer had no room there until it was dialled anew.
   */
  @Test
  void oneWayFrameDoesNotStartSilenceTimer() {
    connection.sendOneWay(FRAME);
    clock.set(5);
    assertEquals(0, connection.unansweredNanos(clock.get()));
    connection.send(FRAME);
    clock.set(9);
    assertEquals(4, connection.unansweredNanos(clock.get()));
  }
}
