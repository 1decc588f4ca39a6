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
 * The test's end of a connection; sends and receives single frames. Acknowledges GOAWAY like an
 * entry, unless {@link #withholdGoAwayAck} was called.
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

  /** Makes GOAWAY frames visible to the test, which acknowledges them itself. */
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

  /** Acknowledges one more complete response with the next frame sent. */
  void acknowledgeResponse() {
    loop.run(connection.join()::countResponseRead);
  }

  /** Waits for the next frame. */
  Frame next() throws InterruptedException {
    Frame frame = frames.poll(30, TimeUnit.SECONDS);
    if (frame == null) {
      throw new AssertionError("no frame received");
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
