package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.daemon.frames.PendingOrders;
import io.marigoldsail.daemon.link.FakeLinks;
import io.marigoldsail.protocol.ImageSeen;
import io.marigoldsail.protocol.LeaseGrant;
import io.marigoldsail.protocol.PairSeen;
import io.marigoldsail.protocol.ServiceRoom;
import io.marigoldsail.protocol.VmReport;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class InterferenceExchangeTest {
  private static final int VMS = 40;
  private static final int IMAGES = 100;

  private final VirtualLoop time = new VirtualLoop();
  private final InterferenceExchange exchange = new InterferenceExchange(new FleetStatistics());

  private static String image(int vm, int number) {
    return "images.example/" + "d".repeat(100) + "/" + vm + "-" + number;
  }

  private LeaseGrant grantTo(VmReport report) {
    VmSession session = new VmSession(FakeLinks.withoutPeer(time.loop()), report, 0);
    return exchange.evidenceFor(session, TimeUnit.SECONDS.toNanos(10));
  }

  /** Guards against a lease that no frame holds, as VMs have seen many images. */
  @Test
  void evidenceForAVmFitsIntoItsLeaseAndTheBestOfItComesFirst() {
    for (int vm = 0; vm < VMS; vm++) {
      VmReport.Builder report = VmReport.newBuilder().setVm("vm-" + vm);
      for (int number = 0; number < IMAGES; number++) {
        int weight = vm == 7 && number == 3 ? 12 : 1;
        report.addImages(
            ImageSeen.newBuilder().setImage(image(vm, number)).setBlame(1).setWeight(weight));
        report.addPairs(
            PairSeen.newBuilder()
                .setBestEffort(image(vm, number))
                .setService("service")
                .setWork(weight / 100f)
                .setEffect(0.1f));
      }
      exchange.record(report.build(), TimeUnit.SECONDS.toNanos(vm));
    }
    LeaseGrant images = grantTo(VmReport.newBuilder().setVm("vm-new").build());
    assertTrue(images.getSerializedSize() <= PendingOrders.MAX_LEASE_BYTES);
    assertTrue(images.getImagesCount() > IMAGES);
    assertEquals(image(7, 3), images.getImages(0).getImage());
    ServiceRoom room = ServiceRoom.newBuilder().setImage("service").setHeadroom(1).build();
    LeaseGrant pairs = grantTo(VmReport.newBuilder().setVm("vm-new").addServiceRooms(room).build());
    assertTrue(pairs.getSerializedSize() <= PendingOrders.MAX_LEASE_BYTES);
    assertTrue(pairs.getPairsCount() > IMAGES);
    assertEquals(image(7, 3), pairs.getPairs(0).getBestEffort());
  }
}
