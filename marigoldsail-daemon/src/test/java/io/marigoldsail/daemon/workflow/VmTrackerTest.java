package io.marigoldsail.daemon.workflow;

import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.link.LinkListener;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.VmReport;
import io.marigoldsail.time.MonotonicClock;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class VmTrackerTest {
  private final WorkflowTestCluster cluster = new WorkflowTestCluster();
  private final LinkLoop loop = new LinkLoop("vm", MonotonicClock.system());

  @AfterEach
  void stop() {
    loop.close();
    cluster.close();
  }

  /** A connection of a side process that the test simulates. */
  private final class ScriptedLink implements LinkListener {
    private final CompletableFuture<LinkConnection> opened = new CompletableFuture<>();
    private final AtomicInteger leases = new AtomicInteger();

    ScriptedLink(InetSocketAddress entry) {
      loop.dial(entry, this, opened::completeExceptionally);
    }

    /** Sends reports until a new lease arrives. */
    void awaitLease() {
      int before = leases.get();
      VmReport report =
          VmReport.newBuilder()
              .setVm("vm-0")
              .setWorker("incarnation-1")
              .setWantsLease(true)
              .build();
      LinkConnection connection = opened.join();
      cluster.await(
          "a lease is granted",
          () -> {
            loop.run(() -> connection.send(Frame.newBuilder().setVmReport(report).build()));
            return leases.get() > before;
          });
    }

    void close() {
      LinkConnection connection = opened.join();
      loop.run(() -> connection.close("closed by the test"));
    }

    @Override
    public void opened(LinkConnection connection) {
      opened.complete(connection);
    }

    @Override
    public void received(LinkConnection connection, Frame frame) {
      if (frame.hasRunOrders() || frame.hasLeaseGrant()) {
        leases.incrementAndGet();
      }
    }

    @Override
    public void closed(LinkConnection connection, String reason) {}
  }

  /**
   * A side process abandoned a slow connection and dialled again. Its report on the first
   * connection was read after that on the second, and then the first connection ended. The entry
   * ignored all further reports of the VM and granted no lease.
   */
  @Test
  void remainingConnectionIsUsedThoughAnotherWasReadLater() throws IOException {
    String address = cluster.addEntry().memberPrefix();
    int colon = address.indexOf(':');
    InetSocketAddress entry =
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    ScriptedLink remaining = new ScriptedLink(entry);
    remaining.awaitLease();
    ScriptedLink readLate = new ScriptedLink(entry);
    readLate.awaitLease();
    readLate.close();
    remaining.awaitLease();
  }
}
