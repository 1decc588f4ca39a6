import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Jobs of a queue with advice, whose adviser takes longer for a call than its tickets are valid.
 * Arguments: folder, trouble (0: tickets are valid for long).
 */
final class AdviceCase {
  private static final int DECIDE_MILLIS = 800;
  private static final int PERIOD_MILLIS = 100;
  private static final int LONG_VALID_MILLIS = 5_000;
  private static final int SHORT_VALID_MILLIS = 1_000;
  private static final int JOBS = 6;
  private static final int FINISH_MILLIS = 17_000;

  private static final Map<String, Long> VALID_UNTIL = new ConcurrentHashMap<>();

  public static void main(String[] arguments) throws Exception {
    int valid = arguments[1].equals("0") ? LONG_VALID_MILLIS : SHORT_VALID_MILLIS;
    String route =
        ",\"advice\":{\"decide_ms\":" + DECIDE_MILLIS + ",\"period_ms\":" + PERIOD_MILLIS
            + ",\"valid_ms\":" + valid + "}";
    Worker.Work work =
        new Worker.Work() {
          @Override
          public Worker.Behaviour of(String task, String spec) {
            return new Worker.Behaviour(200, 64, 900, false, "");
          }

          @Override
          public boolean allows(String worker, String task, String ticket) {
            return ticket.startsWith(worker + "/" + task.substring(0, task.lastIndexOf('.')) + "/")
                && now() <= VALID_UNTIL.getOrDefault(ticket, 0L);
          }
        };
    Setup.main(
        arguments, work, new Setup.Advice(call -> advise(call, valid), route), AdviceCase::run);
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  /** Handles one call at a time. */
  private static synchronized Http.Reply advise(Http.Call call, int valid) throws Exception {
    JsonNode body = call.json();
    Thread.sleep(DECIDE_MILLIS + (long) PERIOD_MILLIS * body.path("workers").size());
    ObjectNode answer = Http.object();
    ArrayNode allowed = answer.putArray("allowed");
    for (JsonNode worker : body.path("workers")) {
      String ticket = worker.asText() + "/" + body.path("step").asText() + "/" + now();
      VALID_UNTIL.put(ticket, now() + valid);
      allowed.addArray().add(worker.asText()).add(ticket);
    }
    return Http.Reply.json(200, answer.put("valid_ms", valid));
  }

  private static int run(Setup setup, boolean trouble) throws Exception {
    Random random = new Random(63);
    Set<String> accepted = new LinkedHashSet<>();
    for (int i = 0; i < JOBS; i++) {
      String id = String.format("%016x", random.nextLong());
      String body =
          "{\"spec\":\"x\",\"phases\":[{\"count\":2,\"cpu\":200,\"mem_mb\":64,\"est_ms\":900}]}";
      if (setup.client.callUntilAnswered("POST", "/q/" + id, body, 3).status() / 100 == 2) {
        accepted.add(id);
      }
      Thread.sleep(1_500);
    }
    Thread.sleep(FINISH_MILLIS);
    Map<String, Integer> states = new HashMap<>();
    for (String id : accepted) {
      Client.Answer answer = setup.client.callUntilAnswered("GET", "/q/" + id, "", 3);
      String state =
          answer.status() == 200 ? Http.state(answer.body()) : "answered " + answer.status();
      states.merge(state, 1, Integer::sum);
    }
    setup.record.say("%d jobs accepted; %d ms after the last: %s; %d tickets were given; processors"
        + " in use: %d of 48000", accepted.size(), FINISH_MILLIS, states, VALID_UNTIL.size(),
        setup.used());
    boolean stuck = states.getOrDefault("done", 0) < accepted.size() && setup.used() == 0;
    return stuck ? 1 : 0;
  }
}
