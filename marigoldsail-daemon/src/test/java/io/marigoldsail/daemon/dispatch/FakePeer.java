package io.marigoldsail.daemon.dispatch;

import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.link.LinkListener;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.protocol.Frame;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * One end of a connection, dialled by the test, which reads and sends frames one by one. Like an
 * entry it acknowledges by itself that the side process goes away, unless it is told not to.
 */
final class FakePeer implements LinkListener {
  private final LinkLoop loop;
  private final CompletableFuture<LinkConnection> connection = new CompletableFuture<>();
  private final BlockingQueue<Frame> frames = new LinkedBlockingQueue<>();
  private final CompletableFuture<String> closeReason = new CompletableFuture<>();
  private volatile boolean withholdsGoAwayAck;

  private FakePeer(LinkLoop loop) {
    this.loop = loop;
  }

  static FakePeer dial(LinkLoop loop, int port) {
    FakePeer peer = new FakePeer(loop);
    InetSocketAddress address = new InetSocketAddress("127.0.0.1", port);
    loop.dial(address, peer, peer.connection::completeExceptionally);
    peer.connection.join();
    return peer;
  }

  @Override
  public void opened(LinkConnection opened) {
    connection.complete(opened);
  }

  @Override
  public void received(LinkConnection from, Frame frame) {
    if (frame.hasGoAway() && !withholdsGoAwayAck) {
      from.send(EntryFrames.goAwayAck());
    } else {
      frames.add(frame);
    }
  }

  /** Leaves it to the test to read that the side process goes away, and to acknowledge it. */
  void withholdGoAwayAck() {
    withholdsGoAwayAck = true;
  }

  @Override
  public void closed(LinkConnection closed, String reason) {
    closeReason.complete(reason);
  }

  void send(Frame frame) {
    loop.run(() -> connection.join().send(frame));
  }

  /** Tells the other end with the next frame that one more whole answer was read. */
  void acknowledgeResponse() {
    loop.run(connection.join()::countResponseRead);
  }

  /** Waits for the next frame. */
  Frame next() throws InterruptedException {
    Frame frame = frames.poll(30, TimeUnit.SECONDS);
    if (frame == null) {
      throw new AssertionError("no frame came");
    }
    return frame;
  }

  /** Waits until the other end has closed the connection. */
  void awaitClosed() {
    closeReason.orTimeout(30, TimeUnit.SECONDS).join();
  }

  void close() {
    loop.run(() -> connection.join().close("test"));
    awaitClosed();
  }
}
