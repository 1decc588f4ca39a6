package io.marigoldsail.daemon.frames;

import static com.google.common.base.Preconditions.checkArgument;

import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.protocol.VmReport;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Joins the parts of reports that {@link ReportParts} has divided, by connection. Confined to one
 * thread.
 */
public final class ReportJoiner {
  /** Maximum length of a report, in bytes; far more than that of a VM full of small runs. */
  static final int MAX_REPORT_BYTES = 4 << 20;

  private record Incomplete(VmReport.Builder report, long bytes) {}

  private final Map<LinkConnection, Incomplete> incomplete = new HashMap<>();

  /** Creates a joiner without parts. */
  public ReportJoiner() {}

  /**
   * Adds a part; returns the whole report if it was the last one.
   *
   * @throws IllegalArgumentException if the parts are longer than those of any VM
   */
  public Optional<VmReport> add(LinkConnection connection, VmReport part) {
    Incomplete before = incomplete.remove(connection);
    if (before == null && !part.getContinued()) {
      return Optional.of(part);
    }
    long bytes = part.getSerializedSize() + (before == null ? 0 : before.bytes());
    checkArgument(bytes <= MAX_REPORT_BYTES, "report is longer than %s bytes", MAX_REPORT_BYTES);
    VmReport.Builder joined = before == null ? VmReport.newBuilder() : before.report();
    joined.mergeFrom(part);
    if (part.getContinued()) {
      incomplete.put(connection, new Incomplete(joined, bytes));
      return Optional.empty();
    }
    return Optional.of(joined.clearContinued().build());
  }

  /** Forgets the parts of a connection that has ended. */
  public void disconnected(LinkConnection connection) {
    incomplete.remove(connection);
  }
}
