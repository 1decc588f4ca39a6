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
final class EntryMembership implements AutoCloseable {
  /** How often this entry says that it is there; three may be lost before others drop it. */
  private static final long ANNOUNCE_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(5);

  private static final long ENTRY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(16);
  private static final long POLL_PERIOD_MILLIS = 100;
  private static final long SIDE_PROCESSES_TIMEOUT_MILLIS = 1_000;

  private final EntrySettings settings;
  private final ProcessRuntime runtime;
  private final EntryDirectory directory;
  private final StreamClient stream;
  private long nextAnnounceAt;
  private long announcedRevision = -1;
  private boolean draining;

  EntryMembership(EntrySettings settings, ProcessRuntime base) {
    this.settings = requireNonNull(settings, "settings");
    this.runtime = requireNonNull(base, "base");
    this.directory = new EntryDirectory(base.clock(), ENTRY_TIMEOUT_NANOS);
    this.stream = StreamClient.writer(base.streamDependencies(), EntryDirectory.STREAM, directory);
    stream.follower().addListener(new OutageListener());
  }

  void start(ScheduledExecutorService scheduler) {
    nextAnnounceAt = runtime.clock().nanos();
    stream.start();
    var unused =
        scheduler.scheduleWithFixedDelay(
            this::announceIfDue, POLL_PERIOD_MILLIS, POLL_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** A change of the revision is told at once, since operators wait for it. */
  private synchronized void announceIfDue() {
    long now = runtime.clock().nanos();
    long revision = runtime.configurationRevision();
    if (now >= nextAnnounceAt || revision != announcedRevision) {
      nextAnnounceAt = now + ANNOUNCE_PERIOD_NANOS;
      announcedRevision = revision;
      announce(false);
    }
  }

  private void announce(boolean gone) {
    EntryPresence presence =
        new EntryPresence(
            settings.name(),
            runtime.incarnation(),
            settings.zone(),
            settings.processesAddress().toString(),
            settings.operatorsAddress().toString(),
            runtime.configurationRevision(),
            draining,
            gone);
    // Lost ones are repeated; one kept past its time would only tell what is no longer so.
    var unused =
        stream
            .appender()
            .append(
                EntryPresence.TYPE,
                presence.toJson(),
                runtime.clock().nanos() + ANNOUNCE_PERIOD_NANOS);
  }

  /** Tells that this entry is in a planned stop. */
  synchronized void announceDraining() {
    draining = true;
    announce(true);
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
            runtime.configurationRevision(),
            isDraining()));
    directory.entries().stream()
        .filter(entry -> !entry.name().equals(settings.name()))
        .forEach(entry -> members.add(member(entry)));
    CompletableFuture<List<Announcement>> sides = new CompletableFuture<>();
    loop.run(() -> sides.complete(links.members().members()));
    sides
        // Without the side processes the list would say "in force everywhere" too early.
        .orTimeout(SIDE_PROCESSES_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .join()
        .forEach(side -> members.add(member(side)));
    return members;
  }

  private synchronized boolean isDraining() {
    return draining;
  }

  private static ProcessMember member(EntryPresence entry) {
    return new ProcessMember(
        entry.name(),
        "entry",
        entry.zone(),
        entry.operatorsAddress(),
        entry.revision(),
        entry.draining());
  }

  private static ProcessMember member(Announcement side) {
    return new ProcessMember(
        side.vm(),
        "side",
        side.zone(),
        side.operatorsAddress(),
        side.configurationRevision(),
        side.draining());
  }

  @Override
  public void close() {
    stream.close();
  }

  private final class OutageListener implements StreamListener {
    @Override
    public void outageEnded() {
      directory.restartTimeouts();
    }
  }
}
