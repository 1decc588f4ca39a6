package io.marigoldsail.log;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import io.marigoldsail.time.MonotonicClock;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Appends snapshots of a stream's state to the stream itself when the schedule selects this
 * process.
 *
 * <p>Runs on the follower's thread, so that state, writer sequences and offset are consistent.
 * Reading pauses while the state is converted to JSON.
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
   * Registers a snapshot writer with the follower.
   *
   * @param follower the stream's reader, not started yet
   * @param appender the stream's appender
   * @param settings when snapshots are due
   * @param clock the clock of the schedule
   * @param random the source of the random delays
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
  public void snapshotRead(long nextOffset) {
    schedule.recordSnapshot(nextOffset, clock.nanos());
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
      // If a part is refused or lost, the snapshot stays incomplete and due.
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
