package io.marigoldsail.daemon.platform;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Result;
import io.marigoldsail.json.Json;
import io.marigoldsail.settings.HostPort;

/** Reads from the operators' address of another process. Safe for any thread; blocks it. */
public final class PeerClient {
  private static final int STATUS_OK = 200;
  private static final int MAX_RESPONSE_BYTES = 4 << 20;
  private static final long TIMEOUT_MILLIS = 1_000;

  private final PlatformClient client;

  /** Creates a reader over a client that is shared with others. */
  public PeerClient(PlatformClient client) {
    this.client = requireNonNull(client, "client");
  }

  /** Returns the JSON that the peer answers, or {@code TARGET_UNREACHABLE}. */
  public Result<JsonNode> get(HostPort peer, String pathAndQuery) {
    PlatformClient.ExchangeResult exchange =
        client.get("http://" + peer + pathAndQuery, MAX_RESPONSE_BYTES, TIMEOUT_MILLIS);
    if (exchange instanceof PlatformClient.ResponseReceived answered
        && answered.status() == STATUS_OK) {
      return Json.parse(peer.toString(), answered.body());
    }
    return Result.failed(ErrorKind.TARGET_UNREACHABLE, peer + ": " + exchange);
  }
}
