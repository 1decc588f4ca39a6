package io.marigoldsail.daemon.dispatch;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.guard.TailWindow;
import io.marigoldsail.time.MonotonicClock;
import java.util.function.Consumer;

/** A {@link TargetCommand} whose answers are timed for the VM's guard. */
public final class MeasuredTarget implements Target {
  private final Target target;
  private final TailWindow window;
  private final MonotonicClock clock;

  /**
   * Creates a measured view of a target.
   *
   * @param target the target
   * @param window where the time of each whole answer goes
   * @param clock the clock of the window
   */
  public MeasuredTarget(Target target, TailWindow window, MonotonicClock clock) {
    this.target = requireNonNull(target, "target");
    this.window = requireNonNull(window, "window");
    this.clock = requireNonNull(clock, "clock");
  }

  @Override
  public void send(TargetRequest request, Consumer<TargetOutcome> ended) {
    long sentAt = clock.nanos();
    target.send(
        request,
        outcome -> {
          if (outcome instanceof TargetOutcome.Responded) {
            long now = clock.nanos();
            window.add(now - sentAt, now);
          }
          ended.accept(outcome);
        });
  }

  @Override
  public void probe(Consumer<TargetHealth> heard) {
    target.probe(heard);
  }

  @Override
  public void close() {
    target.close();
  }
}
