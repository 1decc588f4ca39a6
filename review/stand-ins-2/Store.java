import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
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

/**
 * Stand-in of the platform's store, as PROTOCOL.md describes the calls that marigoldsail makes:
 * keyed topics, atomic appends with epoch and sequence, the newest record of each key, and a group.
 * Each process calls it through a gate of its own, so that some machines can be turned away while
 * the others are served.
 */
final class Store {
  static final ObjectMapper JSON = new ObjectMapper();

  /** What a gate does with calls. */
  enum Mode {
    SERVE,
    /** Answers 503; nothing is done. */
    BUSY,
    /** Nothing is done, and no answer is sent until the gate serves again. */
    SILENT
  }

  private record Entry(String key, byte[] value) {}

  private static final class Partition {
    final TreeMap<Long, Entry> history = new TreeMap<>();
    final TreeMap<String, Long> newest = new TreeMap<>();
    final Map<String, byte[]> values = new HashMap<>();
    final LinkedHashMap<Long, long[]> recent = new LinkedHashMap<>();
    long end;
    long epoch = -1;
    long lastSequence = -1;
  }

  private static final class Member {
    long seenAt;
    long ttlMillis;
    long generation;
  }

  private final Map<String, Partition> partitions = new HashMap<>();
  private final TreeMap<String, Member> members = new TreeMap<>();
  private final Map<Integer, String> assigned = new HashMap<>();
  private final Map<Integer, String> holders = new HashMap<>();
  private final int parts;
  private final ExecutorService threads;
  private long generation;

  Store(int parts, ExecutorService threads) {
    this.parts = parts;
    this.threads = threads;
  }

  /** One process's way to the store. */
  final class Gate {
    private final HttpServer server;
    private volatile Mode mode = Mode.SERVE;

    private Gate() throws IOException {
      server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 512);
      server.setExecutor(threads);
      server.createContext("/", this::handle);
      server.start();
    }

    String address() {
      return "127.0.0.1:" + server.getAddress().getPort();
    }

    void set(Mode newMode) {
      synchronized (Store.this) {
        mode = newMode;
        Store.this.notifyAll();
      }
    }

    void close() {
      server.stop(0);
    }

    private void handle(HttpExchange exchange) throws IOException {
      try {
        byte[] body = exchange.getRequestBody().readAllBytes();
        Reply reply = reply(exchange, body);
        exchange.sendResponseHeaders(reply.status, reply.body.length == 0 ? -1 : reply.body.length);
        if (reply.body.length > 0) {
          exchange.getResponseBody().write(reply.body);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } finally {
        exchange.close();
      }
    }

    private Reply reply(HttpExchange exchange, byte[] body)
        throws InterruptedException, IOException {
      String path = exchange.getRequestURI().getPath();
      Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
      synchronized (Store.this) {
        Reply refusal = refusal();
        if (refusal != null) {
          return refusal;
        }
        return path.equals("/api/log-read") ? read(query) : Store.this.reply(path, query, body);
      }
    }

    /** Returns what a gate that does not serve answers, once it does; null if it serves. */
    private Reply refusal() throws InterruptedException {
      if (mode == Mode.SILENT) {
        while (mode == Mode.SILENT) {
          Store.this.wait(100);
        }
        return new Reply(503, new byte[0]);
      }
      return mode == Mode.BUSY ? new Reply(503, new byte[0]) : null;
    }

    private Reply read(Map<String, String> query) throws InterruptedException, IOException {
      long until = System.nanoTime() + number(query, "wait_ms", 0) * 1_000_000;
      while (true) {
        Reply refusal = refusal();
        if (refusal != null) {
          return refusal;
        }
        Partition partition = partition(query);
        long from = number(query, "from", 0);
        byte[] records = records(partition, from, number(query, "max_kb", 1024) * 1024);
        long left = until - System.nanoTime();
        if (records.length > 0 || left <= 0) {
          ByteBuffer answer = ByteBuffer.allocate(16 + records.length);
          answer.putLong(partition.end).putLong(0).put(records);
          return new Reply(200, answer.array());
        }
        Store.this.wait(Math.max(1, left / 1_000_000));
      }
    }
  }

