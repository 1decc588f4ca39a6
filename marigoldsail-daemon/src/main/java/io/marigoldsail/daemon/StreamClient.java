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

/** A process's access to one stream: a follower and, in an entry, an appender and snapshots. */
final class StreamClient implements AutoCloseable {
  private static final EventLog LOG = EventLog.of(StreamClient.class);

  /** The dependencies common to all stream clients of a process. */
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

  /** Returns a client that only reads the stream. */
  static StreamClient reader(Dependencies dependencies, String stream, Fold fold) {
    return new StreamClient(newFollower(dependencies, stream, fold), null);
  }

  /** Returns a client that also appends records and takes part in writing snapshots. */
  static StreamClient writer(Dependencies dependencies, String stream, Fold fold) {
    StreamFollower follower = newFollower(dependencies, stream, fold);
    LogAppender appender =
        new LogAppender(
            dependencies.log(),
            follower,
            EntryIdGenerator.of(dependencies.process(), dependencies.incarnation()),
            AppendSettings.defaults(),
            dependencies.clock(),
            new SplittableRandom());
    SnapshotWriter.attach(
        follower,
        appender,
        SnapshotSettings.defaults(),
        dependencies.clock(),
        new SplittableRandom());
    return new StreamClient(follower, appender);
  }

  private static StreamFollower newFollower(Dependencies dependencies, String stream, Fold fold) {
    StreamFollower follower =
        new StreamFollower(
            dependencies.log(),
            stream,
            fold,
            FollowerSettings.defaults(),
            dependencies.clock(),
            new SplittableRandom());
    follower.addListener(new StreamEventRecorder(stream, dependencies));
    dependencies.streams().add(follower);
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

  /** Records outages and replaced histories in the log, the metrics and the event timeline. */
  private record StreamEventRecorder(String stream, Dependencies dependencies)
      implements StreamListener {
    private void record(EventKind kind, String detail) {
      dependencies.events().record(Event.of(kind).withDetail("stream " + stream + detail));
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
      dependencies.streams().countHistoryReplaced(stream);
      record(EventKind.LOG_HISTORY_REPLACED, ": " + detail + "; " + reaction);
    }

    @Override
    public void historyReturned() {
      record(EventKind.LOG_HISTORY_RETURNED, "");
    }
  }
}
