package io.marigoldsail.daemon.task;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.job.Sizes;
import io.marigoldsail.protocol.AskVouch;
import io.marigoldsail.protocol.StartTask;
import io.marigoldsail.protocol.TaskMessage;
import io.marigoldsail.protocol.TaskReport;
import io.marigoldsail.protocol.TaskReportAck;
import io.marigoldsail.protocol.Vouch;
import io.marigoldsail.testlib.VirtualClock;
import io.marigoldsail.testlib.platform.FakeWorker;
import io.marigoldsail.testlib.platform.WorkerFaults;
import io.marigoldsail.timeline.EventRecorder;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class SideTaskRunnerTest {
  private static final long MILLI = 1_000_000;
  private static final Sizes CAPACITY = new Sizes(2_000, 2_000, 0);
  private static final long REGISTRATION = 100;
  private static final long LEASE_MILLIS = 10_000;

  private static final class RecordingChannel implements TaskChannel {
    private final List<TaskMessage> messages = new ArrayList<>();

    @Override
    public boolean send(String peer, TaskMessage message) {
      return messages.add(message);
    }

    @Override
    public List<String> peers() {
      return List.of("entry-1");
    }
  }

  private final VirtualClock clock = new VirtualClock();
  private final FakeWorker worker = new FakeWorker("vm-1", CAPACITY, clock);
  private final RecordingChannel channel = new RecordingChannel();
  private SideTaskRunner side = newSide(5);

  private SideTaskRunner newSide(long processIncarnation) {
    SideIdentity identity = new SideIdentity("vm-1", processIncarnation, "zone", "rack");
    return new SideTaskRunner(identity, worker, channel, clock, EventRecorder.none());
  }

  private void run(long millis) {
    for (long passed = 0; passed < millis; passed += 50) {
      clock.advance(50 * MILLI);
      side.step();
    }
  }

  private void confirm(long registration, long process) {
    Vouch vouch =
        Vouch.newBuilder()
            .setRegistration(registration)
            .setAskedNanos(clock.nanos())
            .setProcessIncarnation(process)
            .build();
    side.onMessage("entry-1", TaskMessage.newBuilder().setVouch(vouch).build());
  }

  private StartTask.Builder start(long token) {
    return StartTask.newBuilder()
        .setTask("payout/" + token)
        .setAttempt(1)
        .setToken(token)
        .setRegistration(REGISTRATION)
        .setMilliProcessors(1_000)
        .setMemoryBytes(1_000)
        .setLeaseMillis(LEASE_MILLIS)
        .setRunMillis(60_000)
        .setCommand("run")
        .setProcessIncarnation(5);
  }

  private void send(StartTask.Builder start) {
    side.onMessage("entry-1", TaskMessage.newBuilder().setStart(start).build());
    side.step();
  }

  private List<TaskReport.State> reports(long token) {
    return channel.messages.stream()
        .filter(message -> message.hasReport() && message.getReport().getToken() == token)
        .map(message -> message.getReport().getState())
        .distinct()
        .toList();
  }

  private void confirmRegistration() {
    run(100);
    confirm(REGISTRATION, 5);
    side.step();
  }

  @Test
  void startsAnAcceptedClaim() {
    confirmRegistration();
    send(start(101));

    assertEquals(1, worker.runs().size());
    assertEquals(List.of(TaskReport.State.RUNNING), reports(101));
  }

  /** The third task does not fit, whatever its entry believed; the worker is not even asked. */
  @Test
  void rejectsStartsBeyondTheCapacity() {
    confirmRegistration();
    send(start(101));
    send(start(102));
    send(start(103));

    assertEquals(2, worker.runs().size());
    assertEquals(0, worker.rejectedOverCapacity());
    assertEquals(List.of(TaskReport.State.REFUSED), reports(103));
  }

  /**
   * The worker refuses a start and its confirmation that it will never run is lost. The refusal is
   * reported all the same, once the worker has confirmed it.
   */
  @Test
  void aRejectionIsReportedAfterTheStopResponseWasLost() {
    confirmRegistration();
    send(start(101));
    send(start(102));
    worker.setFaults(WorkerFaults.none().withLoseAnswers(1));
    send(start(103));
    assertEquals(List.of(), reports(103));
    run(3_000);

    assertEquals(List.of(TaskReport.State.REFUSED), reports(103));
  }

  /**
   * A new side process does not know yet what its worker runs from before. It counts that as taken
   * room all the same, because it asks the worker before anything else.
   */
  @Test
  void aNewSideProcessCountsRunningTasksAsOccupied() {
    confirmRegistration();
    send(start(101));
    send(start(102));
    side = newSide(6);
    run(100);
    confirm(REGISTRATION, 6);
    send(start(103).setProcessIncarnation(6));

    assertEquals(0, worker.rejectedOverCapacity());
    assertEquals(List.of(TaskReport.State.REFUSED), reports(103));
  }

  /**
   * A start reaches the side process after it was restarted, sent by an entry that had not vouched
   * to the new process: the old one may have released the task, which may run elsewhere by now.
   */
  @Test
  void aStartForAnEarlierSideProcessIsDropped() {
    side = newSide(6);
    run(100);
    confirm(REGISTRATION, 6);
    send(start(101));

    assertEquals(List.of(), worker.runs());
    assertEquals(List.of(), reports(101));
  }

  @Test
  void aStartForAnEarlierRegistrationIsDropped() {
    run(100);
    confirm(REGISTRATION + 50, 5);
    send(start(101));

    assertEquals(List.of(), worker.runs());
  }

  /** Without evidence younger than the lease nothing starts: the VM may have been revoked. */
  @Test
  void nothingStartsAfterTheConfirmationExpired() {
    confirmRegistration();
    clock.advance((LEASE_MILLIS + 1) * MILLI);
    send(start(101));

    assertEquals(List.of(), worker.runs());
    assertEquals(List.of(), reports(101));
  }

  /**
   * Entries vouch no more (they are cut off, or the log is down): leases are not renewed and the
   * worker stops the task when its lease passes; the side process then says so until acknowledged.
   */
  @Test
  void tasksStopAtTheirLeaseWithoutConfirmations() {
    confirmRegistration();
    send(start(101));
    run(LEASE_MILLIS + 1_000);

    long lasted = worker.runs().get(0).endMillis() - worker.runs().get(0).startMillis();
    assertTrue(lasted <= LEASE_MILLIS, "lasted " + lasted);
    assertEquals(List.of(TaskReport.State.RUNNING, TaskReport.State.RELEASED), reports(101));
    side.onMessage(
        "entry-1",
        TaskMessage.newBuilder().setReportAck(TaskReportAck.newBuilder().setToken(101)).build());
    side.step();
    channel.messages.clear();
    run(5_000);
    assertEquals(List.of(), reports(101));
  }

  /** A late copy of a start comes after its task has ended and was acknowledged. */
  @Test
  void anAcknowledgedTaskIsNotStartedAgain() {
    confirmRegistration();
    send(start(101).setRunMillis(100).setCommand("work=100"));
    run(1_000);
    side.onMessage(
        "entry-1",
        TaskMessage.newBuilder().setReportAck(TaskReportAck.newBuilder().setToken(101)).build());
    confirm(REGISTRATION, 5);
    send(start(101));

    assertEquals(1, worker.runs().size());
  }

  /** A worker that answers nothing makes its VM stop asking, so that entries revoke it. */
  @Test
  void requestsNoConfirmationsWhileTheWorkerIsUnresponsive() {
    confirmRegistration();
    worker.setFaults(WorkerFaults.none().withDown(true));
    run(11_000);
    channel.messages.clear();
    run(5_000);

    assertTrue(channel.messages.stream().noneMatch(TaskMessage::hasAskVouch));
  }

  @Test
  void requestsConfirmationsWithItsOwnClock() {
    run(1_100);

    AskVouch ask =
        channel.messages.stream().filter(TaskMessage::hasAskVouch).findFirst().get().getAskVouch();
    assertEquals("vm-1", ask.getVm());
    assertEquals(2_000, ask.getMilliProcessors());
    assertTrue(ask.getAskedNanos() <= clock.nanos());
  }
}
