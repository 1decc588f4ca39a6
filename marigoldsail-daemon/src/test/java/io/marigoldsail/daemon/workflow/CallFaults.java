package io.marigoldsail.daemon.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** What happens to calls from a side process to its worker, in windows of time. One thread. */
final class CallFaults {
  /** What is called. */
  enum Call {
    START,
    STOP,
    LIST
  }

  /** What happens to a call. */
  enum Fate {
    ANSWERED,
    /** It is executed, and the response does not arrive. */
    RESPONSE_LOST,
    /** It gets no response and is executed seconds later, also after its sender has died. */
    EXECUTED_LATE,
    /** It is never executed, and the sender cannot know. */
    RESET,
    /** The worker says that it is unavailable and does nothing. */
    REFUSED
  }

  /**
   * Faults in a window of time.
   *
   * @param starts percentage of starts that get no response
   * @param stops percentage of stops that get no response
   * @param lists percentage of listings that get no response
   * @param late percentage of those that are executed late
   */
  record Window(long from, long until, int starts, int stops, int lists, int late) {
    int percent(Call call) {
      return switch (call) {
        case START -> starts;
        case STOP -> stops;
        case LIST -> lists;
      };
    }
  }

  private static final int REFUSED_ONE_IN = 8;

  private final List<Window> windows = new ArrayList<>();

  void add(Window window) {
    windows.add(window);
  }

  Fate draw(Call call, long now, boolean silent, SplittableRandom random) {
    int percent = 0;
    int late = 0;
    for (Window window : windows) {
      if (window.from() <= now && now < window.until()) {
        percent = Math.max(percent, window.percent(call));
        late = Math.max(late, window.late());
      }
    }
    if (!silent && random.nextInt(100) >= percent) {
      return percent > 0 && random.nextInt(REFUSED_ONE_IN) == 0 ? Fate.REFUSED : Fate.ANSWERED;
    }
    if (random.nextInt(100) < late) {
      return Fate.EXECUTED_LATE;
    }
    return silent || random.nextBoolean() ? Fate.RESET : Fate.RESPONSE_LOST;
  }
}
