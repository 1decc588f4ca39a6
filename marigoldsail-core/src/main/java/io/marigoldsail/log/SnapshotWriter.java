package io.marigoldsail.log;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import io.marigoldsail.time.MonotonicClock;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Writes a stream's snapshots into the stream itself when it is this process's turn.
 *
 * <p>Works in the follower's thread, so that state, marks and offset belong together. Reads go on
 * after as long as it takes to turn the state into JSON.
 */
public final class SnapshotWriter implements StreamListener {
  private static final Logger LOGGER = System.getLogger(SnapshotWriter.class.getName());

  private final StreamFollower follower;
  private final LogAppender appender;
  private final MonotonicClock clock;
  private final SnapshotSchedule schedule;
  private long snapshotCount;

  private SnapshotWriter(
      StreamFollower follower,
      LogAppender appender,
      SnapshotSettings settings,
      MonotonicClock clock,
      RandomGenerator random) {
    this.follower = requireNonNull(follower, "follower");
    this.appender = requireNonNull(appender, "appender");
    this.clock = requireNonNull(clock, "clock");
    this.schedule = new SnapshotSchedule(settings, random, clock.nanos());
  }

  /**
   * Lets a process take its turn from now on.
   *
   * @param follower the stream's reader, not started yet
   * @param appender the stream's appender
   * @param settings when to write
   * @param clock the clock of the schedule
   * @param random where the moments are drawn from
   */
  public static void attach(
      StreamFollower follower,
      LogAppender appender,
      SnapshotSettings settings,
      MonotonicClock clock,
      RandomGenerator random) {
    follower.addListener(new SnapshotWriter(follower, appender, settings, clock, random));
  }

  @Override
  public void snapshotRead(long through) {
    schedule.recordSnapshot(through, clock.nanos());
  }

  @Override
  public void snapshotPartRead() {
    schedule.recordSnapshotPart(clock.nanos());
  }

  @Override
  public void restored(StreamSnapshot snapshot) {
    schedule.recordSnapshot(snapshot.nextOffset(), clock.nanos());
  }

  @Override
  public void historyReplaced(HistoryReplacementPolicy reaction, String detail) {
    schedule.historyReplaced(clock.nanos());
  }

  @Override
  public void pageApplied(StreamStatus status) {
    if (!schedule.shouldWrite(status, clock.nanos())) {
      return;
    }
    StreamSnapshot snapshot = follower.snapshotInCallback();
    snapshotCount++;
    String id = appender.writerId() + "/snapshot/" + snapshotCount;
    List<JsonNode> parts = SnapshotParts.split(snapshot, id);
    for (JsonNode part : parts) {
      // A part that is refused or lost leaves the snapshot incomplete: it stays due.
      var unused = appender.append(SnapshotParts.TYPE, part);
    }
    LOGGER.log(
        Level.INFO,
        "event=log-snapshot-written stream={0} through={1,number,#} parts={2}",
        follower.stream(),
        snapshot.nextOffset(),
        parts.size());
  }
}
