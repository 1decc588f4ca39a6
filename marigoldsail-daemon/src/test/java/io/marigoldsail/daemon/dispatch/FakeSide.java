package io.marigoldsail.daemon.dispatch;

import com.google.protobuf.ByteString;
import io.marigoldsail.daemon.link.AnnouncementCodec;
import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.link.LinkListener;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.link.LinkServer;
import io.marigoldsail.daemon.link.SideLinks;
import io.marigoldsail.dispatch.AttemptId;
import io.marigoldsail.dispatch.TargetLoad;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.membership.Announcement;
import io.marigoldsail.protocol.AnswerStart;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.Resolution;
import io.marigoldsail.protocol.TargetReport;
import io.marigoldsail.time.MonotonicClock;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A side process that says what the test tells it to; it answers pings by itself. */
final class FakeSide implements AutoCloseable {
  /** A frame and the connection it came on. */
  record ReceivedFrame(LinkConnection connection, Frame frame) {}

  private final String vm;
  private final long incarnation;
  private final LinkLoop loop;
  private final LinkServer server;
  private final BlockingQueue<ReceivedFrame> receivedFrames = new LinkedBlockingQueue<>();
  private volatile LinkConnection unresponsive;
  private FakePeer control;
  private volatile boolean leaving;
  private boolean closed;

  FakeSide(String vm, long incarnation, int port) throws IOException {
    this.vm = vm;
    this.incarnation = incarnation;
    this.loop = new LinkLoop(vm, MonotonicClock.system());
    this.server =
        new LinkServer(loop, new InetSocketAddress("127.0.0.1", port), 64, new FrameRecorder());
    server.start();
  }

  int port() {
    return server.port();
  }

  /** Announces the target to the entry, now and again and again. */
  void announce(EntryUnderTest entry, boolean newLeaving) {
    leaving = newLeaving;
    if (control == null) {
      control = FakePeer.dial(loop, entry.address().getPort());
      loop.repeat(this::announce, SideLinks.ANNOUNCE_PERIOD_NANOS);
    }
    announce();
  }

  private void announce() {
    Announcement announcement =
        new Announcement(
            vm,
            incarnation,
            "suva",
            "r1",
            "127.0.0.1:" + port(),
            "",
            "parking",
            8,
            leaving,
            new TargetLoad(0, 0, 1, leaving),
            0);
    control.send(Frame.newBuilder().setAnnounce(AnnouncementCodec.encode(announcement)).build());
  }

  /** Reads on but answers nothing on this connection any more, not even pings. */
  void stopResponding(LinkConnection connection) {
    unresponsive = connection;
  }

  /** Waits for the next frame other than a ping. */
  ReceivedFrame next() throws InterruptedException {
    ReceivedFrame next = receivedFrames.poll(30, TimeUnit.SECONDS);
    if (next == null) {
      throw new AssertionError("no frame came");
    }
    return next;
  }

  int unreadCount() {
    return receivedFrames.size();
  }

  void send(LinkConnection connection, Frame frame) {
    loop.run(() -> connection.send(frame));
  }

  void closeConnection(LinkConnection connection) {
    loop.run(() -> connection.close("test"));
  }

  static AttemptId idOf(Frame request) {
    return SideFrames.fromMessage(request.getRequestStart().getId());
  }

  static Frame response(AttemptId id, int status, String body) {
    return response(id, status, body, body.length());
  }

  static Frame response(AttemptId id, int status, String body, int length) {
    AnswerStart.Builder answer =
        AnswerStart.newBuilder()
            .setId(SideFrames.toMessage(id))
            .setStatus(status)
            .setData(ByteString.copyFromUtf8(body))
            .setBodyLength(length)
            .setLast(true)
            .setReport(TargetReport.newBuilder().setSlots(8).setEntries(1));
    return Frame.newBuilder().setAnswerStart(answer).build();
  }

  static Frame notRun(AttemptId id, ErrorKind kind) {
    return SideFrames.notRun(id, kind, "test", 5, TargetReport.newBuilder().setEntries(1).build());
  }

  static Frame resolution(AttemptId id, Resolution.State state) {
    return SideFrames.resolution(id, state);
  }

  @Override
  public void close() {
    if (!closed) {
      closed = true;
      server.close();
      loop.close();
    }
  }

  private final class FrameRecorder implements LinkListener {
    @Override
    public void opened(LinkConnection connection) {}

    @Override
    public void received(LinkConnection connection, Frame frame) {
      if (connection == unresponsive) {
        return;
      }
      if (frame.hasPing()) {
        connection.send(SideFrames.pong(frame.getPing().getNonce()));
        return;
      }
      receivedFrames.add(new ReceivedFrame(connection, frame));
    }

    @Override
    public void closed(LinkConnection connection, String reason) {}
  }
}
