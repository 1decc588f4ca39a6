package io.marigoldsail.daemon.dispatch;

import java.util.function.Consumer;

/**
 * The target that a side process sends requests to.
 *
 * <p>Implemented for HTTP by {@link TargetClient} and by a fake in tests. Safe for any thread.
 */
public interface Target extends AutoCloseable {
  /**
   * Sends a request to the target.
   *
   * @param request the request
   * @param onEnded called exactly once, on any thread, with the outcome
   */
  void send(TargetRequest request, Consumer<TargetOutcome> onEnded);

  /**
   * Probes whether the target accepts work.
   *
   * @param onResult called exactly once, on any thread
   */
  void probe(Consumer<TargetHealth> onResult);

  /** Closes all connections. */
  @Override
  void close();
}
