package io.marigoldsail.tests.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.marigoldsail.daemon.operators.OperatorResponse;
import io.marigoldsail.daemon.operators.ProcessMember;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Result;
import io.marigoldsail.json.Json;
import io.marigoldsail.testlib.platform.LogFaults;
import io.marigoldsail.tests.cli.CliFixture.Run;
import io.marigoldsail.timeline.Event;
import io.marigoldsail.timeline.EventKind;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class CommandLineTest {
  private static final String UNREACHABLE = "127.0.0.1:1";

  @TempDir private Path directory;
  private final CliFixture fixture = new CliFixture();

  @AfterEach
  void stop() {
    fixture.close();
  }

  private String file(String name, String text) throws IOException {
    return Files.writeString(directory.resolve(name), text.replace('\'', '"')).toString();
  }

  private String base(int maxWaiting) throws IOException {
    return file("base.json", "{'services':{'parking':{'maxWaiting':" + maxWaiting + "}}}");
  }

  private Run run(String... arguments) {
    String[] all = java.util.Arrays.copyOf(arguments, arguments.length + 2);
    all[arguments.length] = "--entries";
    all[arguments.length + 1] = fixture.address();
    return fixture.run(all);
  }

  @Test
  void publishShowDiffHistoryAndRollForward() throws IOException {
    Run first = run("publish", "base", base(500), "--wait", "--author", "ana");
    assertEquals("base accepted as revision 1\nin force in all 1 processes\n", first.out());
    assertEquals(0, first.exitCode(), first.err());
    String overlay =
        file("vatulele.json", "{'site':'vatulele','services':{'parking':{'maxWaiting':200}}}");
    Run diff = run("diff", "vatulele", overlay);
    assertTrue(
        diff.out().contains("services.parking.maxWaiting  500     base    200    vatulele"),
        diff.out());
    assertEquals(0, run("publish", "vatulele", overlay).exitCode());
    Run show = run("show", "vatulele", "--prefix", "services.parking.maxWaiting");
    assertTrue(show.out().contains("services.parking.maxWaiting  200    vatulele"), show.out());
    assertEquals("base unchanged\n", run("publish", "base", base(500)).out());
    assertEquals(0, run("publish", "base", base(600), "--note", "more").exitCode());
    Run back = run("publish", "base", "--from-revision", "1");
    assertEquals("base accepted as revision 4\n", back.out(), back.err());
    JsonNode history = run("history", "--json").json();
    assertEquals(4, history.path("versions").size());
    assertEquals("as in revision 1", history.at("/versions/3/note").asText());
    assertEquals("ana", history.at("/versions/0/author").asText());
    assertEquals(3, run("publish", "vatulele", "--from-revision", "1").exitCode());
  }

  @Test
  void errorsArePrintedInOneLine() throws IOException {
    Run rule = run("publish", "base", base(-1));
    assertEquals(3, rule.exitCode());
    assertEquals(
        "invalid-content: base: services.parking.maxWaiting: must be at least 0, is -1\n",
        rule.err());
    Run json = run("publish", "base", file("cut.json", "{'a':"));
    assertEquals(2, json.exitCode());
    assertTrue(json.err().contains("cut.json: not JSON"), json.err());
    assertEquals(1, json.err().lines().count());
    Run missing = run("publish", "base", directory.resolve("none.json").toString());
    assertEquals(2, missing.exitCode());
    assertEquals(0, run("publish", "base", base(1)).exitCode());
    assertEquals(0, run("publish", "base", base(2)).exitCode());
    Run conflict = run("publish", "base", base(3), "--expect", "1", "--author", "ana");
    assertEquals(3, conflict.exitCode());
    assertTrue(conflict.err().startsWith("conflict: base: was changed by "), conflict.err());
    Run both = run("publish", "base");
    assertEquals(2, both.exitCode());
    assertEquals(1, both.err().lines().count(), both.err());
  }

  @Test
  void checkDoesNotPublish() throws IOException {
    assertEquals(0, run("publish", "base", base(5), "--check").exitCode());
    assertEquals(3, run("publish", "base", base(-5), "--check").exitCode());
    assertEquals(0, fixture.fold.state().revision());
  }

  /**
   * A side process hangs and does not apply the new revision. The output must name the process and
   * say that the publish was accepted, instead of reporting a failure.
   */
  @Test
  void waitNamesTheProcessWithTheOldRevision() throws IOException {
    fixture.otherMembers.add(new ProcessMember("vm-7", "side", "suva", UNREACHABLE, 0, false));
    Run run = run("publish", "base", base(5), "--wait", "--wait-timeout", "300");
    assertEquals(6, run.exitCode());
    assertEquals(
        "base accepted as revision 1\nnot yet in force in vm-7 (at revision 0)\n", run.out());
  }

  @Test
  void publishDuringAnOutageIsNotDoneOrUnknown() throws IOException {
    fixture.log.setFaults(LogFaults.none().withDown(true));
    Run run = run("publish", "base", base(5), "--timeout", "20000");
    assertTrue(run.exitCode() == 4 || run.exitCode() == 5, run.exitCode() + " " + run.err());
    assertEquals(0, fixture.fold.state().revision());
  }

  @Test
  void nextEntryIsTriedWhenOneIsDown() throws IOException {
    String entries = UNREACHABLE + "," + fixture.address();
    assertEquals(0, fixture.run("publish", "base", base(5), "-e", entries).exitCode());
    assertEquals(0, fixture.run("show", "-e", entries).exitCode());
    assertEquals(4, fixture.run("show", "-e", UNREACHABLE).exitCode());
    assertEquals(2, fixture.run("show", "-e", "nonsense").exitCode());
  }

  @Test
  void timelineMergesFiltersAndNamesUnreachableProcesses() {
    fixture.otherMembers.add(new ProcessMember("vm-7", "side", "suva", UNREACHABLE, 0, false));
    fixture.events.record(Event.of(EventKind.REQUEST_ARRIVED).withRequest("r-1").withCaller("ana"));
    fixture.events.record(Event.of(EventKind.REQUEST_ARRIVED).withRequest("r-2"));
    fixture.events.record(
        Event.of(EventKind.REQUEST_REFUSED).withRequest("r-1").withDetail("queue is full"));
    Run run = run("timeline", "--request", "r-1");
    assertEquals(0, run.exitCode());
    assertEquals(2, run.out().lines().count(), run.out());
    assertTrue(
        run.out().contains("request-refused          request=r-1 (queue is full)"), run.out());
    assertTrue(run.err().contains("no events of vm-7"), run.err());
    Run explain = run("explain", "request:r-1");
    assertTrue(explain.out().contains("queue is full"), explain.out());
  }

  @Test
  void exitCodeShowsTheOutcomeOfAJob() throws IOException {
    fixture.server.registerSynchronous("POST", "/jobs", request -> Result.ok(job(0, false)));
    fixture.server.registerSynchronous(
        "GET",
        "/jobs/{name}",
        request ->
            request.path("name").equals("payout")
                ? Result.ok(job(1, true))
                : Result.failed(ErrorKind.NOT_FOUND, "no job is called " + request.path("name")));
    String job = file("job.json", "{'name':'payout'}");
    assertEquals(0, run("submit", job).exitCode());
    Run waited = run("submit", job, "--wait");
    assertEquals(7, waited.exitCode());
    assertTrue(waited.out().endsWith("1 failed; ended\n"), waited.out());
    Run unknown = run("status", "nothing");
    assertEquals(3, unknown.exitCode());
    assertEquals("not-found: no job is called nothing\n", unknown.err());
  }

  /**
   * A script submits a job and waits; the entry dies and the next one has not read the job yet.
   * Failing with "no such job" would make the script submit it again under another name.
   */
  @Test
  void waitContinuesWhenAnEntryDoesNotKnowTheJobYet() throws IOException {
    AtomicInteger requests = new AtomicInteger();
    fixture.server.registerSynchronous("POST", "/jobs", request -> Result.ok(job(0, false)));
    fixture.server.registerSynchronous(
        "GET",
        "/jobs/{name}",
        request ->
            requests.incrementAndGet() < 3
                ? Result.failed(ErrorKind.NOT_FOUND, "no job is called payout")
                : Result.ok(job(0, true)));
    Run waited = run("submit", file("job.json", "{'name':'payout'}"), "--wait");
    assertEquals(0, waited.exitCode(), waited.err());
    assertEquals(3, requests.get());
  }

  private static OperatorResponse job(int failed, boolean ended) {
    ObjectNode node = Json.object();
    node.put("name", "payout").put("count", 2).put("failed", failed).put("ended", ended);
    return OperatorResponse.ok(node);
  }

  @Test
  void completionIsGenerated() {
    Run run = fixture.run("generate-completion");
    assertEquals(0, run.exitCode());
    assertTrue(run.out().contains("_complete_marigoldsail"), run.err());
  }
}
