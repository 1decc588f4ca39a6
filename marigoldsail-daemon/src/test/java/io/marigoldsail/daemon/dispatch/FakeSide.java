package io.marigoldsail.daemon.dispatch;

import com.google.protobuf.ByteString;
import io.marigoldsail.daemon.link.Announcements;
import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.link.LinkListener;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.link.LinkServer;
import io.marigoldsail.daemon.link.SideLinks;
import io.marigoldsail.dispatch.TargetLoad;
import io.marigoldsail.dispatch.WireId;
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

/** A side process that is controlled by the test; it answers pings by itself. */
final class FakeSide implements AutoCloseable {
  /** A frame and the connection that it was received on. */
  record Heard(LinkConnection connection, Frame frame) {}

  private final String vm;
  private final long incarnation;
  private final LinkLoop loop;
  private final LinkServer server;
  private final BlockingQueue<Heard> heard = new LinkedBlockingQueue<>();
  private volatile LinkConnection silent;
  private FakePeer control;
  private volatile boolean leaving;
  private boolean closed;

  FakeSide(String vm, long incarnation, int port) throws IOException {
    this.vm = vm;
    this.incarnation = incarnation;
    this.loop = new LinkLoop(vm, MonotonicClock.system());
    this.server = new LinkServer(loop, new InetSocketAddress("127.0.0.1", port), 64, new Frames());
    server.start();
  }

  int port() {
    return server.port();
  }

  /** Announces the target to the entry, now and periodically from then on. */
  void announce(EntryUnderTest entry, boolean newLeaving) {
    leaving = newLeaving;
    if (control == null) {
      control = FakePeer.dial(loop, entry.address().getPort());
      loop.repeat(this::announce, SideLinks.ANNOUNCE_NANOS);
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
    control.send(Frame.newBuilder().setAnnounce(Announcements.write(announcement)).build());
  }

  /** Ignores all further frames on this connection, also pings. */
  void fallSilent(LinkConnection connection) {
    silent = connection;
  }

  /** Waits for the next frame other than a ping. */
  Heard next() throws InterruptedException {
    Heard next = heard.poll(30, TimeUnit.SECONDS);
    if (next == null) {
      throw new AssertionError("no frame received");
    }
    return next;
  }

  int unread() {
    return heard.size();
  }

  void send(LinkConnection connection, Frame frame) {
    loop.run(() -> connection.send(frame));
  }

  void closeConnection(LinkConnection connection) {
    loop.run(() -> connection.close("test"));
  }

  static WireId idOf(Frame request) {
    return SideFrames.id(request.getRequestStart().getId());
  }

  static Frame answer(WireId id, int status, String body) {
    return answer(id, status, body, body.length());
  }

  static Frame answer(WireId id, int status, String body, int length) {
    AnswerStart.Builder start =
        AnswerStart.newBuilder()
            .setId(SideFrames.message(id))
            .setStatus(status)
            .setData(ByteString.copyFromUtf8(body))
            .setBodyLength(length)
            .setLast(true)
            .setReport(TargetReport.newBuilder().setSlots(8).setEntries(1));
    return Frame.newBuilder().setAnswerStart(start).build();
  }

  static Frame notRun(WireId id, ErrorKind kind) {
    return SideFrames.notRun(id, kind, "test", 5, TargetReport.newBuilder().setEntries(1).build());
  }

  static Frame resolution(WireId id, Resolution.State state) {
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

  private final class Frames implements LinkListener {
    @Override
    public void opened(LinkConnection connection) {}

    @Override
    public void received(LinkConnection connection, Frame frame) {
      if (connection == silent) {
        return;
      }
      if (frame.hasPing()) {
        connection.send(SideFrames.pong(frame.getPing().getNonce()));
        return;
      }
      heard.add(new Heard(connection, frame));
    }

    @Override
    public void closed(LinkConnection connection, String reason) {}
  }
}
