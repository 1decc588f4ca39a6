import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A client chooses ids with the hexadecimal digits A to F. Arguments: folder, trouble (0: it chooses
 * the same ids with a to f).
 */
final class CapitalIdsCase {
  private static final int JOBS = 20;
  private static final int FINISH_MILLIS = 14_000;

  private static final Set<String> SENT = ConcurrentHashMap.newKeySet();
  private static final AtomicInteger UNASKED = new AtomicInteger();

  public static void main(String[] arguments) throws Exception {
    Setup.main(
        arguments,
        (task, spec) -> {
          if (SENT.contains(task.substring(0, 16))) {
            return new Worker.Behaviour(200, 64, 900, false, "");
          }
          UNASKED.incrementAndGet();
          return null;
        },
        CapitalIdsCase::run);
  }

  private static int run(Setup setup, boolean trouble) throws Exception {
    Random random = new Random(63);
    Set<String> accepted = new LinkedHashSet<>();
    for (int i = 0; i < JOBS; i++) {
      String id = String.format("%016x", random.nextLong() | 0xabcL << 52);
      id = trouble ? id.toUpperCase(Locale.ROOT) : id;
      SENT.add(id);
      String body =
          "{\"spec\":\"x\",\"phases\":[{\"count\":2,\"cpu\":200,\"mem_mb\":64,\"est_ms\":900}]}";
      if (setup.client.callUntilAnswered("POST", "/q/" + id, body, 3).status() / 100 == 2) {
        accepted.add(id);
      }
      Thread.sleep(100);
    }
    Thread.sleep(FINISH_MILLIS);
    Map<String, Integer> states = new HashMap<>();
    for (String id : accepted) {
      Client.Answer answer = setup.client.callUntilAnswered("GET", "/q/" + id, "", 3);
      String state =
          answer.status() == 200 ? Http.state(answer.body()) : "answered " + answer.status();
      states.merge(state, 1, Integer::sum);
    }
    setup.record.say("%d jobs accepted; %d ms later: %s; orders to start what no client sent: %d",
        accepted.size(), FINISH_MILLIS, states, UNASKED.get());
    return UNASKED.get() > 0 ? 1 : 0;
  }
}
