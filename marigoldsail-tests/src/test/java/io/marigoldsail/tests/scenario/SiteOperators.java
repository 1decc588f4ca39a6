package io.marigoldsail.tests.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.marigoldsail.json.Json;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;

/** A client of the operators' API of a site; tries each entry until one responds. */
final class SiteOperators {
  /** A response, or status 0 if no entry responded. */
  record Response(int status, JsonNode body) {}

  private static final Duration TIMEOUT = Duration.ofSeconds(15);

  private final List<String> addresses;
  private final HttpClient client =
      HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();

  SiteOperators(List<String> addresses) {
    this.addresses = List.copyOf(addresses);
  }

  Response get(String path) {
    return send("GET", path, "");
  }

  Response post(String path, String body) {
    return send("POST", path, body);
  }

  Response delete(String path) {
    return send("DELETE", path, "");
  }

  private Response send(String method, String path, String body) {
    for (String address : addresses) {
      try {
        HttpRequest request =
            HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(TIMEOUT)
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build();
        HttpResponse<byte[]> response =
            client.send(request, HttpResponse.BodyHandlers.ofByteArray());
        return new Response(response.statusCode(), Json.parse("answer", response.body()).value());
      } catch (IOException e) {
        // Try the next entry.
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new IllegalStateException("interrupted", e);
      }
    }
    return new Response(0, MissingNode.getInstance());
  }

  int memberCount() {
    return get("/members").body().path("processes").size();
  }

  /** Returns the lowest configuration revision that a live process reports as in force. */
  long lowestRevisionInForce() {
    long lowest = Long.MAX_VALUE;
    for (JsonNode process : get("/members").body().path("processes")) {
      lowest = Math.min(lowest, process.path("revision").asLong());
    }
    return lowest == Long.MAX_VALUE ? 0 : lowest;
  }
}
