package io.marigoldsail.daemon.identity;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Streams;
import io.marigoldsail.protocol.EndReport;
import io.marigoldsail.protocol.RunOrders;
import io.marigoldsail.protocol.RunReport;
import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.protocol.VmReport;
import io.marigoldsail.protocol.WorkflowTaskId;
import io.marigoldsail.workflow.RunKey;
import java.util.List;
import java.util.function.Function;

/**
 * Converts frames for peers that are not known to read workflow ids as texts.
 *
 * <p>Such a peer is never sent a run under an id that it cannot represent: it would take it for a
 * run of the workflow whose id has the same digits in lower case. Stateless.
 */
public final class EarlierForms {
  private EarlierForms() {}

  /**
   * Returns the report for an entry of any version: one that reads texts finds all runs and ends in
   * it, see {@link #join}, and an earlier one those that it can represent.
   */
  public static VmReport reportForAnyEntry(VmReport report) {
    VmReport.Builder converted = report.toBuilder().clearRuns().clearEnds();
    for (RunReport run : report.getRunsList()) {
      if (hasNumber(run.getTask())) {
        converted.addRuns(run.toBuilder().setTask(withNumber(run.getTask())));
      } else {
        converted.addTextIdRuns(run);
      }
    }
    for (EndReport end : report.getEndsList()) {
      if (hasNumber(end.getTask())) {
        converted.addEnds(end.toBuilder().setTask(withNumber(end.getTask())));
      } else {
        converted.addTextIdEnds(end);
      }
    }
    return converted.build();
  }

  /** Returns the report with all its runs in one list, and all its ends in another. */
  public static VmReport join(VmReport report) {
    return report.getTextIdRunsCount() + report.getTextIdEndsCount() == 0
        ? report
        : report.toBuilder()
            .addAllRuns(report.getTextIdRunsList())
            .addAllEnds(report.getTextIdEndsList())
            .clearTextIdRuns()
            .clearTextIdEnds()
            .build();
  }

  /**
   * Returns the orders for a side process of an earlier version, without those that it cannot
   * represent.
   */
  public static RunOrders ordersForEarlierSideProcess(RunOrders orders) {
    return orders.toBuilder()
        .clearStarts()
        .addAllStarts(
            convert(
                orders.getStartsList(),
                StartRun::getTask,
                start -> start.toBuilder().setTask(withNumber(start.getTask())).build()))
        .clearStops()
        .addAllStops(convert(orders.getStopsList()))
        .clearNotedEnds()
        .addAllNotedEnds(convert(orders.getNotedEndsList()))
        .clearSupersededEnds()
        .addAllSupersededEnds(convert(orders.getSupersededEndsList()))
        .build();
  }

  /** Returns the runs in the orders that side processes of earlier versions cannot represent. */
  public static ImmutableSet<RunKey> unrepresentable(RunOrders orders) {
    return Streams.concat(
            orders.getStartsList().stream().map(StartRun::getTask),
            orders.getStopsList().stream(),
            orders.getNotedEndsList().stream(),
            orders.getSupersededEndsList().stream())
        .filter(task -> !hasNumber(task))
        .map(WorkflowIdCodec::decode)
        .collect(ImmutableSet.toImmutableSet());
  }

  private static ImmutableList<WorkflowTaskId> convert(List<WorkflowTaskId> runs) {
    return convert(runs, run -> run, EarlierForms::withNumber);
  }

  private static <T> ImmutableList<T> convert(
      List<T> elements, Function<T, WorkflowTaskId> task, Function<T, T> conversion) {
    return elements.stream()
        .filter(each -> hasNumber(task.apply(each)))
        .map(conversion)
        .collect(ImmutableList.toImmutableList());
  }

  private static boolean hasNumber(WorkflowTaskId task) {
    return WorkflowIdCodec.hasNumber(WorkflowIdCodec.decode(task).task().workflow());
  }

  private static WorkflowTaskId withNumber(WorkflowTaskId task) {
    return task.toBuilder()
        .clearWorkflowId()
        .setWorkflow(WorkflowIdCodec.number(WorkflowIdCodec.decode(task).task().workflow()))
        .build();
  }
}
