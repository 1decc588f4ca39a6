import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A client of the queues: calls any entry, and again elsewhere where the pages let it. */
final class Client {
  /** An answer; a status of 0 stands for none. */
  record Answer(int status, String body) {}

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .build();
  private final List<Deployment.Node> entries;
  private final Recorder record;
  private final AtomicInteger turn = new AtomicInteger();

  Client(List<Deployment.Node> entries, Recorder record) {
    this.entries = entries;
    this.record = record;
  }

  Answer call(Deployment.Node entry, String method, String path, String body) {
    String url = "http://127.0.0.1:" + entry.port("listen.front") + path;
    try {
      HttpResponse<String> response =
          client.send(
              HttpRequest.newBuilder(URI.create(url))
                  .timeout(Duration.ofSeconds(3))
                  .header("Content-Type", "application/json")
                  .header("X-Deadline-Ms", "3000")
                  .method(method, HttpRequest.BodyPublishers.ofString(body))
                  .build(),
              HttpResponse.BodyHandlers.ofString());
      return new Answer(response.statusCode(), response.body());
    } catch (IOException e) {
      return new Answer(0, e.toString());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Answer(0, e.toString());
    }
  }

  /** Calls entries in turn until one answers with success or 410, at most so many times. */
  Answer callUntilAnswered(String method, String path, String body, int tries) {
    Answer answer = new Answer(0, "not called");
    for (int i = 0; i < tries; i++) {
      Deployment.Node entry = entries.get(Math.floorMod(turn.getAndIncrement(), entries.size()));
      answer = call(entry, method, path, body);
      String shown = body.length() > 60 ? body.length() + " bytes" : body;
      record.line(
          "client: %s %s %s at %s -> %d %s",
          method, path, shown, entry.name, answer.status(), answer.body());
      if (answer.status() / 100 == 2 || answer.status() == 410) {
        return answer;
      }
      try {
        Thread.sleep(300);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return answer;
      }
    }
    return answer;
  }
}
