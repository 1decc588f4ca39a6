package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableMap;
import io.marigoldsail.protocol.EndReport;
import io.marigoldsail.protocol.ImageSeen;
import io.marigoldsail.protocol.PairSeen;
import io.marigoldsail.protocol.RunReport;
import io.marigoldsail.protocol.ServiceRoom;
import io.marigoldsail.protocol.VmReport;
import io.marigoldsail.protocol.WorkflowTaskId;
import io.marigoldsail.workflow.ImageInterference;
import io.marigoldsail.workflow.ImageInterference.Evidence;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

/** Reports whose numbers are out of range, beside those of a sound VM, on virtual time. */
class OddReportsTest {
  private static final int MAX = Integer.MAX_VALUE;
  private static final long ID = 95;
  private static final long SETTLED_MILLIS = 2_000;

  private final VirtualEntry entry =
      new VirtualEntry(
          WorkerLeaseTerms.forMaxLease(10_000), WorkflowTestCluster.configuration(1, "service"));
  private final VirtualEntry.Vm odd = entry.addVm("odd", "service");
  private final VirtualEntry.Vm sound = entry.addVm("sound", "service");

  private static WorkflowTaskId task(long workflow, int number, int attempt) {
    return WorkflowTaskId.newBuilder()
        .setWorkflow(workflow)
        .setOccurrence(number)
        .setStep(number)
        .setIndex(number)
        .setAttempt(attempt)
        .build();
  }

  /** Reports that no side process sends. */
  private static Map<String, UnaryOperator<VmReport.Builder>> refused() {
    ImmutableMap.Builder<String, UnaryOperator<VmReport.Builder>> reports = ImmutableMap.builder();
    return reports
        .put("processors", each -> each.setMilliProcessors(-1))
        .put("memory", each -> each.setMemoryMebibytes(-1))
        .put("accelerators", each -> each.setAccelerators(Integer.MIN_VALUE))
        .put("free processors", each -> each.setFreeMilliProcessors(-1))
        .put("free memory", each -> each.setFreeMemoryMebibytes(-1))
        .put("free accelerators", each -> each.setFreeAccelerators(-1))
        .put("best-effort processors", each -> each.setFillMilliProcessors(-1))
        .put("share", each -> each.setFillPercent(-1))
        .put("interfering processors", each -> each.setSuspectMilliProcessors(-1))
        .put("overcommit", each -> each.setOvercommitMilliProcessors(-1))
        .put("services", each -> each.setServing(-1))
        .put("run without task", each -> each.addRuns(RunReport.getDefaultInstance()))
        .put("run", each -> each.addRuns(RunReport.newBuilder().setTask(task(ID, -1, 1))))
        .put("attempt", each -> each.addRuns(RunReport.newBuilder().setTask(task(ID, 0, -1))))
        .put("end without task", each -> each.addEnds(EndReport.getDefaultInstance()))
        .put("end", each -> each.addEnds(EndReport.newBuilder().setTask(task(ID, 0, 0))))
        .buildOrThrow();
  }

