package io.marigoldsail.daemon.dispatch;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import com.google.protobuf.ByteString;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.dispatch.ByteBudget;
import io.marigoldsail.time.MonotonicClock;
import java.net.URI;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class TargetClientTest {
  /**
   * Guards against losing a slot to a request whose path is not a valid URI. When the exception was
   * thrown on the loop, it closed the connection and the slot was never released; after eight such
   * requests the VM would have served no more.
   */
  @Test
  void invalidRequestEndsAsNotSent() throws Exception {
    ByteBudget budget = new ByteBudget(2L * BodyLimits.MAX_BYTES);
    CompletableFuture<TargetOutcome> outcome = new CompletableFuture<>();
    try (LinkLoop loop = new LinkLoop("side", MonotonicClock.system());
        TargetClient client =
            new TargetClient(loop, URI.create("http://127.0.0.1:9"), 1, "", budget)) {
      client.start();
      long giveUpAt = loop.now() + TimeUnit.MINUTES.toNanos(1);

      client.send(
          new TargetRequest("GET", "//", List.of(), ByteString.EMPTY, giveUpAt), outcome::complete);

      assertInstanceOf(TargetOutcome.NotSent.class, outcome.get(30, TimeUnit.SECONDS));
    }
  }
}
