package io.marigoldsail.daemon.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import io.marigoldsail.configuration.ConfigurationCheck;
import io.marigoldsail.configuration.ConfigurationFold;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Result;
import io.marigoldsail.json.Json;
import io.marigoldsail.log.LogEntry;
import io.marigoldsail.log.Position;
import io.marigoldsail.settings.HostPort;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

final class PeerCatchUpTest {
  private static final ConfigurationCheck CHECK = new ConfigurationCheck();
  private static final HostPort FIRST = new HostPort("127.0.0.1", 1);
  private static final HostPort SECOND = new HostPort("127.0.0.1", 2);
  private static final HostPort THIRD = new HostPort("127.0.0.1", 3);

  private final Map<HostPort, Result<JsonNode>> responses = new HashMap<>();
  private final List<String> requestedPaths = new ArrayList<>();
  private final ConfigurationFold fold = new ConfigurationFold(CHECK);
  private boolean outage = true;
  private final PeerCatchUp catchUp =
      new PeerCatchUp(List.of(FIRST, SECOND, THIRD), this::fetch, fold, () -> outage);

  private Result<JsonNode> fetch(HostPort peer, String path) {
    requestedPaths.add(path);
    return responses.getOrDefault(peer, Result.failed(ErrorKind.TARGET_UNREACHABLE, "down"));
  }

  /**
   * Story: the log is down and an entry is replaced. Its peers are at different revisions and one
   * is dead; on the defaults it would refuse what the configuration allows.
   */
  @Test
  void takesHighestRevisionOfReachablePeers() {
    responses.put(SECOND, Result.ok(peerAt(5).snapshot()));
    responses.put(THIRD, Result.ok(peerAt(3).snapshot()));
    catchUp.poll();
    assertEquals(5, fold.state().revision());
    assertEquals(5, fold.state().configuration("x").service("parking").maxWaiting());
    catchUp.poll();
    assertEquals("/configuration/state?after=5", requestedPaths.get(requestedPaths.size() - 1));
  }

  @Test
  void requestsNothingWhileLogIsAvailable() {
    responses.put(FIRST, Result.ok(peerAt(5).snapshot()));
    outage = false;
    catchUp.poll();
    assertEquals(0, fold.state().revision());
    assertEquals(List.of(), requestedPaths);
  }

  @Test
  void invalidPeerStateIsIgnored() {
    byte[] nonsense = "{\"revision\":\"9\"}".getBytes(StandardCharsets.UTF_8);
    responses.put(FIRST, Json.parse("x", nonsense));
    responses.put(SECOND, Result.ok(Json.object()));
    responses.put(THIRD, Result.ok(peerAt(2).snapshot()));
    catchUp.poll();
    assertEquals(2, fold.state().revision());
  }

  private static ConfigurationFold peerAt(int revision) {
    ConfigurationFold peer = new ConfigurationFold(CHECK);
    for (int i = 0; i < revision; i++) {
      String body =
          "{\"schema\":1,\"publish\":\"p"
              + i
              + "\",\"checkedAgainst\":"
              + i
              + ",\"file\":\"base\",\"content\":{\"services\":{\"parking\":{\"maxWaiting\":"
              + (i + 1)
              + "}}}}";
      JsonNode node = Json.parse("x", body.getBytes(StandardCharsets.UTF_8)).value();
      peer.apply(new LogEntry(new Position(i, 0), "p/1/" + i, "configuration-published", node));
    }
    return peer;
  }
}
