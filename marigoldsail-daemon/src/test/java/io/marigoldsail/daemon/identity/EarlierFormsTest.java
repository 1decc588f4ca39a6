package io.marigoldsail.daemon.identity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.marigoldsail.protocol.EndReport;
import io.marigoldsail.protocol.RunOrders;
import io.marigoldsail.protocol.RunReport;
import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.protocol.VmReport;
import io.marigoldsail.protocol.WorkflowTaskId;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.TaskKey;
import io.marigoldsail.workflow.WorkflowId;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class EarlierFormsTest {
  private static final RunKey LOWER = run("5c0e7a21d94b36f8");
  private static final RunKey UPPER = run("5C0E7A21D94B36F8");
  private static final RunKey MIXED = run("5c0e7A21d94b36f8");
  private static final RunKey HIGH = run("f000000000000000");
  private static final ImmutableSet<RunKey> ALL = ImmutableSet.of(LOWER, UPPER, MIXED, HIGH);

  private static RunKey run(String id) {
    return new RunKey(new TaskKey(WorkflowId.of(id), 1, 2, 3), 4);
  }

  /** Returns the run as a version reads it that knows numbers alone. */
  private static RunKey readByEarlierVersion(WorkflowTaskId id) {
    WorkflowId workflow = WorkflowId.of(String.format("%016x", id.getWorkflow()));
    return new RunKey(
        new TaskKey(workflow, id.getOccurrence(), id.getStep(), id.getIndex()), id.getAttempt());
  }

  private static ImmutableSet<RunKey> decode(Stream<WorkflowTaskId> ids) {
    return ids.map(WorkflowIdCodec::decode).collect(ImmutableSet.toImmutableSet());
  }

  private static ImmutableSet<RunKey> readByEarlierVersion(Stream<WorkflowTaskId> ids) {
    return ids.map(EarlierFormsTest::readByEarlierVersion).collect(ImmutableSet.toImmutableSet());
  }

  private static VmReport report() {
    VmReport.Builder report = VmReport.newBuilder().setVm("vm").setWorker("worker");
    for (RunKey run : ALL) {
      report.addRuns(RunReport.newBuilder().setTask(WorkflowIdCodec.encode(run)).setPercent(7));
      report.addEnds(EndReport.newBuilder().setTask(WorkflowIdCodec.encode(run)).setSequence(9));
    }
    return report.build();
  }

  /** Guards against a run that is reported under the id of a workflow with the same digits. */
  @Test
  void entriesOfEarlierVersionsAreToldOfRunsThatTheyCanRepresent() {
    VmReport converted = EarlierForms.reportForAnyEntry(report());
    assertEquals(
        ImmutableSet.of(LOWER, HIGH),
        readByEarlierVersion(converted.getRunsList().stream().map(RunReport::getTask)));
    assertEquals(
        ImmutableSet.of(LOWER, HIGH),
        readByEarlierVersion(converted.getEndsList().stream().map(EndReport::getTask)));
  }

  /** Guards against a run that is considered lost, as a report leaves it out. */
  @Test
  void entriesThatReadTextsFindAllRunsInAnyForm() {
    VmReport joined = EarlierForms.join(EarlierForms.reportForAnyEntry(report()));
    assertEquals(ALL, decode(joined.getRunsList().stream().map(RunReport::getTask)));
    assertEquals(ALL, decode(joined.getEndsList().stream().map(EndReport::getTask)));
    assertEquals(
        List.of(7, 7, 7, 7), joined.getRunsList().stream().map(RunReport::getPercent).toList());
    assertEquals(0, joined.getTextIdRunsCount() + joined.getTextIdEndsCount());
    assertEquals(report(), EarlierForms.join(report()));
  }

  /** Guards against a run that is started or stopped under another id. */
  @Test
  void sideProcessesOfEarlierVersionsAreOrderedWhatTheyCanRepresent() {
    RunOrders.Builder orders = RunOrders.newBuilder().setNumber(5).setWorker("worker");
    for (RunKey run : ALL) {
      WorkflowTaskId id = WorkflowIdCodec.encode(run);
      orders.addStarts(StartRun.newBuilder().setTask(id).setProgram("program"));
      orders.addStops(id).addNotedEnds(id).addSupersededEnds(id);
    }
    RunOrders converted = EarlierForms.ordersForEarlierSideProcess(orders.build());
    for (List<WorkflowTaskId> ids :
        ImmutableList.of(
            converted.getStartsList().stream().map(StartRun::getTask).toList(),
            converted.getStopsList(),
            converted.getNotedEndsList(),
            converted.getSupersededEndsList())) {
      assertEquals(ImmutableSet.of(LOWER, HIGH), readByEarlierVersion(ids.stream()));
    }
    assertEquals(ImmutableSet.of(UPPER, MIXED), EarlierForms.unrepresentable(orders.build()));
    assertEquals(ImmutableSet.of(), EarlierForms.unrepresentable(converted));
    assertEquals(5, converted.getNumber());
    assertTrue(converted.getSerializedSize() < orders.build().getSerializedSize());
  }

  /** Guards against frames of earlier versions that are read as those of other runs. */
  @Test
  void numbersOfEarlierVersionsAreRead() {
    assertEquals(WorkflowId.of("0000000000000000"), WorkflowIdCodec.decode("", 0));
    assertEquals(
        LOWER.task().workflow(),
        WorkflowIdCodec.decode("", WorkflowIdCodec.number(LOWER.task().workflow())));
    assertEquals(WorkflowId.of("ffffffffffffffff"), WorkflowIdCodec.decode("", -1));
    assertThrows(
        IllegalArgumentException.class, () -> WorkflowIdCodec.number(UPPER.task().workflow()));
    assertThrows(IllegalArgumentException.class, () -> WorkflowIdCodec.decode("5c0e", 0));
  }
}
