package io.marigoldsail.log;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.base.Splitter;
import io.marigoldsail.daemon.platform.HttpLogService;
import io.marigoldsail.daemon.platform.PlatformClient;
import io.marigoldsail.error.Result;
import io.marigoldsail.testlib.platform.StandInLogService;
import io.marigoldsail.time.MonotonicClock;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;

/**
 * One process of {@link RelayReadBenchmark}: follows a stream from the first of its sources that
 * responds, and prints {@code OFFSET LATENCY_MICROS NOW_MILLIS} for each applied entry.
 *
 * <p>Arguments: the sources, separated by commas, and the port to relay on, or 0 for none. A relay
 * retains the records that it has read and serves them like the log.
 */
public final class RelayReadMember {
  private static final String STREAM = "trial";
  private static final long TIMEOUT_MILLIS = 2_000;

  private RelayReadMember() {}

  /** Reads from one source and switches to the next one when a read fails. */
  private static final class Sources implements LogService {
    private final List<LogService> sources = new ArrayList<>();
    private int current;

    @Override
    public Result<Long> append(String stream, byte[] record) {
      throw new UnsupportedOperationException("members only read");
    }

    @Override
    public Result<LogPage> read(String stream, long from, int max, long waitMillis) {
      Result<LogPage> page = sources.get(current).read(stream, from, max, waitMillis);
      if (!page.isOk()) {
        current = (current + 1) % sources.size();
      }
      return page;
    }
  }

  /** Retains the records read, for members that read from this one. */
  private record Relay(LogService source, StandInLogService server) implements LogService {
    @Override
    public Result<Long> append(String stream, byte[] record) {
      return source.append(stream, record);
    }

    @Override
    public Result<LogPage> read(String stream, long from, int max, long waitMillis) {
      Result<LogPage> page = source.read(stream, from, max, waitMillis);
      if (page.isOk()) {
        for (LogRecord record : page.value().records()) {
          if (record.offset() == server.log().nextOffset(stream)) {
            server.log().append(stream, record.bytes());
          }
        }
      }
      return page;
    }
  }

  private static final class PrintingFold implements Fold {
    @Override
    public void apply(LogEntry entry) {
      long micros = System.currentTimeMillis() * 1_000;
      long latency = micros - entry.body().path("at").asLong();
      System.out.println(entry.position().offset() + " " + latency + " " + micros / 1_000);
    }

    @Override
    public JsonNode snapshot() {
      return JsonNodeFactory.instance.objectNode();
    }

    @Override
    public void restore(JsonNode snapshot) {}
  }

  /** Runs until the process is killed. */
  public static void main(String[] arguments) throws InterruptedException {
    PlatformClient client = PlatformClient.start("member");
    Sources sources = new Sources();
    for (String address : Splitter.on(',').split(arguments[0])) {
      sources.sources.add(new HttpLogService(client, address, TIMEOUT_MILLIS));
    }
    int port = Integer.parseInt(arguments[1]);
    LogService log =
        port == 0 ? sources : new Relay(sources, new StandInLogService("127.0.0.1", port).start());
    new StreamFollower(
            log,
            STREAM,
            new PrintingFold(),
            FollowerSettings.defaults(),
            MonotonicClock.system(),
            new SplittableRandom())
        .start();
    System.out.println("ready");
    new CountDownLatch(1).await();
  }
}
