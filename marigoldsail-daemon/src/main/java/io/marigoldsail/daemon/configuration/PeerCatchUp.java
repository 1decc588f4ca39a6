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
 * Takes the configuration from other processes while the log does not answer.
 *
 * <p>Guards against a process that starts during an outage and serves on the defaults, or one that
 * was just behind when the outage began: it asks its peers and takes the highest revision. Peers
 * that are behind do no harm, since a fold never goes back. Once the log answers it is the only
 * source again; what was taken over is passed over there.
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
   * Creates one that does nothing yet.
   *
   * @param peers operators' addresses of other processes
   * @param ask reads a path and query from an address; may block
   * @param fold what is caught up
   * @param logOutage whether the log does not answer at present
   */
  public PeerCatchUp(
      List<HostPort> peers,
      BiFunction<HostPort, String, Result<JsonNode>> ask,
      ConfigurationFold fold,
      BooleanSupplier logOutage) {
    this.peers = List.copyOf(peers);
    this.fetch = requireNonNull(ask, "ask");
    this.fold = requireNonNull(fold, "fold");
    this.logOutage = requireNonNull(logOutage, "logOutage");
  }

  /** Looks after the log every second from now on, on a thread of its own. */
  public synchronized void start() {
    scheduler =
        Executors.newSingleThreadScheduledExecutor(
            work -> {
              Thread thread = new Thread(work, "peer-catch-up");
              thread.setDaemon(true);
              return thread;
            });
    var unused =
        scheduler.scheduleWithFixedDelay(
            this::poll, POLL_PERIOD_MILLIS, POLL_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Asks all peers if the log does not answer. */
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
    Result<JsonNode> answer = fetch.apply(peer, path);
    if (!answer.isOk() || answer.value().isEmpty()) {
      return;
    }
    try {
      fold.restore(answer.value());
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
