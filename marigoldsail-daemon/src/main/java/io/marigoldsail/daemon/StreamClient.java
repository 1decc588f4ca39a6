package io.marigoldsail.daemon;

import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.log.AppendSettings;
import io.marigoldsail.log.EntryIdGenerator;
import io.marigoldsail.log.Fold;
import io.marigoldsail.log.FollowerSettings;
import io.marigoldsail.log.HistoryReplacementPolicy;
import io.marigoldsail.log.LogAppender;
import io.marigoldsail.log.LogService;
import io.marigoldsail.log.SnapshotSettings;
import io.marigoldsail.log.SnapshotWriter;
import io.marigoldsail.log.StreamFollower;
import io.marigoldsail.log.StreamListener;
import io.marigoldsail.time.MonotonicClock;
import io.marigoldsail.timeline.Event;
import io.marigoldsail.timeline.EventKind;
import io.marigoldsail.timeline.EventRecorder;
import java.util.SplittableRandom;

/** One stream as a process uses it: a follower and, in an entry, an appender and snapshots. */
final class StreamClient implements AutoCloseable {
  private static final EventLog LOG = EventLog.of(StreamClient.class);

  /** What the streams of one process have in common. */
  record Dependencies(
      LogService log,
      String process,
      long incarnation,
      MonotonicClock clock,
      EventRecorder events,
      StreamStatusReporter streams) {}

  private final StreamFollower follower;
  private final LogAppender appender;

  private StreamClient(StreamFollower follower, LogAppender appender) {
    this.follower = follower;
    this.appender = appender;
  }

  /** Returns a client that only reads. */
  static StreamClient reader(Dependencies shared, String stream, Fold fold) {
    return new StreamClient(newFollower(shared, stream, fold), null);
  }

  /** Returns a client that also appends, and takes its turn at writing snapshots. */
  static StreamClient writer(Dependencies shared, String stream, Fold fold) {
    StreamFollower follower = newFollower(shared, stream, fold);
    LogAppender appender =
        new LogAppender(
            shared.log(),
            follower,
            EntryIdGenerator.of(shared.process(), shared.incarnation()),
            AppendSettings.defaults(),
            shared.clock(),
            new SplittableRandom());
    SnapshotWriter.attach(
        follower, appender, SnapshotSettings.defaults(), shared.clock(), new SplittableRandom());
    return new StreamClient(follower, appender);
  }

  private static StreamFollower newFollower(Dependencies shared, String stream, Fold fold) {
    StreamFollower follower =
        new StreamFollower(
            shared.log(),
            stream,
            fold,
            FollowerSettings.defaults(),
            shared.clock(),
            new SplittableRandom());
    follower.addListener(new StreamEventRecorder(stream, shared));
    shared.streams().add(follower);
    return follower;
  }

  StreamFollower follower() {
    return follower;
  }

  LogAppender appender() {
    return appender;
  }

  void start() {
    follower.start();
    if (appender != null) {
      appender.start();
    }
  }

  @Override
  public void close() {
    if (appender != null) {
      appender.close();
    }
    follower.close();
  }

  /** Puts outages and other histories into the log, the metrics and on the time line. */
  private record StreamEventRecorder(String stream, Dependencies shared) implements StreamListener {
    private void record(EventKind kind, String detail) {
      shared.events().record(Event.of(kind).withDetail("stream " + stream + detail));
    }

    @Override
    public void outageBegan(String detail) {
      LOG.warning(LogLine.of("log-outage-began").with("stream", stream).with("detail", detail));
      record(EventKind.LOG_OUTAGE_BEGAN, ": " + detail);
    }

    @Override
    public void outageEnded() {
      LOG.info(LogLine.of("log-outage-ended").with("stream", stream));
      record(EventKind.LOG_OUTAGE_ENDED, "");
    }

    @Override
    public void historyReplaced(HistoryReplacementPolicy reaction, String detail) {
      shared.streams().countHistoryReplaced(stream);
      record(EventKind.LOG_HISTORY_REPLACED, ": " + detail + "; " + reaction);
    }

    @Override
    public void historyReturned() {
      record(EventKind.LOG_HISTORY_RETURNED, "");
    }
  }
}