  private record Reply(int status, byte[] body) {
    static Reply json(int status, ObjectNode node) throws IOException {
      return new Reply(status, JSON.writeValueAsBytes(node));
    }
  }

  Gate openGate() throws IOException {
    return new Gate();
  }

  /** Writes a record as the operator does. */
  synchronized void operatorWrites(String key, String value) {
    add(partition("keyed.op", 0), key, value.getBytes(StandardCharsets.UTF_8));
    notifyAll();
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

  private static long number(Map<String, String> query, String name, long absent) {
    return query.containsKey(name) ? Long.parseLong(query.get(name)) : absent;
  }

  private Partition partition(String topic, long part) {
    return partitions.computeIfAbsent(topic + "/" + part, unused -> new Partition());
  }

  private Partition partition(Map<String, String> query) {
    return partition(query.get("topic"), number(query, "part", 0));
  }

  private Reply reply(String path, Map<String, String> query, byte[] body) throws IOException {
    return switch (path) {
      case "/api/log-append" -> append(query, body);
      case "/api/log-newest" -> newest(query);
      case "/api/log-join" -> join(JSON.readTree(body));
      case "/api/log-leave" -> leave(JSON.readTree(body));
      case "/api/log-owners" -> owners();
      default -> new Reply(404, new byte[0]);
    };
  }

  private static Reply fencedOr(String reason, long expected) throws IOException {
    ObjectNode node = JSON.createObjectNode().put("reason", reason);
    return Reply.json(409, expected < 0 ? node : node.put("seq", expected));
  }

  private Reply append(Map<String, String> query, byte[] body) throws IOException {
    Partition partition = partition(query);
    boolean empty = body.length == 0;
    if (query.containsKey("producer")) {
      long epoch = number(query, "epoch", 0);
      long sequence = number(query, "seq", 0);
      if (epoch < partition.epoch) {
        return fencedOr("fenced", -1);
      }
      if (epoch > partition.epoch) {
        partition.recent.clear();
        partition.epoch = epoch;
        partition.lastSequence = sequence - 1;
      }
      if (!empty) {
        long[] first = partition.recent.get(sequence);
        if (first != null) {
          return appended(first[0], first[1]);
        }
        if (sequence != partition.lastSequence + 1) {
          return fencedOr("seq", partition.lastSequence + 1);
        }
      }
    }
    long offset = partition.end;
    ByteBuffer records = ByteBuffer.wrap(body);
    while (records.hasRemaining()) {
      byte[] record = new byte[records.getInt()];
      records.get(record);
      int keyLength = record[0] & 255;
      String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
      byte[] value = new byte[record.length - 1 - keyLength];
      System.arraycopy(record, 1 + keyLength, value, 0, value.length);
      add(partition, key, value);
    }
    if (query.containsKey("producer") && !empty) {
      long sequence = number(query, "seq", 0);
      partition.lastSequence = sequence;
      partition.recent.put(sequence, new long[] {offset, partition.end});
      partition.recent.keySet().removeIf(old -> old <= sequence - 5);
    }
    notifyAll();
    return appended(offset, partition.end);
  }

  private static void add(Partition partition, String key, byte[] value) {
    partition.history.put(partition.end, new Entry(key, value));
    if (value.length == 0) {
      partition.newest.remove(key);
      partition.values.remove(key);
    } else {
      partition.newest.put(key, partition.end);
      partition.values.put(key, value);
    }
    partition.end++;
  }

  private static Reply appended(long offset, long end) throws IOException {
    return Reply.json(200, JSON.createObjectNode().put("offset", offset).put("end", end));
  }

  private static byte[] records(Partition partition, long from, long maxBytes) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (Entry entry : partition.history.tailMap(from).values()) {
      byte[] key = entry.key.getBytes(StandardCharsets.UTF_8);
      int length = 1 + key.length + entry.value.length;
      if (bytes.size() > 0 && bytes.size() + length > maxBytes) {
        break;
      }
      bytes.writeBytes(ByteBuffer.allocate(4).putInt(length).array());
      bytes.write(key.length);
      bytes.writeBytes(key);
      bytes.writeBytes(entry.value);
    }
    return bytes.toByteArray();
  }

