package io.marigoldsail.daemon.workflow;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.LeaseGrant;
import io.marigoldsail.protocol.RunOrders;
import io.marigoldsail.protocol.RunReport;
import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.protocol.VmReport;
import io.marigoldsail.protocol.WorkflowTaskId;
import io.marigoldsail.workflow.Place;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.VmOffer;
import io.marigoldsail.workflow.WorkflowSpec;
import io.marigoldsail.workflow.WorkflowTask;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * One connection from a side process: its last report, and the orders that wait to be sent.
 *
 * <p>Orders of one turn of the loop travel in one frame, numbered, so that a report tells which of
 * them it takes into account. Confined to the loop's thread.
 */
final class VmSession {
  private final LinkConnection connection;
  private VmReport report;
  private long reportedAt;
  private ImmutableSet<String> labels = ImmutableSet.of();
  private ImmutableMap<RunKey, RunReport> runs = ImmutableMap.of();
  private RunOrders.Builder orders = RunOrders.newBuilder();
  private final Set<Long> workflowsInFrame = new HashSet<>();
  private long lastFrameNumber;
  private boolean ordersPending;

  VmSession(LinkConnection connection, VmReport first, long now) {
    this.connection = connection;
    update(first, now);
  }

  /**
   * Takes a report.
   *
   * <p>Guards against a run in two places: orders wait until the end of a turn and go out under the
   * life that was reported last. What waits for the life before would start on the next one, after
   * its owner has counted it as over.
   */
  void update(VmReport newest, long now) {
    if (report != null && !report.getWorker().equals(newest.getWorker())) {
      dropPending();
    }
    if (report == null || !report.getLabelsList().equals(newest.getLabelsList())) {
      labels = ImmutableSet.copyOf(newest.getLabelsList());
    }
    ImmutableMap.Builder<RunKey, RunReport> named = ImmutableMap.builder();
    newest.getRunsList().forEach(run -> named.put(WorkflowCodec.decode(run.getTask()), run));
    runs = named.buildKeepingLast();
    report = newest;
    reportedAt = now;
  }

  LinkConnection connection() {
    return connection;
  }

  VmReport report() {
    return report;
  }

  /** Returns when the last report was read, in the loop's nanoseconds. */
  long reportedAt() {
    return reportedAt;
  }

  String vm() {
    return report.getVm();
  }

  /** Returns what the last report says of the run, or empty if it does not name it. */
  Optional<RunReport> run(RunKey key) {
    return Optional.ofNullable(runs.get(key));
  }

  /**
   * Returns whether the last report has runs of which only their owners know what they need.
   *
   * <p>Its side process refuses all others until it is told, so they are not offered to it. Guards
   * against orders in vain after a restart of all processes, when each VM looks empty at first.
   */
  boolean hasRunsOfUnknownSize() {
    return report.getRunsList().stream().anyMatch(RunReport::getSizeUnknown);
  }

  ImmutableSet<String> labels() {
    return labels;
  }

  /** Returns the VM with its worker's life, or empty while it has none. */
  Optional<Place> place() {
    return report.getWorker().isEmpty()
        ? Optional.empty()
        : Optional.of(new Place(report.getVm(), report.getWorker()));
  }

  Sizes capacity() {
    return WorkflowCodec.sizes(
        report.getMilliProcessors(), report.getMemoryMebibytes(), report.getAccelerators());
  }

  Sizes free() {
    return WorkflowCodec.sizes(
        report.getFreeMilliProcessors(),
        report.getFreeMemoryMebibytes(),
        report.getFreeAccelerators());
  }

  /**
   * Returns what the VM offers: what it reported, less what was ordered since.
   *
   * @param open the runs on the VM that this entry owns
   * @param knowledge what the entry has learned of images and VMs
   * @param now the loop's nanoseconds
   */
  VmOffer offer(List<OpenRun> open, FleetStatistics knowledge, long now) {
    Sizes free = free();
    long fill = report.getFillMilliProcessors();
    long suspect = report.getSuspectMilliProcessors();
    int serving = report.getServing();
    for (OpenRun run : open) {
      WorkflowTask task = run.task();
      if (!runs.containsKey(task.openRun())) {
        free = free.minus(task.step().booked());
        long fills = task.step().traits().bestEffort() ? task.step().sizes().milliProcessors() : 0;
        fill += fills;
        suspect += knowledge.isInterfering(task) ? fills : 0;
        serving += task.step().traits().isService() ? 1 : 0;
      }
    }
    return new VmOffer(
        place().orElseThrow(),
        report.getService(),
        labels,
        report.getRack(),
        capacity(),
        free,
        fill,
        suspect,
        report.getOvercommitMilliProcessors(),
        serving,
        knowledge.slowness(vm(), now));
  }

  /** Adds a start to the next frame; returns the frame's number. */
  long addStart(OpenRun run) {
    WorkflowTask task = run.task();
    WorkflowSpec spec = task.workflow().spec();
    StartRun.Builder start =
        StartRun.newBuilder()
            .setTask(WorkflowCodec.encode(task.openRun()))
            .setMilliProcessors((int) task.step().sizes().milliProcessors())
            .setMemoryMebibytes(WorkflowCodec.mebibytes(task.step().sizes()))
            .setAccelerators((int) task.step().sizes().accelerators())
            .setCheckpoint(task.checkpoint())
            .setImage(task.step().traits().image())
            .setLatencyTargetMillis((int) task.step().traits().latencyTargetMillis())
            .setFills(task.step().traits().bestEffort())
            .setStarved(run.isStarved())
            .setTicket(run.ticket());
    if (workflowsInFrame.add(spec.id())) {
      start.setProgram(spec.program());
    } else {
      start.setSameProgram(true);
    }
    orders.addStarts(start);
    ordersPending = true;
    return lastFrameNumber + 1;
  }

  void addStop(RunKey run) {
    orders.addStops(WorkflowCodec.encode(run));
    ordersPending = true;
  }

  void addAcknowledgedEnd(WorkflowTaskId end) {
    orders.addNotedEnds(end);
    ordersPending = true;
  }

  boolean hasPendingOrders() {
    return ordersPending;
  }

  /**
   * Sends what waits, if anything does, with the evidence by which the worker may go on; all of it
   * holds for the life of the worker that the last report named, and for no other.
   */
  void flush(LeaseGrant lease) {
    orders.setNumber(++lastFrameNumber).setLease(lease).setWorker(report.getWorker());
    connection.send(Frame.newBuilder().setRunOrders(orders).build());
    dropPending();
  }

  private void dropPending() {
    orders = RunOrders.newBuilder();
    workflowsInFrame.clear();
    ordersPending = false;
  }
}
