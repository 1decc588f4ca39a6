package io.marigoldsail.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.marigoldsail.daemon.platform.HttpLogService;
import io.marigoldsail.daemon.platform.PlatformClient;
import io.marigoldsail.error.Result;
import io.marigoldsail.testlib.fault.TcpFaultProxy;
import io.marigoldsail.testlib.fault.TcpFaultProxy.Direction;
import io.marigoldsail.testlib.platform.StandInLogService;
import io.marigoldsail.time.MonotonicClock;
import java.net.URI;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

final class UnresponsiveConnectionTest {
  private static final String STREAM = "configuration";
  private static final long TIMEOUT_MILLIS = 400;
  private static final long TIMEOUT_SECONDS = 60;

  private final MonotonicClock clock = MonotonicClock.system();

  @ParameterizedTest
  @EnumSource(Direction.class)
  void switchesToNewConnections(Direction direction) throws Exception {
    // A middlebox loses the state of all connections between a process and the log: they stay open
    // but carry no data, while new connections work. A reader that kept waiting on such a
    // connection
    // would show an old configuration forever. Bytes are dropped in the request or the response.
    try (StandInLogService service = new StandInLogService("127.0.0.1", 0).start();
        TcpFaultProxy proxy = new TcpFaultProxy(URI.create(service.address()).getPort());
        PlatformClient client = PlatformClient.start("silent")) {
      HttpLogService log =
          new HttpLogService(client, "http://127.0.0.1:" + proxy.port(), TIMEOUT_MILLIS);
      CountingFold fold = new CountingFold();
      SplittableRandom random = new SplittableRandom(1);
      FollowerSettings settings = new FollowerSettings(50, 200, 1, 10, 100, false);
      try (StreamFollower follower =
              new StreamFollower(log, STREAM, fold, settings, clock, random);
          LogAppender appender =
              new LogAppender(
                  log,
                  follower,
                  EntryIdGenerator.of("entry-1", 1),
                  AppendSettings.defaults(),
                  clock,
                  random)) {
        follower.start();
        appender.start();
        assertTrue(append(appender).isOk());

        proxy.blackholeOpenConnections(direction);

        assertTrue(append(appender).isOk());
        assertTrue(append(appender).isOk());
        assertEquals(3, fold.count());
      }
    }
  }

  private Result<Position> append(LogAppender appender) throws Exception {
    long deadline = clock.nanos() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    return appender
        .append("t", JsonNodeFactory.instance.objectNode(), deadline)
        .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }
}
