package io.marigoldsail.daemon.workflow;

import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.link.LinkListener;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.link.LinkServer;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.VmReport;
import io.marigoldsail.protocol.WorkflowQuery;
import io.marigoldsail.time.MonotonicClock;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * An entry that a test controls: it collects reports and sends the frames that the test gives it.
 */
final class ScriptedEntry implements AutoCloseable {
  private final LinkLoop loop = new LinkLoop("scripted-entry", MonotonicClock.system());
  private final LinkServer server;
  private final BlockingQueue<LinkConnection> connections = new LinkedBlockingQueue<>();
  private final BlockingQueue<VmReport> reports = new LinkedBlockingQueue<>();
  private final BlockingQueue<WorkflowQuery> queries = new LinkedBlockingQueue<>();

  ScriptedEntry() throws IOException {
    server = new LinkServer(loop, new InetSocketAddress("127.0.0.1", 0), 10, new Incoming());
    server.start();
  }

  /** Returns the entry's member name, as used in owner maps. */
  String member() {
    return new EntryMember("127.0.0.1", server.port(), 1).toString();
  }

  /** Waits for the next connection. */
  LinkConnection awaitConnection() throws InterruptedException {
    return connections.take();
  }

  /** Returns whether there was a connection that the test has not awaited. */
  boolean hasFurtherConnection() {
    return !connections.isEmpty();
  }

  /** Waits for the next report. */
  VmReport awaitReport() throws InterruptedException {
    return reports.take();
  }

  /** Waits for the next query. */
  WorkflowQuery awaitQuery() throws InterruptedException {
    return queries.take();
  }

  /** Returns whether there was a query that the test has not awaited. */
  boolean hasFurtherQuery() {
    return !queries.isEmpty();
  }

  void send(LinkConnection connection, Frame frame) {
    loop.run(() -> connection.send(frame));
  }

  @Override
  public void close() {
    server.close();
    loop.close();
  }

  private final class Incoming implements LinkListener {
    @Override
    public void opened(LinkConnection connection) {
      connections.add(connection);
    }

    @Override
    public void received(LinkConnection connection, Frame frame) {
      if (frame.hasVmReport()) {
        reports.add(frame.getVmReport());
      } else if (frame.hasWorkflowQuery()) {
        queries.add(frame.getWorkflowQuery());
      }
    }

    @Override
    public void closed(LinkConnection connection, String reason) {}
  }
}
