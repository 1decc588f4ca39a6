package io.marigoldsail.daemon;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.marigoldsail.daemon.observe.Metrics;
import io.marigoldsail.daemon.operators.OperatorResponse;
import io.marigoldsail.daemon.operators.OperatorServer;
import io.marigoldsail.error.Result;
import io.marigoldsail.json.Json;
import io.marigoldsail.log.StreamFollower;
import io.marigoldsail.log.StreamStatus;
import io.prometheus.metrics.core.metrics.Counter;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Tells how far this process has read each stream: {@code GET /streams} and metrics. */
final class StreamStatusReporter {
  private final List<StreamFollower> followers = new CopyOnWriteArrayList<>();
  private final Counter historiesReplaced;

  StreamStatusReporter(Metrics metrics, OperatorServer operators) {
    this.historiesReplaced =
        metrics.counter(
            "log_histories_replaced",
            "How often a stream turned out to be another one than was read so far",
            "stream");
    metrics.gauge(
        "log_streams_behind",
        "Streams whose state here is an old one, as records expired or the stream is another one",
        () -> followers.stream().filter(one -> one.status().seekingSnapshot()).count());
    operators.registerSynchronous("GET", "/streams", request -> Result.ok(response()));
  }

  void add(StreamFollower follower) {
    followers.add(follower);
  }

  void countHistoryReplaced(String stream) {
    historiesReplaced.labelValues(stream).inc();
  }

  private OperatorResponse response() {
    ObjectNode node = Json.object();
    ArrayNode streams = node.putArray("streams");
    for (StreamFollower follower : followers) {
      StreamStatus status = follower.status();
      streams
          .addObject()
          .put("stream", follower.stream())
          .put("applied", status.appliedOffset())
          .put("end", status.endOffset())
          .put("firstOffset", status.firstOffset())
          .put("behind", status.seekingSnapshot())
          .put("outage", status.outage())
          .put("skipped", status.skippedCount())
          .put("historiesReplaced", status.historyReplacementCount());
    }
    return OperatorResponse.ok(node);
  }
}
