package io.marigoldsail.daemon.configuration;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import io.marigoldsail.configuration.ConfigurationFold;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.error.Result;
import io.marigoldsail.settings.HostPort;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;

/**
 * Fetches the configuration from peer processes while the log is unavailable.
 *
 * <p>Without it, a process that starts during a log outage would run with the defaults, and one
 * that was behind when the outage began would keep an old revision. The process restores the
 * highest revision of its peers; peers that are behind have no effect because a fold's revision
 * never decreases. When the log is available again it is the only source, and records that the
 * restored state already contains are skipped.
 */
public final class PeerCatchUp implements AutoCloseable {
  private static final EventLog LOG = EventLog.of(PeerCatchUp.class);
  private static final long POLL_PERIOD_MILLIS = 1_000;

  private final List<HostPort> peers;
  private final BiFunction<HostPort, String, Result<JsonNode>> fetch;
  private final ConfigurationFold fold;
  private final BooleanSupplier logOutage;
  private ScheduledExecutorService scheduler;
  private boolean unknownLogged;

  /**
   * Creates an instance that does not poll yet.
   *
   * @param peers the operators' addresses of other processes
   * @param fetch fetches a path with query from a peer; may block
   * @param fold the configuration state to update
   * @param logOutage returns whether the log is currently unavailable
   */
  public PeerCatchUp(
      List<HostPort> peers,
      BiFunction<HostPort, String, Result<JsonNode>> fetch,
      ConfigurationFold fold,
      BooleanSupplier logOutage) {
    this.peers = List.copyOf(peers);
    this.fetch = requireNonNull(fetch, "fetch");
    this.fold = requireNonNull(fold, "fold");
    this.logOutage = requireNonNull(logOutage, "logOutage");
  }

  /** Starts polling every second on a separate daemon thread. */
  public synchronized void start() {
    scheduler =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, "peer-catch-up");
              thread.setDaemon(true);
              return thread;
            });
    var unused =
        scheduler.scheduleWithFixedDelay(
            this::poll, POLL_PERIOD_MILLIS, POLL_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Fetches the configuration from all peers if the log is unavailable. */
  void poll() {
    if (!logOutage.getAsBoolean()) {
      unknownLogged = false;
      return;
    }
    long before = fold.state().revision();
    for (HostPort peer : peers) {
      restoreFrom(peer);
    }
    long now = fold.state().revision();
    if (now > before) {
      LOG.info(LogLine.of("configuration-taken-from-peers").with("revision", now));
    }
    if (now == 0 && !unknownLogged) {
      unknownLogged = true;
      LOG.warning(LogLine.of("configuration-unknown").with("peers", peers.size()));
    }
  }

  private void restoreFrom(HostPort peer) {
    String path = "/configuration/state?after=" + fold.state().revision();
    Result<JsonNode> response = fetch.apply(peer, path);
    if (!response.isOk() || response.value().isEmpty()) {
      return;
    }
    try {
      fold.restore(response.value());
    } catch (IllegalArgumentException e) {
      LOG.warning(LogLine.of("peer-state-refused").with("peer", peer).withError(e));
    }
  }

  @Override
  public synchronized void close() {
    if (scheduler != null) {
      scheduler.shutdownNow();
    }
  }
}
