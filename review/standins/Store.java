import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Stand-in of the platform's store (PROTOCOL.md, "The platform's metadata store"). Each machine
 * gets an address of its own, so that the store can turn single machines away.
 */
final class Store {
  /** How the store treats one machine. */
  enum Mode {
    /** It serves the machine. */
    SERVE,
    /** It answers 503 and does nothing. */
    BUSY,
    /** It does nothing and never answers. */
    SILENT,
    /** It does nothing and closes the connection. */
    RESET,
    /** Its answers take SLOW_MILLIS. */
    SLOW
  }

  static final long SLOW_MILLIS = 240;
  private static final long ANSWER_MILLIS = 4;
  private static final int PARTS = 24;
  private static final long KEEP_MILLIS = 20_000;

  private record Kept(byte[] content, long atMillis) {}

  private record Newest(byte[] value, long offset) {}

  private static final class Producer {
    long epoch;
    long next = -1;
    final LinkedHashMap<Long, byte[]> recent = new LinkedHashMap<>();
  }

  private static final class Part {
    long first;
    final List<Kept> records = new ArrayList<>();
    final TreeMap<String, Newest> newest = new TreeMap<>();
    final Map<String, Producer> producers = new HashMap<>();

    long end() {
      return first + records.size();
    }
  }

  private static final class Member {
    long ttl;
    long lastMillis;
  }

  private final ObjectMapper json = new ObjectMapper();
  private final Record record;
  private final Map<String, Part> parts = new HashMap<>();
  private final Map<String, Member> members = new TreeMap<>();
  private final Map<Integer, String> owner = new HashMap<>();
  private final Map<Integer, String> target = new HashMap<>();
  private final Map<Integer, Long> movedAt = new HashMap<>();
  private final Map<String, Mode> modes = new HashMap<>();
  private final ExecutorService threads = Executors.newCachedThreadPool(Threads.daemon());
  private final List<HttpServer> servers = new ArrayList<>();
  private long generation = 1;

  Store(Record record) {
    this.record = record;
    Thread expiry = new Thread(this::expire, "store-expiry");
    expiry.setDaemon(true);
    expiry.start();
  }

  /** Opens an address for the machine and returns it. */
  String open(String machine) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
    server.setExecutor(threads);
    server.createContext("/", exchange -> handle(machine, exchange));
    server.start();
    servers.add(server);
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  synchronized void mode(String machine, Mode mode) {
    modes.put(machine, mode);
    record.add("store: mode of %s is %s", machine, mode);
    notifyAll();
  }

  private synchronized Mode mode(String machine) {
    return modes.getOrDefault(machine, Mode.SERVE);
  }

  synchronized String ownerOf(int part) {
    return owner.get(part);
  }

  synchronized long generation() {
    return generation;
  }

  synchronized void operatorWrites(String key, byte[] value) {
    append("keyed.op", 0, List.of(keyed(key, value)));
    notifyAll();
  }

  private static byte[] keyed(String key, byte[] value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    ByteBuffer content = ByteBuffer.allocate(1 + name.length + value.length);
    content.put((byte) name.length).put(name).put(value);
    return content.array();
  }

  private Part part(String topic, int number) {
    return parts.computeIfAbsent(topic + "/" + number, unused -> new Part());
  }

  private void append(String topic, int number, List<byte[]> contents) {
    Part part = part(topic, number);
    for (byte[] content : contents) {
      long offset = part.end();
      part.records.add(new Kept(content, record.millis()));
      if (topic.startsWith("keyed.")) {
        int length = content[0] & 255;
        String key = new String(content, 1, length, StandardCharsets.UTF_8);
        byte[] value = java.util.Arrays.copyOfRange(content, 1 + length, content.length);
        if (value.length == 0) {
          part.newest.remove(key);
        } else {
          part.newest.put(key, new Newest(value, offset));
        }
      }
    }
  }

  private void handle(String machine, HttpExchange exchange) throws IOException {
    try {
      byte[] body = exchange.getRequestBody().readAllBytes();
      Mode mode = mode(machine);
      if (mode == Mode.SILENT) {
        synchronized (this) {
          while (mode(machine) == Mode.SILENT) {
            wait();
          }
        }
        exchange.close();
        return;
      }
      if (mode == Mode.RESET) {
        exchange.close();
        return;
      }
      if (mode == Mode.BUSY) {
        answer(exchange, 503, new byte[0]);
        return;
      }
      Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
      Thread.sleep(ANSWER_MILLIS);
      Answer answer = serve(machine, exchange.getRequestURI().getPath(), query, body);
      if (mode(machine) == Mode.SLOW) {
        Thread.sleep(SLOW_MILLIS);
      }
      if (mode(machine) == Mode.SILENT || mode(machine) == Mode.RESET) {
        exchange.close();
        return;
      }
      answer(exchange, answer.status, answer.body);
    } catch (InterruptedException e) {
      exchange.close();
    } catch (RuntimeException e) {
      record.add("store: %s fails: %s", exchange.getRequestURI(), e);
      exchange.close();
    }
  }

