package io.marigoldsail.daemon.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.marigoldsail.protocol.Frame;
import io.marigoldsail.time.MonotonicClock;
import io.marigoldsail.time.WallClock;
import io.marigoldsail.timeline.HybridClock;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.UnknownHostException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(40)
class HostResolverTest {
  private final CountDownLatch slow = new CountDownLatch(1);
  private final BlockingQueue<Object> events = new LinkedBlockingQueue<>();
  private final LinkLoop loop =
      new LinkLoop(
          new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()),
          MonotonicClock.system(),
          new HybridClock(WallClock.system()),
          new HostResolver(this::addressOf));

  private InetAddress addressOf(String host) throws UnknownHostException {
    if (host.equals("slow")) {
      try {
        slow.await();
      } catch (InterruptedException e) {
        throw new UnknownHostException("interrupted");
      }
    }
    if (host.equals("entry")) {
      return InetAddress.getLoopbackAddress();
    }
    throw new UnknownHostException(host);
  }

  @AfterEach
  void stop() {
    slow.countDown();
    loop.close();
  }

  private void dial(String host, int port) {
    loop.dial(InetSocketAddress.createUnresolved(host, port), new Events(), events::add);
  }

  /** Guards against a loop that blocks while a name that another program chose is looked up. */
  @Test
  void slowLookUpDelaysNoOtherConnection() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      dial("slow", 1);
      dial("entry", server.getLocalPort());
      assertInstanceOf(LinkConnection.class, events.take());
      slow.countDown();
      assertEquals(UnknownHostException.class, events.take().getClass());
    }
  }

  @Test
  void hostWithoutAddressIsReportedAsFailure() throws Exception {
    dial("unknown", 1);
    assertEquals(UnknownHostException.class, events.take().getClass());
  }

  private final class Events implements LinkListener {
    @Override
    public void opened(LinkConnection connection) {
      events.add(connection);
    }

    @Override
    public void received(LinkConnection connection, Frame frame) {}

    @Override
    public void closed(LinkConnection connection, String reason) {}
  }
}
