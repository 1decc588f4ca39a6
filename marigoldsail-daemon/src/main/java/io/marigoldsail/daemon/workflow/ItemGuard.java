package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Handles the items of a pass one by one: an exception while one item is handled is logged, once
 * for the item, and the pass goes on with the next one.
 *
 * <p>An exception that propagated would end the pass, and every later one at the same item: the
 * workflows and VMs after it would never be handled again. Confined to the loop's thread.
 */
final class ItemGuard {
  /** Failed items that are remembered; beyond it, items are logged again. */
  private static final int MAX_REMEMBERED = 1_000;

  private final EventLog log;
  private final String event;
  private final Set<String> failed = new HashSet<>();

  /**
   * Creates a guard that logs to the given log.
   *
   * @param event the name of the logged event
   */
  ItemGuard(EventLog log, String event) {
    this.log = requireNonNull(log, "log");
    this.event = requireNonNull(event, "event");
  }

  /**
   * Runs the action; does not throw its exception.
   *
   * @param item supplies the text that identifies the item in the log
   */
  void run(Supplier<String> item, Runnable action) {
    LinkLoop.runGuarded(action, e -> logOnce(item.get(), e));
  }

  private void logOnce(String item, RuntimeException e) {
    if (failed.size() >= MAX_REMEMBERED) {
      failed.clear();
    }
    if (failed.add(item)) {
      log.error(LogLine.of(event).with("item", item).withError(e));
    }
  }
}
