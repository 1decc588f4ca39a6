package io.marigoldsail.daemon.dispatch;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.guard.TailWindow;
import io.marigoldsail.time.MonotonicClock;
import java.util.function.Consumer;

/** A {@link Target} that records response times for the guard of the VM's tail latency. */
public final class MeasuredTarget implements Target {
  private final Target target;
  private final TailWindow window;
  private final MonotonicClock clock;

  /**
   * Creates a target that delegates to another one.
   *
   * @param target the target to measure
   * @param window records the time of each complete response
   * @param clock the clock of the window
   */
  public MeasuredTarget(Target target, TailWindow window, MonotonicClock clock) {
    this.target = requireNonNull(target, "target");
    this.window = requireNonNull(window, "window");
    this.clock = requireNonNull(clock, "clock");
  }

  @Override
  public void send(TargetRequest request, Consumer<TargetOutcome> onEnded) {
    long sentAt = clock.nanos();
    target.send(
        request,
        outcome -> {
          if (outcome instanceof TargetOutcome.Responded) {
            long now = clock.nanos();
            window.add(now - sentAt, now);
          }
          onEnded.accept(outcome);
        });
  }

  @Override
  public void probe(Consumer<TargetHealth> onResult) {
    target.probe(onResult);
  }

  @Override
  public void close() {
    target.close();
  }
}
