package io.marigoldsail.daemon.dispatch;

import java.util.function.Consumer;

/**
 * The target beside a side process.
 *
 * <p>Narrow, so that another way to reach targets, or a fake, can stand in. Safe for any thread.
 */
public interface Target extends AutoCloseable {
  /**
   * Hands the request to the target.
   *
   * @param request the request
   * @param ended told exactly once, on any thread, what came of it
   */
  void send(TargetRequest request, Consumer<TargetOutcome> ended);

  /**
   * Asks whether the target takes work.
   *
   * @param heard told exactly once, on any thread
   */
  void probe(Consumer<TargetHealth> heard);

  /** Gives up all connections. */
  @Override
  void close();
}