  private record Answer(int status, byte[] body) {}

  private static void answer(HttpExchange exchange, int status, byte[] body) throws IOException {
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
    if (body.length > 0) {
      exchange.getResponseBody().write(body);
    }
    exchange.close();
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> query = new HashMap<>();
    if (raw != null) {
      for (String pair : raw.split("&")) {
        int equals = pair.indexOf('=');
        query.put(
            pair.substring(0, equals),
            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return query;
  }

  private Answer serve(String machine, String path, Map<String, String> query, byte[] body)
      throws IOException, InterruptedException {
    return switch (path) {
      case "/api/log-append" -> logAppend(query, body);
      case "/api/log-read" -> logRead(machine, query);
      case "/api/log-newest" -> logNewest(query);
      case "/api/log-join" -> logJoin(json.readTree(body));
      case "/api/log-leave" -> logLeave(json.readTree(body));
      case "/api/log-owners" -> logOwners();
      default -> new Answer(404, new byte[0]);
    };
  }

  private synchronized Answer logAppend(Map<String, String> query, byte[] body)
      throws IOException {
    String topic = query.get("topic");
    int number = Integer.parseInt(query.get("part"));
    Part part = part(topic, number);
    List<byte[]> contents = new ArrayList<>();
    ByteBuffer bytes = ByteBuffer.wrap(body);
    while (bytes.hasRemaining()) {
      byte[] content = new byte[bytes.getInt()];
      bytes.get(content);
      if (content.length > 262_144) {
        return new Answer(400, new byte[0]);
      }
      contents.add(content);
    }
    if (body.length > 2_097_152) {
      return new Answer(400, new byte[0]);
    }
    Producer producer = null;
    long seq = 0;
    if (query.containsKey("producer")) {
      producer = part.producers.computeIfAbsent(query.get("producer"), unused -> new Producer());
      long epoch = Long.parseLong(query.get("epoch"));
      seq = Long.parseLong(query.get("seq"));
      if (epoch < producer.epoch) {
        return json(409, json.createObjectNode().put("reason", "fenced"));
      }
      if (epoch > producer.epoch) {
        producer.epoch = epoch;
        producer.next = -1;
        producer.recent.clear();
      }
      if (!contents.isEmpty() && producer.next >= 0 && seq != producer.next) {
        byte[] first = producer.recent.get(seq);
        return first != null
            ? new Answer(200, first)
            : json(
                409, json.createObjectNode().put("reason", "seq").put("expected", producer.next));
      }
    }
    long offset = part.end();
    append(topic, number, contents);
    ObjectNode answer = json.createObjectNode().put("offset", offset).put("end", part.end());
    byte[] text = json.writeValueAsBytes(answer);
    if (producer != null && !contents.isEmpty()) {
      producer.next = seq + 1;
      producer.recent.put(seq, text);
      if (producer.recent.size() > 5) {
        producer.recent.remove(producer.recent.keySet().iterator().next());
      }
    }
    notifyAll();
    return new Answer(200, text);
  }

  private Answer json(int status, JsonNode node) throws IOException {
    return new Answer(status, json.writeValueAsBytes(node));
  }

  private synchronized Answer logRead(String machine, Map<String, String> query)
      throws IOException, InterruptedException {
    Part part = part(query.get("topic"), Integer.parseInt(query.get("part")));
    long from = Long.parseLong(query.get("from"));
    long until = record.millis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
    long maxBytes = Long.parseLong(query.getOrDefault("max_kb", "1024")) * 1024;
    while (from >= part.end() && record.millis() < until) {
      wait(Math.max(1, until - record.millis()));
      if (mode(machine) == Mode.BUSY) {
        return new Answer(503, new byte[0]);
      }
    }
    if (from < part.first) {
      return json(410, json.createObjectNode().put("first", part.first));
    }
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes(ByteBuffer.allocate(16).putLong(part.end()).putLong(part.first).array());
    for (long offset = from; offset < part.end() && out.size() < maxBytes; offset++) {
      byte[] content = part.records.get((int) (offset - part.first)).content();
      out.writeBytes(ByteBuffer.allocate(4).putInt(content.length).array());
      out.writeBytes(content);
    }
    return new Answer(200, out.toByteArray());
  }

  private synchronized Answer logNewest(Map<String, String> query) throws IOException {
    Part part = part(query.get("topic"), Integer.parseInt(query.get("part")));
    String after = query.getOrDefault("depends_on", "");
    ObjectNode answer = json.createObjectNode();
    ArrayNode items = answer.putArray("items");
    int bytes = 0;
    boolean more = false;
    for (Map.Entry<String, Newest> each : part.newest.tailMap(after, after.isEmpty()).entrySet()) {
      if (items.size() == 500 || bytes > 1_000_000) {
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
    return json(200, answer);
  }

  private synchronized Answer logJoin(JsonNode body) throws IOException {
    String name = body.path("member").asText();
    String topic = body.path("topics").path(0).asText();
    long known = body.path("generation").asLong();
    Member member = members.get(name);
    if (member == null) {
      member = new Member();
      members.put(name, member);
      rebalance();
    }
    member.ttl = body.path("ttl_ms").asLong();
    member.lastMillis = record.millis();
    for (int number = 0; number < PARTS; number++) {
      boolean released =
          name.equals(owner.get(number))
              && !name.equals(target.get(number))
              && known >= movedAt.getOrDefault(number, Long.MAX_VALUE);
      if (released) {
        owner.put(number, target.get(number));
        generation++;
      }
    }
    ObjectNode answer = json.createObjectNode().put("generation", generation);
    ArrayNode rows = answer.putArray("parts");
    for (int number = 0; number < PARTS; number++) {
      if (name.equals(owner.get(number)) && name.equals(target.get(number))) {
        rows.addArray().add(topic).add(number).add(0);
      }
    }
    return json(200, answer);
  }

  private synchronized Answer logLeave(JsonNode body) throws IOException {
    remove(body.path("member").asText());
    return json(200, json.createObjectNode());
  }

  private void remove(String name) {
    if (members.remove(name) != null) {
      owner.values().removeIf(name::equals);
      rebalance();
    }
  }

  /** Distributes the partitions evenly; each stays with its member where possible. */
  private void rebalance() {
    generation++;
    if (members.isEmpty()) {
      target.clear();
      return;
    }
    int most = (PARTS + members.size() - 1) / members.size();
    Map<String, Integer> counts = new HashMap<>();
    List<Integer> free = new ArrayList<>();
    for (int number = 0; number < PARTS; number++) {
      String name = target.get(number);
      if (name != null && members.containsKey(name) && counts.getOrDefault(name, 0) < most) {
        counts.merge(name, 1, Integer::sum);
      } else {
        free.add(number);
      }
    }
    for (int number : free) {
      String least = null;
      for (String name : members.keySet()) {
        if (least == null || counts.getOrDefault(name, 0) < counts.getOrDefault(least, 0)) {
          least = name;
        }
      }
      counts.merge(least, 1, Integer::sum);
      target.put(number, least);
      movedAt.put(number, generation);
      if (owner.get(number) == null) {
        owner.put(number, least);
      }
    }
    record.add("store: generation %d, members %s", generation, members.keySet());
  }

  private synchronized Answer logOwners() throws IOException {
    ObjectNode answer = json.createObjectNode();
    ArrayNode rows = answer.putArray("parts");
    owner.forEach(
        (number, name) ->
            rows.addArray().add("keyed.marigoldsail-progress").add(number).add(name).add(0));
    return json(200, answer);
  }

  private void expire() {
    while (true) {
      try {
        Thread.sleep(50);
      } catch (InterruptedException e) {
        return;
      }
      synchronized (this) {
        long now = record.millis();
        for (String name : List.copyOf(members.keySet())) {
          Member member = members.get(name);
          if (member.ttl > 0 && now - member.lastMillis > member.ttl) {
            record.add("store: member %s sent nothing for its ttl", name);
            remove(name);
          }
        }
        for (Part part : parts.values()) {
          while (!part.records.isEmpty()
              && now - part.records.get(0).atMillis() > KEEP_MILLIS) {
            part.records.remove(0);
            part.first++;
          }
        }
      }
    }
  }

  void close() {
    servers.forEach(server -> server.stop(0));
    threads.shutdownNow();
  }

  /** Returns a random id of a job: 16 hexadecimal digits. */
  static String newId() {
    return String.format("%016x", ThreadLocalRandom.current().nextLong());
  }
}
