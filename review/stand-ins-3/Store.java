import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: a log with keyed topics and one kind of group, as PROTOCOL.md says. */
final class Store {
  private static final int PAGE_RECORDS = 500;
  private static final int PAGE_BYTES = 1_000_000;

  /** Limits of the deployment, from the settings of its processes. */
  record Limits(int parts, int recordBytes, int callBytes, long keepMillis) {}

  private record Kept(byte[] bytes, long at) {}

  private record Newest(byte[] value, long offset) {}

  private static final class Part {
    final List<Kept> records = new ArrayList<>();
    final TreeMap<String, Newest> newest = new TreeMap<>();
    final Map<String, Long> epochs = new HashMap<>();
    final Map<String, Long> nextSequence = new HashMap<>();
    final Map<String, Map<Long, ObjectNode>> lastAnswers = new HashMap<>();
    long first;

    long end() {
      return first + records.size();
    }
  }

  private static final class Member {
    long seenAt;
    long ttl;
  }

  private final Limits limits;
  private final Recorder record;
  private final Map<String, Part> parts = new HashMap<>();
  private final Map<String, Member> members = new LinkedHashMap<>();
  private final Map<Integer, String> owners = new TreeMap<>();
  private final Map<Integer, String> targets = new TreeMap<>();
  private String groupTopic = "";
  private long generation;
  private Http http;
  private final Map<String, Long> refusals = new TreeMap<>();

  Store(Limits limits, Recorder record) {
    this.limits = limits;
    this.record = record;
  }

  int start() throws IOException {
    int port = Http.freePort();
    http = Http.start(port, this::handle);
    return port;
  }

