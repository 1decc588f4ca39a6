package io.marigoldsail.daemon;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.link.EntryLinks;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.operators.ProcessMember;
import io.marigoldsail.log.StreamListener;
import io.marigoldsail.membership.Announcement;
import io.marigoldsail.membership.EntryDirectory;
import io.marigoldsail.membership.EntryPresence;
import io.marigoldsail.settings.EntrySettings;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Publishes the presence of this entry on the stream {@code members} and tracks the other entries.
 *
 * <p>Thread-safe.
 */
final class EntryRoster implements AutoCloseable {
  /** The announcement period. Others remove this entry after three lost announcements. */
  private static final long REPEAT_NANOS = TimeUnit.SECONDS.toNanos(5);

  private static final long KEEP_NANOS = TimeUnit.SECONDS.toNanos(16);
  private static final long LOOK_MILLIS = 100;
  private static final long MEMBERS_WAIT_MILLIS = 1_000;

  private final EntrySettings settings;
  private final ProcessBase base;
  private final EntryDirectory directory;
  private final StreamClient stream;
  private long repeatAt;
  private long toldRevision = -1;
  private boolean leaving;

  EntryRoster(EntrySettings settings, ProcessBase runtime) {
    this.settings = requireNonNull(settings, "settings");
    this.base = requireNonNull(runtime, "runtime");
    this.directory = new EntryDirectory(runtime.clock(), KEEP_NANOS);
    this.stream = StreamClient.writer(runtime.shared(), EntryDirectory.STREAM, directory);
    stream.follower().addListener(new AfterOutage());
  }

  void start(ScheduledExecutorService scheduler) {
    repeatAt = base.clock().nanos();
    stream.start();
    var unused =
        scheduler.scheduleWithFixedDelay(
            this::look, LOOK_MILLIS, LOOK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Announces periodically, and immediately on a new revision because operators wait for it. */
  private synchronized void look() {
    long now = base.clock().nanos();
    long revision = base.configurationRevision();
    if (now >= repeatAt || revision != toldRevision) {
      repeatAt = now + REPEAT_NANOS;
      toldRevision = revision;
      tell(false);
    }
  }

  private void tell(boolean stopped) {
    EntryPresence presence =
        new EntryPresence(
            settings.name(),
            base.incarnation(),
            settings.zone(),
            settings.processesAddress().toString(),
            settings.operatorsAddress().toString(),
            base.configurationRevision(),
            leaving,
            stopped);
    // Expires after one period: a lost announcement is repeated, and a delayed one is stale.
    var unused =
        stream
            .appender()
            .append(EntryPresence.TYPE, presence.write(), base.clock().nanos() + REPEAT_NANOS);
  }

  /** Announces that this entry is shutting down. */
  synchronized void leave() {
    leaving = true;
    tell(true);
  }

  /** Returns the addresses on which the other entries accept side processes. */
  List<String> otherProcessesAddresses() {
    return directory.entries().stream()
        .filter(entry -> !entry.name().equals(settings.name()))
        .map(EntryPresence::processesAddress)
        .toList();
  }

  /** Returns all live processes known to this entry, itself first. Waits for the loop. */
  List<ProcessMember> members(EntryLinks links, LinkLoop loop) {
    List<ProcessMember> members = new ArrayList<>();
    members.add(
        new ProcessMember(
            settings.name(),
            settings.role(),
            settings.zone(),
            settings.operatorsAddress().toString(),
            base.configurationRevision(),
            leavingNow()));
    directory.entries().stream()
        .filter(entry -> !entry.name().equals(settings.name()))
        .forEach(entry -> members.add(member(entry)));
    CompletableFuture<List<Announcement>> sides = new CompletableFuture<>();
    loop.run(() -> sides.complete(links.members().members()));
    sides
        // A list without side processes would report a revision as in force everywhere too early.
        .orTimeout(MEMBERS_WAIT_MILLIS, TimeUnit.MILLISECONDS)
        .join()
        .forEach(side -> members.add(member(side)));
    return members;
  }

  private synchronized boolean leavingNow() {
    return leaving;
  }

  private static ProcessMember member(EntryPresence entry) {
    return new ProcessMember(
        entry.name(),
        "entry",
        entry.zone(),
        entry.operatorsAddress(),
        entry.revision(),
        entry.leaving());
  }

  private static ProcessMember member(Announcement side) {
    return new ProcessMember(
        side.vm(),
        "side",
        side.zone(),
        side.operatorsAddress(),
        side.configurationRevision(),
        side.leaving());
  }

  @Override
  public void close() {
    stream.close();
  }

  private final class AfterOutage implements StreamListener {
    @Override
    public void outageEnded() {
      directory.extendAll();
    }
  }
}