  private Reply newest(Map<String, String> query) throws IOException {
    Partition partition = partition(query);
    String after = query.getOrDefault("depends_on", "");
    ObjectNode node = JSON.createObjectNode();
    ArrayNode items = node.putArray("items");
    boolean more = false;
    for (Map.Entry<String, Long> each : partition.newest.tailMap(after, false).entrySet()) {
      if (items.size() == 500) {
        more = true;
        break;
      }
      String value = Base64.getEncoder().encodeToString(partition.values.get(each.getKey()));
      items.addObject().put("key", each.getKey()).put("value", value).put("offset", each.getValue());
    }
    return Reply.json(200, node.put("more", more).put("end", partition.end));
  }

  private Reply join(JsonNode body) throws IOException {
    expire();
    String name = body.path("member").asText();
    Member member = members.get(name);
    if (member == null) {
      member = new Member();
      members.put(name, member);
      deal();
    }
    member.seenAt = System.nanoTime();
    member.ttlMillis = body.path("ttl_ms").asLong();
    member.generation = body.path("generation").asLong();
    for (int part = 0; part < parts; part++) {
      String to = assigned.get(part);
      // A member that joins with this generation has seen that the partition is no longer its own.
      boolean released = name.equals(holders.get(part)) && member.generation >= generation;
      if (!name.equals(to) && released) {
        holders.remove(part);
      }
      if (name.equals(to) && !holders.containsKey(part)) {
        holders.put(part, name);
      }
    }
    ObjectNode node = JSON.createObjectNode().put("generation", generation);
    ArrayNode rows = node.putArray("parts");
    String topic = body.path("topics").path(0).asText();
    for (int part = 0; part < parts; part++) {
      if (name.equals(assigned.get(part)) && name.equals(holders.get(part))) {
        rows.addArray().add(topic).add(part).add(0);
      }
    }
    return Reply.json(200, node);
  }

  private void expire() {
    long now = System.nanoTime();
    List<String> silent = new ArrayList<>();
    members.forEach(
        (name, member) -> {
          if (now - member.seenAt > member.ttlMillis * 1_000_000) {
            silent.add(name);
          }
        });
    silent.forEach(this::remove);
  }

  private void remove(String name) {
    if (members.remove(name) != null) {
      holders.values().removeIf(name::equals);
      deal();
    }
  }

  /** Distributes the partitions evenly and moves as few as possible. */
  private void deal() {
    generation++;
    if (members.isEmpty()) {
      assigned.clear();
      return;
    }
    int most = (parts + members.size() - 1) / members.size();
    Map<String, Integer> counts = new TreeMap<>();
    members.keySet().forEach(name -> counts.put(name, 0));
    for (int part = 0; part < parts; part++) {
      String owner = assigned.get(part);
      if (owner != null && counts.containsKey(owner) && counts.get(owner) < most) {
        counts.merge(owner, 1, Integer::sum);
      } else {
        assigned.remove(part);
      }
    }
    for (int part = 0; part < parts; part++) {
      if (!assigned.containsKey(part)) {
        String least =
            counts.entrySet().stream().min(Map.Entry.comparingByValue()).orElseThrow().getKey();
        assigned.put(part, least);
        counts.merge(least, 1, Integer::sum);
      }
    }
  }

  /**
   * Deals all partitions anew at once, without any request: one after the other to the members in
   * this order of their names, so that each gets as many as before.
   */
  synchronized void dealAnew(int... order) {
    generation++;
    List<String> names = new ArrayList<>(members.keySet());
    for (int part = 0; part < parts; part++) {
      assigned.put(part, names.get(order[part % order.length]));
      holders.put(part, names.get(order[part % order.length]));
    }
  }

  private Reply leave(JsonNode body) throws IOException {
    expire();
    remove(body.path("member").asText());
    return Reply.json(200, JSON.createObjectNode());
  }

  private Reply owners() throws IOException {
    expire();
    ObjectNode node = JSON.createObjectNode();
    ArrayNode rows = node.putArray("parts");
    for (int part = 0; part < parts; part++) {
      if (holders.containsKey(part)) {
        rows.addArray().add("keyed.marigoldsail-progress").add(part).add(holders.get(part)).add(0);
      }
    }
    return Reply.json(200, node);
  }
}
