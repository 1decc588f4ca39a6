package io.marigoldsail.daemon.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.VmReport;
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
   * A one-way frame must not start the silence timer: a healthy connection would be closed as
   * unresponsive, and the peer would have no capacity until it is dialled again.
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

  private static Frame frameOf(int bodyBytes) {
    return Frame.newBuilder()
        .setVmReport(VmReport.newBuilder().setVm("v".repeat(bodyBytes)))
        .build();
  }

  /**
   * Guards against a frame over which the peer closes the connection, at each connection anew. One
   * byte below the limit, at it, and one above.
   */
  @Test
  void frameOverTheLimitIsNotSent() {
    connection.sendOneWay(frameOf(150_000));
    Frame sent = channel.readOutbound();
    int others = sent.getSerializedSize() - 150_000;
    for (int extra = -1; extra <= 1; extra++) {
      connection.send(frameOf(FrameLimit.MAX_BYTES - others + extra));
      Frame next = channel.readOutbound();
      if (extra <= 0) {
        assertEquals(FrameLimit.MAX_BYTES + extra, next.getSerializedSize());
      } else {
        assertNull(next);
      }
    }
    assertTrue(connection.isOpen());
  }
}
