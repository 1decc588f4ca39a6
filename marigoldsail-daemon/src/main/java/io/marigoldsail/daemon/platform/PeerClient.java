package io.marigoldsail.daemon.platform;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Result;
import io.marigoldsail.json.Json;
import io.marigoldsail.settings.HostPort;

/** Reads from the operators' address of another process. Safe for any thread; calls block. */
public final class PeerClient {
  private static final int STATUS_OK = 200;
  private static final int MAX_RESPONSE_BYTES = 4 << 20;
  private static final long TIMEOUT_MILLIS = 1_000;

  private final PlatformClient client;

  /** Creates a reader; the client may be shared and is closed by the caller. */
  public PeerClient(PlatformClient client) {
    this.client = requireNonNull(client, "client");
  }

  /**
   * Returns the JSON of the peer's response, {@code TARGET_UNREACHABLE} without a success, or a
   * parse failure.
   */
  public Result<JsonNode> get(HostPort peer, String pathAndQuery) {
    PlatformClient.ExchangeResult result =
        client.get("http://" + peer + pathAndQuery, MAX_RESPONSE_BYTES, TIMEOUT_MILLIS);
    if (result instanceof PlatformClient.ResponseReceived response
        && response.status() == STATUS_OK) {
      return Json.parse(peer.toString(), response.body());
    }
    return Result.failed(ErrorKind.TARGET_UNREACHABLE, peer + ": " + result);
  }
}