  /** Reports with unusual contents that can be read. */
  private static Map<String, UnaryOperator<VmReport.Builder>> accepted() {
    ImmutableMap.Builder<String, UnaryOperator<VmReport.Builder>> reports = ImmutableMap.builder();
    return reports
        .put("name", each -> each.setVm("x".repeat(100_000)))
        .put("no service", each -> each.setService("").setZone(""))
        .put(
            "largest numbers",
            each ->
                each.setMilliProcessors(MAX)
                    .setMemoryMebibytes(MAX)
                    .setAccelerators(MAX)
                    .setFillMilliProcessors(MAX)
                    .setServing(MAX)
                    .setFillPercent(MAX)
                    .setOvercommitMilliProcessors(MAX)
                    .setFreeMilliProcessors(0))
        .put("clock", each -> each.setWorkerClock(Long.MIN_VALUE).setWorker(""))
        .put(
            "unknown runs",
            each ->
                each.addRuns(RunReport.newBuilder().setTask(task(ID, MAX, MAX)).setPercent(-1))
                    .addEnds(
                        EndReport.newBuilder()
                            .setTask(task(-1, MAX, MAX))
                            .setOutcome(-1)
                            .setSequence(-1)))
        .put(
            "figures that are no numbers",
            each ->
                each.addImages(
                        ImageSeen.newBuilder()
                            .setImage("image")
                            .setBlame(Float.NaN)
                            .setWeight(Float.POSITIVE_INFINITY))
                    .addPairs(PairSeen.newBuilder().setWork(Float.NaN).setEffect(Float.NaN))
                    .addServiceRooms(
                        ServiceRoom.newBuilder().setImage("svc").setHeadroom(Float.NaN)))
        .buildOrThrow();
  }

  private void assertSoundVmIsGivenWork(String name, long id) {
    entry.submit(WorkflowTestCluster.workflow(id, 1));
    sound.send(sound.idle().setMilliProcessors(MAX).setFreeMilliProcessors(MAX));
    entry.advance(SETTLED_MILLIS);
    entry.rethrowFailure();
    assertTrue(
        sound.ordered().stream().anyMatch(run -> run.task().workflow().equals(TestIds.id(id))),
        "not ordered beside a report with odd " + name);
  }

  /** Guards against passes that end at one VM, so that none of the others is given work. */
  @Test
  void refusedReportsKeepNoOtherVmFromWork() {
    long id = ID;
    for (Map.Entry<String, UnaryOperator<VmReport.Builder>> each : refused().entrySet()) {
      assertThrows(
          IllegalArgumentException.class,
          () -> odd.send(each.getValue().apply(odd.idle())),
          each.getKey());
      odd.disconnect();
      assertSoundVmIsGivenWork(each.getKey(), ++id);
      odd.send(odd.idle().setFreeMilliProcessors(0));
      assertThrows(
          IllegalArgumentException.class,
          () -> odd.send(each.getValue().apply(odd.idle())),
          each.getKey());
      assertSoundVmIsGivenWork(each.getKey() + " after a sound report", ++id);
      odd.disconnect();
    }
  }

  @Test
  void unusualReportsKeepNoOtherVmFromWork() {
    long id = ID;
    for (Map.Entry<String, UnaryOperator<VmReport.Builder>> each : accepted().entrySet()) {
      odd.send(each.getValue().apply(odd.idle().setFreeMilliProcessors(0)));
      assertSoundVmIsGivenWork(each.getKey(), ++id);
      odd.disconnect();
    }
  }

  /** Guards against estimates of the whole fleet that are no numbers because one VM's are none. */
  @Test
  void figuresThatAreNoNumbersAreNotPassedOn() {
    for (float figure : new float[] {Float.NaN, Float.POSITIVE_INFINITY, Float.NEGATIVE_INFINITY}) {
      ImageSeen blame = ImageSeen.newBuilder().setImage("i").setBlame(figure).setWeight(1).build();
      ImageSeen weight = ImageSeen.newBuilder().setImage("i").setBlame(0).setWeight(figure).build();
      assertEquals(Map.of(), ImageEvidenceCodec.decode(List.of(blame, weight)));
      ServiceRoom room = ServiceRoom.newBuilder().setImage("s").setHeadroom(figure).build();
      assertEquals(Map.of("s", -1.0), PairEvidenceCodec.decodeRooms(List.of(room)));
    }
    Evidence most = new Evidence(0, Float.MAX_VALUE);
    ImageInterference interference = new ImageInterference();
    interference.setRemoteEvidence(
        ImageEvidenceCodec.decode(ImageEvidenceCodec.encode(Map.of("i", most.plus(most)))));
    assertFalse(Double.isNaN(interference.belief("i")));
  }
}
