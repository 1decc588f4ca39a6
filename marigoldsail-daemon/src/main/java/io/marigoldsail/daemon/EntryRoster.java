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
 * Tells the other entries of this one and knows them, over the stream {@code members}.
 *
 * <p>Safe for any thread.
 */
final class EntryRoster implements AutoCloseable {
  /** How often this entry says that it is there; three may be lost before others drop it. */
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

  EntryRoster(EntrySettings settings, ProcessBase base) {
    this.settings = requireNonNull(settings, "settings");
    this.base = requireNonNull(base, "base");
    this.directory = new EntryDirectory(base.clock(), KEEP_NANOS);
    this.stream = StreamClient.writer(base.shared(), EntryDirectory.STREAM, directory);
    stream.follower().addListener(new AfterOutage());
  }

  void start(ScheduledExecutorService scheduler) {
    repeatAt = base.clock().nanos();
    stream.start();
    var unused =
        scheduler.scheduleWithFixedDelay(
            this::look, LOOK_MILLIS, LOOK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** A change of the revision is told at once, since operators wait for it. */
  private synchronized void look() {
    long now = base.clock().nanos();
    long revision = base.configurationRevision();
    if (now >= repeatAt || revision != toldRevision) {
      repeatAt = now + REPEAT_NANOS;
      toldRevision = revision;
      tell(false);
    }
  }

  private void tell(boolean gone) {
    EntryPresence presence =
        new EntryPresence(
            settings.name(),
            base.incarnation(),
            settings.zone(),
            settings.processesAddress().toString(),
            settings.operatorsAddress().toString(),
            base.configurationRevision(),
            leaving,
            gone);
    // Lost ones are repeated; one kept past its time would only tell what is no longer so.
    var unused =
        stream
            .appender()
            .append(EntryPresence.TYPE, presence.write(), base.clock().nanos() + REPEAT_NANOS);
  }

  /** Tells that this entry is in a planned stop. */
  synchronized void leave() {
    leaving = true;
    tell(true);
  }

  /** Returns where side processes reach the other entries. */
  List<String> otherProcessesAddresses() {
    return directory.entries().stream()
        .filter(entry -> !entry.name().equals(settings.name()))
        .map(EntryPresence::processesAddress)
        .toList();
  }

  /** Returns all processes that this entry knows to live, itself first. */
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
        // Without the side processes the list would say "in force everywhere" too early.
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
