package io.marigoldsail.daemon.frames;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.MessageLite;
import io.marigoldsail.daemon.link.FrameLimit;
import io.marigoldsail.protocol.RunOrders;
import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.protocol.WorkflowTaskId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The orders that wait to be sent to a side process, divided into frames. Each frame leaves room
 * for a lease, and names the programs of its own starts. Confined to one thread.
 */
public final class PendingOrders {
  /** The part of a frame that a lease with its evidence may take, in bytes. */
  public static final int MAX_LEASE_BYTES = 80 * 1024;

  /** The maximum length of the orders of a frame, in bytes. */
  static final int MAX_ORDER_BYTES =
      FrameLimit.MAX_BYTES - FrameLimit.OVERHEAD_BYTES - MAX_LEASE_BYTES;

  private final List<RunOrders.Builder> frames = new ArrayList<>();
  private final Set<String> workflowsInFrame = new HashSet<>();
  private int bytes;

  /** Creates an instance without orders. */
  public PendingOrders() {}

  /** Returns whether there are none. */
  public boolean isEmpty() {
    return frames.isEmpty();
  }

  /**
   * Adds a start; returns the position of its frame among those of {@link #drain}, from 0.
   *
   * @param program the program of the workflow, which the frame names once
   * @throws IllegalArgumentException if the start has no text of the workflow's id
   */
  public int addStart(StartRun.Builder start, String program) {
    requireNonNull(program, "program");
    String workflow = start.getTask().getWorkflowId();
    checkArgument(
        !workflow.isEmpty(), "the start does not name its workflow by the text of its id");
    start.setSameProgram(workflowsInFrame.contains(workflow));
    if (!start.getSameProgram()) {
      start.setProgram(program);
    }
    if (beginFrameUnlessFits(RunOrders.STARTS_FIELD_NUMBER, start.build())) {
      start.setSameProgram(false).setProgram(program);
    }
    workflowsInFrame.add(workflow);
    last().addStarts(count(RunOrders.STARTS_FIELD_NUMBER, start.build()));
    return frames.size() - 1;
  }

  /** Adds a stop. */
  public void addStop(WorkflowTaskId run) {
    beginFrameUnlessFits(RunOrders.STOPS_FIELD_NUMBER, run);
    last().addStops(count(RunOrders.STOPS_FIELD_NUMBER, run));
  }

  /** Adds the acknowledgement of an end. */
  public void addAcknowledgedEnd(WorkflowTaskId end) {
    beginFrameUnlessFits(RunOrders.NOTED_ENDS_FIELD_NUMBER, end);
    last().addNotedEnds(count(RunOrders.NOTED_ENDS_FIELD_NUMBER, end));
  }

  /** Adds the response to a superseded end. */
  public void addSupersededEnd(WorkflowTaskId end) {
    beginFrameUnlessFits(RunOrders.SUPERSEDED_ENDS_FIELD_NUMBER, end);
    last().addSupersededEnds(count(RunOrders.SUPERSEDED_ENDS_FIELD_NUMBER, end));
  }

  private RunOrders.Builder last() {
    return frames.get(frames.size() - 1);
  }

  private <T extends MessageLite> T count(int field, T order) {
    bytes += CodedOutputStream.computeMessageSize(field, order);
    return order;
  }

  private boolean beginFrameUnlessFits(int field, MessageLite order) {
    int size = CodedOutputStream.computeMessageSize(field, order);
    if (!frames.isEmpty() && bytes + size <= MAX_ORDER_BYTES) {
      return false;
    }
    frames.add(RunOrders.newBuilder());
    workflowsInFrame.clear();
    bytes = 0;
    return true;
  }

  /** Removes and returns the frames, in the order in which they must be sent. */
  public ImmutableList<RunOrders.Builder> drain() {
    ImmutableList<RunOrders.Builder> drained = ImmutableList.copyOf(frames);
    clear();
    return drained;
  }

  /** Removes all orders. */
  public void clear() {
    frames.clear();
    workflowsInFrame.clear();
    bytes = 0;
  }
}