  void stop() {
    http.stop();
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  private Part part(String topic, long number) {
    return parts.computeIfAbsent(topic + "/" + number, unused -> new Part());
  }

  /** Writes a record of the operator. */
  synchronized void operator(String key, byte[] value) {
    ByteBuffer bytes = ByteBuffer.allocate(1 + key.length() + value.length);
    bytes.put((byte) key.length()).put(key.getBytes(StandardCharsets.UTF_8)).put(value);
    add(part("keyed.op", 0), true, bytes.array());
    notifyAll();
  }

  private void add(Part part, boolean keyed, byte[] bytes) {
    if (keyed) {
      int length = bytes[0] & 0xff;
      String key = new String(bytes, 1, length, StandardCharsets.UTF_8);
      byte[] value = Arrays.copyOfRange(bytes, 1 + length, bytes.length);
      if (value.length == 0) {
        part.newest.remove(key);
      } else {
        part.newest.put(key, new Newest(value, part.end()));
      }
    }
    part.records.add(new Kept(bytes, now()));
  }

  private void expire(Part part) {
    int gone = 0;
    long before = now() - limits.keepMillis();
    while (gone < part.records.size() && part.records.get(gone).at() < before) {
      gone++;
    }
    if (gone > 0) {
      part.records.subList(0, gone).clear();
      part.first += gone;
    }
  }

  private Http.Reply handle(Http.Call call) throws Exception {
    Thread.sleep(4);
    return switch (call.path()) {
      case "/api/log-append" -> append(call);
      case "/api/log-read" -> read(call);
      case "/api/log-newest" -> newest(call);
      case "/api/log-join" -> join(call);
      case "/api/log-leave" -> leave(call);
      case "/api/log-owners" -> owners();
      default -> Http.Reply.of(404);
    };
  }

  private synchronized Http.Reply refuse(String topic, long part, String why) throws IOException {
    long count = refusals.merge(topic + "/" + part + " " + why, 1L, Long::sum);
    if (count <= 3 || count % 50 == 0) {
      record.line("store: append to %s part %d refused (%s), time %d", topic, part, why, count);
    }
    return Http.Reply.json(400, Http.object().put("error", why));
  }

  private synchronized Http.Reply append(Http.Call call) throws IOException {
    String topic = call.query().get("topic");
    long number = call.number("part", 0);
    boolean keyed = topic.startsWith("keyed.");
    List<byte[]> records = new ArrayList<>();
    ByteBuffer body = ByteBuffer.wrap(call.body());
    int total = 0;
    while (body.hasRemaining()) {
      byte[] bytes = new byte[body.getInt()];
      body.get(bytes);
      total += bytes.length;
      if (bytes.length > limits.recordBytes()) {
        return refuse(topic, number, "a record is longer than record_bytes");
      }
      records.add(bytes);
    }
    if (total > limits.callBytes()) {
      return refuse(topic, number, "the records are longer than call_bytes");
    }
    Part part = part(topic, number);
    expire(part);
    String producer = call.query().get("producer");
    if (producer != null) {
      long epoch = call.number("epoch", 0);
      long sequence = call.number("seq", 0);
      long known = part.epochs.getOrDefault(producer, -1L);
      if (epoch < known) {
        return Http.Reply.json(409, Http.object().put("reason", "fenced"));
      }
      if (epoch > known) {
        part.epochs.put(producer, epoch);
        part.nextSequence.remove(producer);
        part.lastAnswers.remove(producer);
      }
      if (!records.isEmpty()) {
        Map<Long, ObjectNode> last =
            part.lastAnswers.computeIfAbsent(producer, unused -> new LinkedHashMap<>());
        if (last.containsKey(sequence)) {
          return Http.Reply.json(200, last.get(sequence));
        }
        Long next = part.nextSequence.get(producer);
        if (next != null && sequence != next) {
          return Http.Reply.json(409, Http.object().put("reason", "seq").put("seq", next));
        }
        part.nextSequence.put(producer, sequence + 1);
      }
    }
    ObjectNode answer = Http.object().put("offset", part.end());
    records.forEach(bytes -> add(part, keyed, bytes));
    answer.put("end", part.end());
    if (producer != null && !records.isEmpty()) {
      Map<Long, ObjectNode> last = part.lastAnswers.get(producer);
      last.put(call.number("seq", 0), answer);
      if (last.size() > 5) {
        last.remove(last.keySet().iterator().next());
      }
    }
    notifyAll();
    return Http.Reply.json(200, answer);
  }

  private synchronized Http.Reply read(Http.Call call) throws Exception {
    Part part = part(call.query().get("topic"), call.number("part", 0));
    long from = call.number("from", 0);
    long until = now() + Math.min(30_000, call.number("wait_ms", 0));
    while (part.end() <= from && now() < until) {
      wait(Math.max(1, until - now()));
    }
    expire(part);
    if (from < part.first) {
      return Http.Reply.json(410, Http.object().put("first", part.first));
    }
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(ByteBuffer.allocate(16).putLong(part.end()).putLong(part.first).array());
    long limit = call.number("max_kb", 1_024) * 1_024;
    int at = (int) Math.min(Math.max(0, from - part.first), part.records.size());
    boolean any = false;
    for (Kept kept : part.records.subList(at, part.records.size())) {
      if (any && bytes.size() + kept.bytes().length > limit) {
        break;
      }
      any = true;
      bytes.writeBytes(ByteBuffer.allocate(4).putInt(kept.bytes().length).array());
      bytes.writeBytes(kept.bytes());
    }
    return new Http.Reply(200, bytes.toByteArray(), "application/octet-stream");
  }

  private synchronized Http.Reply newest(Http.Call call) throws IOException {
    Part part = part(call.query().get("topic"), call.number("part", 0));
    String after = call.query().get("depends_on");
    ObjectNode answer = Http.object();
    ArrayNode items = answer.putArray("items");
    int bytes = 0;
    boolean more = false;
    for (Map.Entry<String, Newest> each :
        (after == null ? part.newest : part.newest.tailMap(after, false)).entrySet()) {
      if (items.size() >= PAGE_RECORDS
          || (!items.isEmpty() && bytes + each.getValue().value().length > PAGE_BYTES)) {
        more = true;
        break;
      }
      bytes += each.getValue().value().length;
      items
          .addObject()
          .put("key", each.getKey())
          .put("value", Base64.getEncoder().encodeToString(each.getValue().value()))
          .put("offset", each.getValue().offset());
    }
    answer.put("more", more).put("end", part.end());
    return Http.Reply.json(200, answer);
  }

  private void dropSilent() {
    boolean dropped =
        members.values().removeIf(member -> now() - member.seenAt > member.ttl);
    if (dropped) {
      deal();
    }
  }

  /** Deals the partitions evenly; one whose owner is up stays there until its owner's next join. */
  private void deal() {
    generation++;
    List<String> names = new ArrayList<>(members.keySet());
    targets.values().removeIf(name -> !members.containsKey(name));
    owners.values().removeIf(name -> !members.containsKey(name));
    if (names.isEmpty()) {
      return;
    }
    int most = (limits.parts() + names.size() - 1) / names.size();
    Map<String, Integer> counts = new HashMap<>();
    for (int number = 0; number < limits.parts(); number++) {
      String target = targets.get(number);
      if (target != null && counts.getOrDefault(target, 0) < most) {
        counts.merge(target, 1, Integer::sum);
      } else {
        targets.remove(number);
      }
    }
    for (int number = 0; number < limits.parts(); number++) {
      if (!targets.containsKey(number)) {
        String least =
            Collections.min(
                names,
                (one, other) ->
                    Integer.compare(counts.getOrDefault(one, 0), counts.getOrDefault(other, 0)));
        targets.put(number, least);
        counts.merge(least, 1, Integer::sum);
      }
      owners.putIfAbsent(number, targets.get(number));
    }
    record.line("store: generation %d, members %s", generation, names);
  }

  private synchronized Http.Reply join(Http.Call call) throws IOException {
    JsonNode body = call.json();
    String name = body.path("member").asText();
    groupTopic = body.path("topics").path(0).asText();
    dropSilent();
    Member member = members.get(name);
    if (member == null) {
      member = new Member();
      members.put(name, member);
      member.seenAt = now();
      member.ttl = body.path("ttl_ms").asLong();
      deal();
    }
    member.seenAt = now();
    if (body.path("generation").asLong() >= generation) {
      boolean handed = false;
      for (Map.Entry<Integer, String> each : targets.entrySet()) {
        if (name.equals(owners.get(each.getKey())) && !name.equals(each.getValue())) {
          owners.put(each.getKey(), each.getValue());
          handed = true;
        }
      }
      generation += handed ? 1 : 0;
    }
    ObjectNode answer = Http.object().put("generation", generation).put("ttl_ms", member.ttl);
    ArrayNode rows = answer.putArray("parts");
    owners.forEach(
        (number, owner) -> {
          if (owner.equals(name) && name.equals(targets.get(number))) {
            rows.addArray().add(groupTopic).add(number).add(0);
          }
        });
    return Http.Reply.json(200, answer);
  }

  private synchronized Http.Reply leave(Http.Call call) throws IOException {
    if (members.remove(call.json().path("member").asText()) != null) {
      deal();
    }
    return Http.Reply.json(200, Http.object());
  }

  private synchronized Http.Reply owners() throws IOException {
    dropSilent();
    ObjectNode answer = Http.object();
    ArrayNode rows = answer.putArray("parts");
    owners.forEach((number, owner) -> rows.addArray().add(groupTopic).add(number).add(owner).add(0));
    return Http.Reply.json(200, answer);
  }
}
