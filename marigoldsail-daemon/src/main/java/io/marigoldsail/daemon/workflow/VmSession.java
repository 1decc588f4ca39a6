package io.marigoldsail.daemon.workflow;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.primitives.Ints;
import io.marigoldsail.colocation.RefusedImages;
import io.marigoldsail.colocation.ServiceRooms;
import io.marigoldsail.daemon.frames.PendingOrders;
import io.marigoldsail.daemon.identity.EarlierForms;
import io.marigoldsail.daemon.identity.WorkflowIdCodec;
import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
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
import io.marigoldsail.workflow.WorkflowTask;
import io.marigoldsail.workflow.ZoneEvacuations;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * A connection from a side process, with its last report and the orders pending for it.
 *
 * <p>All orders of one iteration of the loop are sent in one numbered frame; a report contains the
 * number of the last frame that it takes into account. Confined to the loop's thread.
 */
final class VmSession {
  private static final EventLog LOG = EventLog.of(VmSession.class);

  /** Minimum interval between two frames with the evidence on images, in nanoseconds. */
  static final long IMAGES_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);

  private static final int MAX_LOGGED_RUNS = 5;

  private final LinkConnection connection;
  private final IncarnationHistory incarnations = new IncarnationHistory();
  private VmReport report;
  private long reportedAt;
  private ImmutableSet<String> labels = ImmutableSet.of();

  /** The room beside the services by their image; empty if the side process tells none. */
  private ImmutableMap<String, Double> rooms = ImmutableMap.of();

  private RefusedImages refusedImages = new RefusedImages();
  private ImmutableMap<RunKey, RunReport> runs = ImmutableMap.of();
  private final PendingOrders orders = new PendingOrders();
  private long lastFrameNumber;
  private long imagesSentAt = Long.MIN_VALUE;

  VmSession(LinkConnection connection, VmReport first, long now) {
    this.connection = connection;
    update(first, now);
  }

  /**
   * Replaces the last report; drops pending orders if the worker has a new incarnation.
   *
   * <p>Pending orders are sent to the incarnation that was reported last. Orders for an earlier
   * incarnation would start runs on the new one after their owner has closed them, and the same
   * task could run twice at the same time.
   *
   * @throws IllegalArgumentException if the report contains a number out of range; this session
   *     does not change
   */
  void update(VmReport newest, long now) {
    ImmutableMap<RunKey, RunReport> newestRuns = checkReport(newest);
    if (report != null && !report.getWorker().equals(newest.getWorker())) {
      orders.clear();
      refusedImages = new RefusedImages();
    }
    if (report == null || !report.getLabelsList().equals(newest.getLabelsList())) {
      labels = ImmutableSet.copyOf(newest.getLabelsList());
    }
    if (report == null || !report.getServiceRoomsList().equals(newest.getServiceRoomsList())) {
      rooms = PairEvidenceCodec.decodeRooms(newest.getServiceRoomsList());
    }
    refusedImages.recordReport(rooms, newest.getFillMilliProcessors());
    runs = newestRuns;
    incarnations.recordReport(newest);
    report = newest;
    reportedAt = now;
  }

  /** Checks the numbers of the report, with which passes over all VMs calculate. */
  private static ImmutableMap<RunKey, RunReport> checkReport(VmReport report) {
    WorkflowCodec.sizes(
        report.getMilliProcessors(), report.getMemoryMebibytes(), report.getAccelerators());
    WorkflowCodec.sizes(
        report.getFreeMilliProcessors(),
        report.getFreeMemoryMebibytes(),
        report.getFreeAccelerators());
    int least =
        Ints.min(
            report.getFillMilliProcessors(),
            report.getFillPercent(),
            report.getSuspectMilliProcessors(),
            report.getOvercommitMilliProcessors(),
            report.getServing());
    checkArgument(least >= 0, "report contains a number out of range: %s", least);
    report.getEndsList().forEach(end -> WorkflowIdCodec.decode(end.getTask()));
    ImmutableMap.Builder<RunKey, RunReport> reported = ImmutableMap.builder();
    report.getRunsList().forEach(run -> reported.put(WorkflowIdCodec.decode(run.getTask()), run));
    return reported.buildKeepingLast();
  }

  /**
   * Returns whether the evidence on images of other VMs is to be sent with the next lease, and if
   * so records it as sent. All entries send the same evidence, so a VM receives it more often.
   */
  boolean areImagesDue(long now) {
    if (imagesSentAt != Long.MIN_VALUE && now - imagesSentAt < IMAGES_INTERVAL_NANOS) {
      return false;
    }
    imagesSentAt = now;
    return true;
  }

  LinkConnection connection() {
    return connection;
  }

  VmReport report() {
    return report;
  }

  /** Returns when the last report was received, in the loop's nanoseconds. */
  long reportedAt() {
    return reportedAt;
  }

  String vm() {
    return report.getVm();
  }

  /** Returns the run as of the last report, or empty if the report does not contain it. */
  Optional<RunReport> run(RunKey key) {
    return Optional.ofNullable(runs.get(key));
  }

  /**
   * Returns whether the last report contains runs whose resource requests only their owners know.
   *
   * <p>Its side process refuses all other runs until it has received these resource requests. After
   * a restart of all processes each VM seems to be idle at first, and orders to it would be
   * refused.
   */
  boolean hasRunsOfUnknownSize() {
    return report.getRunsList().stream().anyMatch(RunReport::getSizeUnknown);
  }

  ImmutableSet<String> labels() {
    return labels;
  }

  /** Returns the VM with its worker incarnation, or empty while it has no worker. */
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
   * Returns the capacity that the VM offers: as reported, less the orders sent since.
   *
   * @param open the open runs on the VM that this entry owns
   * @param fleet statistics of VMs and images
   * @param now the loop's nanoseconds
   */
  VmOffer offer(List<OpenRun> open, FleetStatistics fleet, long now) {
    Sizes free = free();
    long bestEffort = report.getFillMilliProcessors();
    long interfering = report.getSuspectMilliProcessors();
    int serviceTasks = report.getServing();
    Optional<ServiceRooms> rooms = rooms(fleet);
    for (OpenRun run : open) {
      WorkflowTask task = run.task();
      if (run.isOpen() && !runs.containsKey(run.key())) {
        free = free.minus(task.step().booked());
        long declared =
            task.step().traits().bestEffort() ? task.step().sizes().milliProcessors() : 0;
        bestEffort += declared;
        interfering += fleet.isInterfering(task) ? declared : 0;
        if (declared > 0) {
          double share = (double) declared / Math.max(1, report.getMilliProcessors());
          rooms = rooms.map(each -> each.after(task.step().traits().image(), share));
        }
        serviceTasks += task.step().traits().isService() ? 1 : 0;
      }
    }
    return new VmOffer(
        place().orElseThrow(),
        report.getService(),
        labels,
        report.getRack(),
        capacity(),
        free,
        bestEffort,
        interfering,
        report.getOvercommitMilliProcessors(),
        serviceTasks,
        fleet.slowdown(vm(), now),
        rooms);
  }

  private Optional<ServiceRooms> rooms(FleetStatistics fleet) {
    return rooms.isEmpty()
        ? Optional.empty()
        : Optional.of(ServiceRooms.of(rooms, fleet.effects()));
  }

  /**
   * Records that the VM has refused the task, if it is a best-effort one and the VM tells the room
   * beside its services.
   */
  void recordRefusal(WorkflowTask task, long now) {
    String image = task.step().traits().image();
    boolean limited = task.step().traits().bestEffort() && reportsRooms() && !image.isEmpty();
    if (limited && refusedImages.recordRefusal(image, now)) {
      LOG.info(
          LogLine.of("image-refused")
              .with("vm", vm())
              .with("image", image)
              .with("task", task.key())
              .with("rooms", rooms)
              .with("best_effort_milli", report.getFillMilliProcessors()));
    }
  }

  /** Returns whether the VM has lately refused a task of the best-effort image. */
  boolean hasRefused(String image, long now) {
    return refusedImages.isRefused(image, now);
  }

  /** Returns whether the side process tells the room beside the services of the VM. */
  boolean reportsRooms() {
    return !rooms.isEmpty();
  }

  /** Returns whether services of the image run on the VM. */
  boolean hostsService(String image) {
    return rooms.containsKey(image);
  }

  /** Adds a start to the next frame and returns the number of that frame. */
  long addStart(OpenRun run) {
    WorkflowTask task = run.task();
    StartRun.Builder start =
        StartRun.newBuilder()
            .setTask(WorkflowIdCodec.encode(run.key()))
            .setMilliProcessors((int) task.step().sizes().milliProcessors())
            .setMemoryMebibytes(WorkflowCodec.mebibytes(task.step().sizes()))
            .setAccelerators((int) task.step().sizes().accelerators())
            .setCheckpoint(task.checkpoint())
            .setImage(task.step().traits().image())
            .setLatencyTargetMillis((int) task.step().traits().latencyTargetMillis())
            .setFills(task.step().traits().bestEffort())
            .setStarved(run.isStarved())
            .setTicket(run.ticket())
            .setDelivery(
                run.mayHaveBeenOrdered() ? StartRun.Delivery.REPEATED : StartRun.Delivery.FIRST);
    return lastFrameNumber + 1 + orders.addStart(start, task.workflow().spec().program());
  }

  void addStop(RunKey run) {
    orders.addStop(WorkflowIdCodec.encode(run));
  }

  void addAcknowledgedEnd(WorkflowTaskId end) {
    orders.addAcknowledgedEnd(end);
  }

  void addSupersededEnd(WorkflowTaskId end) {
    orders.addSupersededEnd(end);
  }

  boolean hasPendingOrders() {
    return !orders.isEmpty();
  }

  /** Returns the evidence that the worker incarnation is gone, or empty if there is none. */
  Optional<LossEvidence> evidenceOfLoss(String worker, long now) {
    return incarnations.evidenceOfLoss(worker, report, now);
  }

  /**
   * Adds a question whether the worker incarnation is gone, unless one was added a short time ago;
   * returns whether it was added.
   */
  boolean tryAsk(String worker, long now) {
    return incarnations.tryAsk(worker, lastFrameNumber + 1, now);
  }

  boolean hasPendingQuestions() {
    return incarnations.hasPendingQuestions();
  }

  /**
   * Sends the pending questions: frames without a lease and orders, each for the worker incarnation
   * that is asked for. A side process with another worker responds with a report at once.
   *
   * @param capacityNeeded whether tasks wait for capacity, so that changes are to be reported soon
   * @throws IllegalStateException if orders are pending, whose frame has the next number
   */
  void sendQuestions(boolean capacityNeeded) {
    checkState(orders.isEmpty(), "orders are pending");
    for (String worker : incarnations.removePendingQuestions()) {
      send(RunOrders.newBuilder(), LeaseGrant.getDefaultInstance(), worker, capacityNeeded);
    }
  }

  /**
   * Sends a frame with the lease and the pending orders, if any, or several frames if one does not
   * hold them all; all of it applies only to the worker incarnation of the last report.
   *
   * @param evidence what else is to be told with the lease, once
   * @param evacuations the zones in which no run may start
   * @param capacityNeeded whether tasks wait for capacity, so that changes are to be reported soon
   */
  void flush(
      LeaseGrant lease, LeaseGrant evidence, ZoneEvacuations evacuations, boolean capacityNeeded) {
    LeaseGrant first = lease.toBuilder().mergeFrom(evidence).build();
    if (orders.isEmpty()) {
      flush(RunOrders.newBuilder(), first, evacuations, capacityNeeded);
      return;
    }
    LeaseGrant next = first;
    for (RunOrders.Builder frame : orders.drain()) {
      flush(frame, next, evacuations, capacityNeeded);
      next = lease;
    }
  }

  private void flush(
      RunOrders.Builder frame,
      LeaseGrant lease,
      ZoneEvacuations evacuations,
      boolean capacityNeeded) {
    frame.setEvacuations(WorkflowCodec.encode(evacuations));
    send(frame, lease, report.getWorker(), capacityNeeded);
  }

  private void send(
      RunOrders.Builder frame, LeaseGrant lease, String worker, boolean capacityNeeded) {
    frame
        .setNumber(++lastFrameNumber)
        .setLease(lease)
        .setCapacityUnneeded(!capacityNeeded)
        .setWorker(worker)
        .setTellsSupersededEnds(true);
    connection.send(Frame.newBuilder().setRunOrders(readable(frame.build())).build());
  }

  /** Returns the orders that the side process reads, in the form that it reads. */
  private RunOrders readable(RunOrders frame) {
    if (report.getReadsTextIds()) {
      return frame;
    }
    ImmutableSet<RunKey> withheld = EarlierForms.unrepresentable(frame);
    if (!withheld.isEmpty()) {
      LOG.warning(
          LogLine.of("orders-not-sent")
              .with("vm", vm())
              .with("number", frame.getNumber())
              .with("count", withheld.size())
              .with("runs", withheld.stream().limit(MAX_LOGGED_RUNS).toList())
              .with("reason", "the side process does not distinguish the case of digits"));
    }
    return EarlierForms.ordersForEarlierSideProcess(frame);
  }
}
