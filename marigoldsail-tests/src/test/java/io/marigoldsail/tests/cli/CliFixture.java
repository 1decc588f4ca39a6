package io.marigoldsail.tests.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.marigoldsail.cli.MarigoldsailCommand;
import io.marigoldsail.configuration.ConfigurationCheck;
import io.marigoldsail.configuration.ConfigurationFold;
import io.marigoldsail.configuration.ConfigurationPublisher;
import io.marigoldsail.daemon.configuration.ConfigurationRoutes;
import io.marigoldsail.daemon.observe.Metrics;
import io.marigoldsail.daemon.operators.EventRoutes;
import io.marigoldsail.daemon.operators.MemberRoutes;
import io.marigoldsail.daemon.operators.OperatorServer;
import io.marigoldsail.daemon.operators.ProcessMember;
import io.marigoldsail.json.Json;
import io.marigoldsail.log.AppendSettings;
import io.marigoldsail.log.EntryIdGenerator;
import io.marigoldsail.log.FollowerSettings;
import io.marigoldsail.log.LogAppender;
import io.marigoldsail.log.StreamFollower;
import io.marigoldsail.settings.HostPort;
import io.marigoldsail.testlib.platform.FakeLogService;
import io.marigoldsail.time.MonotonicClock;
import io.marigoldsail.time.WallClock;
import io.marigoldsail.timeline.EventBuffer;
import io.marigoldsail.timeline.HybridClock;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** An in-process operators' API of one entry, and the command-line tool run against it. */
final class CliFixture implements AutoCloseable {
  /** The result of one run of the tool. */
  record Run(int exitCode, String out, String err) {
    JsonNode json() {
      return Json.parse("out", out.getBytes(StandardCharsets.UTF_8)).value();
    }
  }

  final FakeLogService log = new FakeLogService();
  final HybridClock hybridClock = new HybridClock(WallClock.system());
  final EventBuffer events = new EventBuffer("entry-1", hybridClock, 1 << 10);
  final ConfigurationCheck check = new ConfigurationCheck();
  final ConfigurationFold fold = new ConfigurationFold(check);
  final List<ProcessMember> otherMembers = new ArrayList<>();
  final OperatorServer server;
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final StreamFollower follower;
  private final LogAppender appender;

  CliFixture() {
    MonotonicClock clock = MonotonicClock.system();
    follower =
        new StreamFollower(
            log,
            "configuration",
            fold,
            FollowerSettings.defaults(),
            clock,
            new SplittableRandom(1));
    appender =
        new LogAppender(
            log,
            follower,
            EntryIdGenerator.of("entry-1", 1),
            AppendSettings.defaults(),
            clock,
            new SplittableRandom(2));
    ConfigurationPublisher publisher =
        new ConfigurationPublisher(
            fold,
            check,
            (type, body) -> appender.append(type, body),
            events,
            clock,
            WallClock.system(),
            executor,
            "entry-1/1");
    server = new OperatorServer(new HostPort("127.0.0.1", 0), new Metrics());
    new ConfigurationRoutes(fold, publisher, this::members, clock).registerOn(server);
    new MemberRoutes(this::members).registerOn(server);
    new EventRoutes(events).registerOn(server);
    server.start().value();
    follower.start();
    appender.start();
  }

  private List<ProcessMember> members() {
    List<ProcessMember> members = new ArrayList<>(otherMembers);
    long revision = fold.state().revisionInForce();
    members.add(new ProcessMember("entry-1", "entry", "suva", address(), revision, false));
    return members;
  }

  String address() {
    return "127.0.0.1:" + server.port();
  }

  Run run(String... arguments) {
    StringWriter out = new StringWriter();
    StringWriter err = new StringWriter();
    int exitCode = MarigoldsailCommand.run(new PrintWriter(out), new PrintWriter(err), arguments);
    return new Run(exitCode, out.toString(), err.toString());
  }

  @Override
  public void close() {
    appender.close();
    follower.close();
    server.close();
    executor.shutdownNow();
  }
}
