package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.marigoldsail.colocation.InterferenceScope;
import io.marigoldsail.daemon.identity.WorkflowIdCodec;
import io.marigoldsail.daemon.workflow.VirtualEntry.Vm;
import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import io.marigoldsail.workflow.Workflow;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The log lines that explain why a run of a cancelled workflow started or went on. */
class CancelledRunsLogTest {
  private static final long WORKFLOW = 83;
  private static final RunKey RUN = new RunKey(TestIds.task(WORKFLOW, 0, 0, 0), 1);
  private static final WorkerLeaseTerms TERMS = WorkerLeaseTerms.forMaxLease(4_000);
  private static final long PASS_MILLIS = 300;
  private static final long REPORT_MILLIS = 800;
  private static final long UNREAD_MILLIS = 5_000;

  private final List<Logger> loggers =
      List.of(
          Logger.getLogger(OwnerOrderLog.class.getName()),
          Logger.getLogger(OrderSender.class.getName()));
  private final List<String> lines = new ArrayList<>();
  private final Handler collector =
      new Handler() {
        @Override
        public void publish(LogRecord line) {
          lines.add(line.getMessage());
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
      };

  private final VirtualEntry entry =
      new VirtualEntry(TERMS, WorkflowTestCluster.configuration(1, "service"));
  private final Vm vm = entry.addVm("vm-0", "service");

  @BeforeEach
  void collect() {
    loggers.forEach(
        logger -> {
          logger.setLevel(Level.INFO);
          logger.addHandler(collector);
        });
  }

  @AfterEach
  void stop() {
    loggers.forEach(
        logger -> {
          logger.removeHandler(collector);
          logger.setLevel(null);
        });
  }

  private Workflow submitAndOrder() {
    Workflow workflow = entry.submit(WorkflowTestCluster.workflow(WORKFLOW, 1));
    vm.report(List.of());
    entry.advance(PASS_MILLIS);
    assertEquals(List.of(RUN), vm.ordered());
    return workflow;
  }

  /** Returns the collected lines on the run without the values of times, and drops them. */
  private List<String> takeLines() {
    List<String> taken =
        lines.stream()
            .filter(line -> line.contains("run=" + RUN))
            .map(line -> line.replaceAll(" (ms|epoch)=\\d+", ""))
            .map(line -> line.replaceAll("workerClock=\\d+", "clock"))
            .toList();
    lines.clear();
    return taken;
  }

  /** Guards against a run that went on, of which no line says whether a stop was sent. */
  @Test
  void ownerLogsEachStopAndRepeatedStart() {
    Workflow workflow = submitAndOrder();
    assertEquals(List.of(), takeLines());
    vm.disconnect();
    vm.report(List.of());
    entry.advance(1);
    String vmAndWorker = " vm=vm-0 worker=incarnation-1-vm-0 ";
    assertEquals(
        List.of("event=start-repeated run=" + RUN + vmAndWorker + "reported=false"), takeLines());
    vm.disconnect();
    entry.cancel(workflow);
    entry.advance(PASS_MILLIS);
    assertEquals(
        List.of("event=stop-deferred run=" + RUN + " vm=vm-0 status=CANCELLED"), takeLines());
    String stop = "event=stop-sent run=" + RUN + vmAndWorker + "status=CANCELLED ";
    for (int stops = 1; stops <= 2; stops++) {
      vm.report(List.of(RUN));
      entry.advance(REPORT_MILLIS);
      assertEquals(List.of(stop + "may_have_started=true stops=" + stops), takeLines());
    }
  }

  /** Guards against an unknown run that went on, of which no line says why it was left alone. */
  @Test
  void ownerLogsRunsThatItLeavesAloneAtMostOncePerWindow() {
    entry.submit(WorkflowTestCluster.workflow(WORKFLOW + 1, 1));
    entry.refuseReads();
    entry.advance(UNREAD_MILLIS);
    for (int i = 0; i < 10; i++) {
      vm.report(List.of(RUN));
      entry.advance(1);
    }
    assertEquals(
        List.of(
            "event=run-unexpected run="
                + RUN
                + " vm=vm-0 worker=incarnation-1-vm-0 partition=0 status=unknown"
                + " left=\"submissions unread\""),
        takeLines());
  }

  /** Guards against a start of which no line says that its stop was sent before its answer came. */
  @Test
  void sideProcessLogsTheAnswersOfStartsAndStopsThatCross() {
    VirtualLoop time = new VirtualLoop();
    ScriptedWorker worker = new ScriptedWorker(time);
    WorkerSession session =
        new WorkerSession(
            time.loop(),
            worker,
            ScriptedWorker.heartbeat("worker-1"),
            worker.listing(),
            1,
            TERMS,
            InterferenceScope.PER_IMAGE,
            new NoOpSessionListener());
    session.start();
    session.recordEvidence(0, 1, session.workerClockLowerBound());
    worker.leaveStopsUnanswered();
    session.start(
        RUN, StartRun.newBuilder().setTask(WorkflowIdCodec.encode(RUN)).build(), "program");
    session.stop(RUN);
    time.advance(10);
    worker.answerStops();
    time.advance(PASS_MILLIS);
    String runAndWorker = " run=" + RUN + " worker=worker-1 ";
    assertEquals(
        List.of(
            "event=start-overtaken" + runAndWorker + "tries=1 result=\"Accepted[clock]\"",
            "event=stop-retried"
                + runAndWorker
                + "tries=1 listed=false"
                + " result=\"OrderOutcomeUnknown[reason=injected: no answer]\"",
            "event=stop-executed"
                + runAndWorker
                + "tries=2 listed=false result=\"Accepted[clock]\""),
        takeLines());
  }
}
