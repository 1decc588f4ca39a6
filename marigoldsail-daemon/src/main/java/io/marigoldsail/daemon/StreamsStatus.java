package io.marigoldsail.daemon;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.marigoldsail.daemon.observe.Metrics;
import io.marigoldsail.daemon.operators.OperatorAnswer;
import io.marigoldsail.daemon.operators.OperatorServer;
import io.marigoldsail.error.Result;
import io.marigoldsail.json.Json;
import io.marigoldsail.log.StreamFollower;
import io.marigoldsail.log.StreamStatus;
import io.prometheus.metrics.core.metrics.Counter;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Reports how far this process has read each stream, in {@code GET /streams} and in metrics. */
final class StreamsStatus {
  private final List<StreamFollower> followers = new CopyOnWriteArrayList<>();
  private final Counter replaced;

  StreamsStatus(Metrics metrics, OperatorServer operators) {
    this.replaced =
        metrics.counter(
            "log_histories_replaced",
            "How often a stream turned out to be another one than was read so far",
            "stream");
    metrics.gauge(
        "log_streams_behind",
        "Streams whose state here is an old one, as records expired or the stream is another one",
        () -> followers.stream().filter(one -> one.status().seeking()).count());
    operators.registerImmediate("GET", "/streams", request -> Result.ok(answer()));
  }

  void add(StreamFollower follower) {
    followers.add(follower);
  }

  void countReplaced(String stream) {
    replaced.labelValues(stream).inc();
  }

  private OperatorAnswer answer() {
    ObjectNode node = Json.object();
    ArrayNode streams = node.putArray("streams");
    for (StreamFollower follower : followers) {
      StreamStatus status = follower.status();
      streams
          .addObject()
          .put("stream", follower.stream())
          .put("applied", status.applied())
          .put("end", status.end())
          .put("firstOffset", status.firstOffset())
          .put("behind", status.seeking())
          .put("outage", status.outage())
          .put("skipped", status.skipped())
          .put("historiesReplaced", status.histories());
    }
    return OperatorAnswer.ok(node);
  }
}
