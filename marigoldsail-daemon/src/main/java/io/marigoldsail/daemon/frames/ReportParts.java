package io.marigoldsail.daemon.frames;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.MessageLite;
import io.marigoldsail.daemon.link.FrameLimit;
import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.VmReport;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * Divides the report of a VM into parts that fit into frames. All but the last announce that
 * another one follows, and hold lists alone beside the names of VM and worker: an entry that knows
 * no parts must not take them for the report of a VM without its worker. {@link ReportJoiner} joins
 * them. Stateless.
 */
public final class ReportParts {
  /** The maximum length of a part, in bytes. */
  static final int MAX_PART_BYTES = FrameLimit.MAX_BYTES - FrameLimit.OVERHEAD_BYTES;

  private ReportParts() {}

  /** Sends the report; only one that asks for a lease is responded to, and only its last part. */
  public static void send(LinkConnection connection, VmReport report) {
    for (VmReport part : divide(report)) {
      Frame frame = Frame.newBuilder().setVmReport(part).build();
      if (part.getWantsLease()) {
        connection.send(frame);
      } else {
        connection.sendOneWay(frame);
      }
    }
  }

  /** Returns the parts in the order in which they must be sent; one if the report fits. */
  static ImmutableList<VmReport> divide(VmReport report) {
    if (report.getSerializedSize() <= MAX_PART_BYTES) {
      return ImmutableList.of(report);
    }
    VmReport rest =
        report.toBuilder()
            .clearRuns()
            .clearEnds()
            .clearTextIdRuns()
            .clearTextIdEnds()
            .clearImages()
            .clearPairs()
            .build();
    Divider divider = new Divider(rest);
    divider.addAll(VmReport.RUNS_FIELD_NUMBER, report.getRunsList(), VmReport.Builder::addRuns);
    divider.addAll(VmReport.ENDS_FIELD_NUMBER, report.getEndsList(), VmReport.Builder::addEnds);
    divider.addAll(
        VmReport.TEXT_ID_RUNS_FIELD_NUMBER,
        report.getTextIdRunsList(),
        VmReport.Builder::addTextIdRuns);
    divider.addAll(
        VmReport.TEXT_ID_ENDS_FIELD_NUMBER,
        report.getTextIdEndsList(),
        VmReport.Builder::addTextIdEnds);
    divider.addAll(
        VmReport.IMAGES_FIELD_NUMBER, report.getImagesList(), VmReport.Builder::addImages);
    divider.addAll(VmReport.PAIRS_FIELD_NUMBER, report.getPairsList(), VmReport.Builder::addPairs);
    return divider.parts();
  }

  /** Fills one part after the other. */
  private static final class Divider {
    private final ImmutableList.Builder<VmReport> parts = ImmutableList.builder();
    private final VmReport rest;
    private VmReport.Builder part = VmReport.newBuilder();
    private int bytes;

    Divider(VmReport rest) {
      this.rest = rest;
      this.bytes = rest.getSerializedSize();
    }

    <T extends MessageLite> void addAll(
        int field, List<T> elements, BiConsumer<VmReport.Builder, T> adder) {
      for (T each : elements) {
        int size = CodedOutputStream.computeMessageSize(field, each);
        if (bytes + size > MAX_PART_BYTES) {
          parts.add(
              part.setVm(rest.getVm()).setWorker(rest.getWorker()).setContinued(true).build());
          part = VmReport.newBuilder();
          bytes = rest.getSerializedSize();
        }
        adder.accept(part, each);
        bytes += size;
      }
    }

    ImmutableList<VmReport> parts() {
      return parts.add(rest.toBuilder().mergeFrom(part.build()).build()).build();
    }
  }
}
