package io.marigoldsail.daemon.frames;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.daemon.identity.EarlierForms;
import io.marigoldsail.daemon.identity.WorkflowIdCodec;
import io.marigoldsail.daemon.link.FakeLinks;
import io.marigoldsail.daemon.link.FrameLimit;
import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.protocol.EndReport;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.ImageSeen;
import io.marigoldsail.protocol.PairSeen;
import io.marigoldsail.protocol.RunReport;
import io.marigoldsail.protocol.VmReport;
import io.marigoldsail.protocol.WorkflowTaskId;
import io.marigoldsail.time.MonotonicClock;
import io.marigoldsail.workflow.RunKey;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;

class ReportPartsTest {
  private static final LinkLoop LOOP = new LinkLoop("test", MonotonicClock.system());

  @AfterAll
  static void stop() {
    LOOP.close();
  }

  private static Optional<VmReport> join(List<VmReport> parts) {
    ReportJoiner joiner = new ReportJoiner();
    LinkConnection connection = FakeLinks.withoutPeer(LOOP);
    Optional<VmReport> joined = Optional.empty();
    for (VmReport part : parts) {
      assertEquals(Optional.empty(), joined);
      joined = joiner.add(connection, part);
    }
    return joined;
  }

  /** The largest frame that a link may make of the part. */
  private static int frameBytes(VmReport part) {
    return Frame.newBuilder()
        .setVmReport(part)
        .setStamp(-1)
        .setAnswersRead(-1)
        .build()
        .getSerializedSize();
  }

  private static WorkflowTaskId task(Random random) {
    return WorkflowTaskId.newBuilder()
        .setWorkflow(random.nextLong())
        .setIndex(random.nextInt(20_000))
        .setAttempt(1 + random.nextInt(9))
        .build();
  }

  /** Any numbers of runs, ends and images, with texts of any length: all fits, nothing is lost. */
  @Property(tries = 100)
  void partsOfAnyReportFitAndAreJoinedAgain(@ForAll long seed) {
    Random random = new Random(seed);
    VmReport.Builder report =
        VmReport.newBuilder().setVm("vm-0").setWorker("i-1@17").setWantsLease(true).setServing(3);
    for (int i = random.nextInt(4_000); i > 0; i--) {
      report.addRuns(
          RunReport.newBuilder()
              .setTask(task(random))
              .setCheckpoint("c".repeat(random.nextInt(1_025))));
    }
    for (int i = random.nextInt(2_000); i > 0; i--) {
      report.addEnds(EndReport.newBuilder().setTask(task(random)).setReason("listed"));
    }
    for (int i = random.nextInt(1_000); i > 0; i--) {
      report.addImages(ImageSeen.newBuilder().setImage("i".repeat(random.nextInt(300))));
      report.addPairs(PairSeen.newBuilder().setBestEffort("b".repeat(random.nextInt(300))));
    }
    List<VmReport> parts = ReportParts.divide(report.build());
    parts.forEach(part -> assertTrue(frameBytes(part) <= FrameLimit.MAX_BYTES));
    assertTrue(parts.stream().allMatch(part -> part.getWorker().equals("i-1@17")));
    assertEquals(Optional.of(report.build()), join(parts));
  }

  /** Guards against a frame over the limit, or a run left out, in a report for any version. */
  @Property(tries = 30)
  void partsOfAReportForAnyVersionFitAndAreJoinedAgain(@ForAll long seed) {
    Random random = new Random(seed);
    VmReport.Builder report = VmReport.newBuilder().setVm("vm-0").setWorker("i-1@17");
    for (int i = 0; i < 3_000; i++) {
      WorkflowTaskId task =
          WorkflowTaskId.newBuilder()
              .setWorkflowId(random.nextBoolean() ? "5c0e7a21d94b36f8" : "5C0E7A21D94B36F8")
              .setIndex(i)
              .setAttempt(1)
              .build();
      report.addRuns(
          RunReport.newBuilder().setTask(task).setCheckpoint("c".repeat(random.nextInt(1_025))));
      report.addEnds(EndReport.newBuilder().setTask(task).setReason("r".repeat(300)));
    }
    List<VmReport> parts = ReportParts.divide(EarlierForms.reportForAnyEntry(report.build()));
    assertTrue(parts.size() > 1);
    parts.forEach(part -> assertTrue(frameBytes(part) <= FrameLimit.MAX_BYTES));
    VmReport joined = EarlierForms.join(join(parts).orElseThrow());
    assertEquals(
        tasks(report.getRunsList(), RunReport::getTask),
        tasks(joined.getRunsList(), RunReport::getTask));
    assertEquals(
        tasks(report.getEndsList(), EndReport::getTask),
        tasks(joined.getEndsList(), EndReport::getTask));
  }

  private static <T> Set<RunKey> tasks(List<T> reports, Function<T, WorkflowTaskId> task) {
    return reports.stream()
        .map(each -> WorkflowIdCodec.decode(task.apply(each)))
        .collect(Collectors.toSet());
  }

  /** One byte below the limit, at it, and one above. */
  @Test
  void reportIsDividedOnlyAboveTheLimit() {
    for (int extra = -1; extra <= 1; extra++) {
      VmReport.Builder report = VmReport.newBuilder().setVm("vm-0");
      for (int i = 0; i < 3; i++) {
        report.addRuns(RunReport.newBuilder().setCheckpoint("c".repeat(60_000)));
      }
      int missing = ReportParts.MAX_PART_BYTES + extra - report.build().getSerializedSize();
      report.setRuns(0, RunReport.newBuilder().setCheckpoint("c".repeat(60_000 + missing)));
      assertEquals(ReportParts.MAX_PART_BYTES + extra, report.build().getSerializedSize());
      List<VmReport> parts = ReportParts.divide(report.build());
      assertEquals(extra <= 0 ? 1 : 2, parts.size());
      assertEquals(Optional.of(report.build()), join(parts));
    }
  }

  /** Guards against a peer whose parts never end. */
  @Test
  void partsAreJoinedInBoundedMemory() {
    ReportJoiner joiner = new ReportJoiner();
    LinkConnection connection = FakeLinks.withoutPeer(LOOP);
    VmReport part =
        VmReport.newBuilder()
            .setContinued(true)
            .addRuns(RunReport.newBuilder().setCheckpoint("c".repeat(1 << 17)))
            .build();
    int parts = ReportJoiner.MAX_REPORT_BYTES / part.getSerializedSize();
    List<Optional<VmReport>> joined = new ArrayList<>();
    for (int i = 0; i < parts; i++) {
      joined.add(joiner.add(connection, part));
    }
    assertTrue(joined.stream().allMatch(Optional::isEmpty));
    assertThrows(IllegalArgumentException.class, () -> joiner.add(connection, part));
    VmReport whole = VmReport.newBuilder().setVm("vm-0").build();
    assertEquals(Optional.of(whole), joiner.add(connection, whole));
  }

  /** Guards against parts of a connection that has ended, joined with those of another one. */
  @Test
  void partsOfAnEndedConnectionAreForgotten() {
    ReportJoiner joiner = new ReportJoiner();
    LinkConnection connection = FakeLinks.withoutPeer(LOOP);
    VmReport part = VmReport.newBuilder().setContinued(true).setServing(1).build();
    assertEquals(Optional.empty(), joiner.add(connection, part));
    joiner.disconnected(connection);
    VmReport whole = VmReport.newBuilder().setVm("vm-0").build();
    assertEquals(Optional.of(whole), joiner.add(connection, whole));
  }
}
