package io.marigoldsail.testlib.history;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.marigoldsail.lease.WorkerTask.State;
import io.marigoldsail.testlib.history.RequestHistory.Outcome;
import io.marigoldsail.testlib.platform.TargetRun;
import io.marigoldsail.testlib.platform.WorkerRun;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Each checker accepts a valid history and reports each violation injected into one. */
final class HistoryTest {
  @Test
  void findsRequestsThatRanTwiceOrAgainstTheirAnswer() {
    RequestHistory history = new RequestHistory();
    history.add("once", false, Outcome.ANSWERED, true);
    history.add("lookup", true, Outcome.ANSWERED, true);
    history.add("lost", false, Outcome.UNKNOWN, true);
    List<TargetRun> valid = List.of(run("once"), run("lookup"), run("lookup"), run("lost"));
    assertEquals(List.of(), history.violations(valid));

    history.add("twice", false, Outcome.UNKNOWN, true);
    history.add("refused", true, Outcome.NOT_RUN, true);
    history.add("invented", true, Outcome.ANSWERED, true);
    history.add("foreign", true, Outcome.UNKNOWN, false);
    List<TargetRun> invalid =
        List.of(run("once"), run("lookup"), run("twice"), run("twice"), run("refused"));

    assertEquals(4, history.violations(invalid).size());
  }

  @Test
  void findsTasksInTwoPlaces() {
    WorkerRun first = run("vm-1", 5, 0, 100, State.LAPSED);
    WorkerRun second = run("vm-2", 9, 100, 200, State.DONE);
    assertEquals(0, TaskHistory.violations(List.of(first, second), 500).size());

    WorkerRun early = run("vm-2", 9, 99, 200, State.DONE);
    assertEquals(1, TaskHistory.violations(List.of(first, early), 500).size());
    WorkerRun endless = run("vm-1", 5, 0, 0, State.RUNNING);
    assertEquals(1, TaskHistory.violations(List.of(endless, second), 500).size());
    WorkerRun afterDone = run("vm-3", 12, 300, 400, State.DONE);
    assertEquals(1, TaskHistory.violations(List.of(first, second, afterDone), 500).size());
    WorkerRun older = run("vm-3", 4, 150, 160, State.STOPPED);
    assertEquals(1, TaskHistory.violations(List.of(first, older), 500).size());
  }

  @Test
  void findsRevisionsOutOfOrder() {
    RevisionHistory valid = new RevisionHistory();
    valid.recordPublish(1, "a", 0, 10);
    valid.recordPublish(2, "b", 5, 20);
    valid.recordRead("entry-1", 1, "a", 12);
    valid.recordRead("entry-1", 2, "b", 30);
    valid.recordRead("entry-2", 1, "a", 31);
    assertEquals(List.of(), valid.violations());

    RevisionHistory invalid = new RevisionHistory();
    invalid.recordPublish(2, "b", 0, 10);
    invalid.recordPublish(1, "a", 20, 30);
    invalid.recordPublish(2, "c", 5, 40);
    invalid.recordRead("entry-1", 2, "c", 50);
    invalid.recordRead("entry-1", 1, "a", 60);
    invalid.recordRead("entry-2", 1, "x", 10);

    assertEquals(5, invalid.violations().size(), invalid.violations().toString());
  }

  private static TargetRun run(String tag) {
    return new TargetRun("t", "", "", "POST", "/parking/charge?tag=" + tag + "&x=1", 1, 2);
  }

  private static WorkerRun run(String worker, long token, long start, long end, State state) {
    return new WorkerRun(worker, 1, "payout/1", 1, token, "", start, end, state);
  }
}
