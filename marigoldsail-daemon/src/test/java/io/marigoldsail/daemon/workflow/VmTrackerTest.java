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
  private final WorkflowTestCluster world = new WorkflowTestCluster();
  private final LinkLoop loop = new LinkLoop("vm", MonotonicClock.system());

  @AfterEach
  void stop() {
    loop.close();
    world.close();
  }

  /** A connection of a side process, of which a test plays the part. */
  private final class ScriptedLink implements LinkListener {
    private final CompletableFuture<LinkConnection> opened = new CompletableFuture<>();
    private final AtomicInteger leases = new AtomicInteger();

    ScriptedLink(InetSocketAddress entry) {
      loop.dial(entry, this, opened::completeExceptionally);
    }

    /** Reports until a lease has come back that was not there before. */
    void awaitLease() {
      int before = leases.get();
      VmReport report =
          VmReport.newBuilder().setVm("vm-0").setWorker("life-1").setWantsLease(true).build();
      LinkConnection connection = opened.join();
      world.await(
          "a lease",
          () -> {
            loop.run(() -> connection.send(Frame.newBuilder().setVmReport(report).build()));
            return leases.get() > before;
          });
    }

    void close() {
      LinkConnection connection = opened.join();
      loop.run(() -> connection.close("told to close"));
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
   * A side process gave a slow connection up and dialled anew; what it had sent on the first was
   * read after what it sent on the second, and then the first ended. The entry passed over all
   * further reports of the VM, and gave its tasks no lease.
   */
  @Test
  void remainingConnectionIsUsedThoughAnotherWasReadLater() throws IOException {
    String address = world.addEntry().memberPrefix();
    int colon = address.indexOf(':');
    InetSocketAddress entry =
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    ScriptedLink left = new ScriptedLink(entry);
    left.awaitLease();
    ScriptedLink readLate = new ScriptedLink(entry);
    readLate.awaitLease();
    readLate.close();
    left.awaitLease();
  }
}
