package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.daemon.workflow.WorkflowStore.NewestPage;
import io.marigoldsail.daemon.workflow.WorkflowStore.NewestResult;
import io.marigoldsail.daemon.workflow.WorkflowStore.NewestUnavailable;
import io.marigoldsail.daemon.workflow.WorkflowStore.Topic;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Reads the newest record of each key of a partition, by pages; reads a page again until the store
 * responds. Confined to the loop's thread.
 */
final class NewestRecordsReader {
  private static final EventLog LOG = EventLog.of(NewestRecordsReader.class);
  private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private final WorkflowStore store;
  private final LinkLoop loop;
  private final int partition;
  private boolean closed;

  /** Creates a reader of the partition. */
  NewestRecordsReader(WorkflowStore store, LinkLoop loop, int partition) {
    this.store = requireNonNull(store, "store");
    this.loop = requireNonNull(loop, "loop");
    this.partition = partition;
  }

  /**
   * Reads a page.
   *
   * @param after the key after which the page begins; empty for the first page
   * @param onPage runs on the loop, once, unless the reader is closed before
   */
  void read(Topic topic, Optional<String> after, Consumer<NewestPage> onPage) {
    if (!closed) {
      store
          .readNewest(topic, partition, after)
          .thenAccept(result -> loop.run(() -> handle(topic, after, onPage, result)));
    }
  }

  private void handle(
      Topic topic, Optional<String> after, Consumer<NewestPage> onPage, NewestResult result) {
    if (closed) {
      return;
    }
    if (result instanceof NewestPage page) {
      onPage.accept(page);
      return;
    }
    LOG.warning(
        LogLine.of("partition-read-retried")
            .with("partition", partition)
            .with("topic", topic)
            .with("reason", ((NewestUnavailable) result).reason()));
    loop.schedule(() -> read(topic, after, onPage), RETRY_DELAY_NANOS);
  }

  /** Ends the reading: no page is passed on any more. */
  void close() {
    closed = true;
  }
}
