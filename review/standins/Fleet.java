import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** What all workers know of the jobs, and what has run on them. Safe for any thread. */
final class Fleet {
  static final String SERVICE = "huvo11a";
  static final int CPU = 16_000;
  static final int MEMORY = 64_000;

  /** One run of a task, as the workers saw it. */
  static final class Seen {
    final String task;
    final int attempt;
    final Worker worker;
    final long startedMillis;
    long endedMillis = Long.MAX_VALUE;
    String how = "";
    long notedMillis = Long.MAX_VALUE;
    boolean crashed;

    Seen(String task, int attempt, Worker worker, long startedMillis) {
      this.task = task;
      this.attempt = attempt;
      this.worker = worker;
      this.startedMillis = startedMillis;
    }
  }

  private final Record record;
  private final Map<String, JsonNode> jobs = new ConcurrentHashMap<>();
  private final Map<String, JsonNode> specs = new ConcurrentHashMap<>();
  private final List<Seen> seen = new ArrayList<>();
  private final Map<String, List<Worker.Run>> gangs = new HashMap<>();
  private final Map<String, Boolean> present = new HashMap<>();

  private volatile boolean guards = true;
  private volatile double lateShare;
  private volatile Adviser adviser;

  Fleet(Record record) {
    this.record = record;
  }

  void knows(String id, JsonNode job, JsonNode spec) {
    jobs.put(id, job);
    specs.put(id, spec);
  }

  /** Lets the workers start whatever they are told to, beyond their capacity. */
  void unguarded() {
    guards = false;
  }

  boolean guards() {
    return guards;
  }

  /** Sets the share of starts and stops that get no answer and are carried out late. */
  void lateShare(double share) {
    lateShare = share;
  }

  boolean isLate() {
    return java.util.concurrent.ThreadLocalRandom.current().nextDouble() < lateShare;
  }

  void adviser(Adviser advising) {
    adviser = advising;
  }

  /** Returns whether a start on a queue with advice carries a valid ticket; true on others. */
  boolean hasTicket(String task, String worker, String ticket) {
    return adviser == null || adviser.isValid(task, worker, ticket);
  }

  JsonNode job(String id) {
    return jobs.get(id);
  }

  private static String[] parts(String task) {
    return task.split("\\.");
  }

  /** Returns the phase of the task's step, or null for a job that no client sent. */
  JsonNode step(String task) {
    JsonNode job = jobs.get(parts(task)[0]);
    return job == null ? null : job.path("phases").path(Integer.parseInt(parts(task)[2]));
  }

  double workMillis(String task) {
    JsonNode spec = specs.get(parts(task)[0]);
    return spec == null
        ? 1_000
        : spec.path("work_ms").path(Integer.parseInt(parts(task)[2])).asDouble(1_000);
  }

  /** Returns whether this run fails through its own fault, as the job's text tells. */
  boolean fails(Worker.Run run) {
    JsonNode spec = specs.get(parts(run.task)[0]);
    return spec != null && run.attempt <= spec.path("fails").asInt(0);
  }

  synchronized void started(Worker.Run run, JsonNode call) {
    record.add(
        "run %s#%d starts on %s (%s) checkpoint '%s'",
        run.task, run.attempt, run.worker.machine, run.worker.id, call.path("checkpoint_at").asText(""));
    seen.add(new Seen(run.task, run.attempt, run.worker, record.millis()));
    JsonNode step = run.step;
    if (step != null && step.path("gang").asBoolean()) {
      String key = gang(run);
      gangs.computeIfAbsent(key, unused -> new ArrayList<>()).add(run);
      if (gangs.get(key).size() == step.path("count").asInt()) {
        present.put(key, true);
      }
    }
  }

  private static String gang(Worker.Run run) {
    return run.task.substring(0, run.task.lastIndexOf('.')) + "#" + run.attempt;
  }

  synchronized boolean gangPresent(Worker.Run run) {
    List<Worker.Run> members = gangs.get(gang(run));
    return members != null && members.size() == run.step.path("count").asInt();
  }

  synchronized boolean wasPresent(Worker.Run run) {
    return present.containsKey(gang(run));
  }

  /** Ends all members of the run's gang alike. */
  void endGang(Worker.Run run, String how) {
    List<Worker.Run> members;
    synchronized (this) {
      members = List.copyOf(gangs.getOrDefault(gang(run), List.of()));
    }
    members.forEach(member -> member.worker.end(member, how));
  }

  synchronized void ended(Worker.Run run, String how) {
    record.add("run %s#%d ends %s on %s", run.task, run.attempt, how, run.worker.machine);
    for (Seen each : seen) {
      if (each.worker == run.worker && each.task.equals(run.task) && each.attempt == run.attempt) {
        each.endedMillis = record.millis();
        each.how = how;
      }
    }
    leaveGang(run, how);
  }

  private void leaveGang(Worker.Run run, String how) {
    if (run.step != null && run.step.path("gang").asBoolean()) {
      List<Worker.Run> members = gangs.getOrDefault(gang(run), new ArrayList<>());
      members.remove(run);
      boolean breaks = !how.equals("done") && !how.equals("failed") && present.containsKey(gang(run));
      if (breaks) {
        List<Worker.Run> others = List.copyOf(members);
        Thread thread =
            new Thread(() -> others.forEach(other -> other.worker.end(other, "broken")));
        thread.setDaemon(true);
        thread.start();
      }
    }
  }

  synchronized void lost(Worker.Run run) {
    for (Seen each : seen) {
      if (each.worker == run.worker && each.task.equals(run.task) && each.attempt == run.attempt) {
        each.endedMillis = record.millis();
        each.how = "crashed";
        each.crashed = true;
      }
    }
    leaveGang(run, "crashed");
  }

  synchronized void noted(Worker worker, String task, int attempt, String how) {
    for (Seen each : seen) {
      if (each.worker == worker && each.task.equals(task) && each.attempt == attempt) {
        each.notedMillis = Math.min(each.notedMillis, record.millis());
      }
    }
  }

  synchronized List<Seen> seen() {
    return List.copyOf(seen);
  }

  synchronized List<Seen> seenOf(String id) {
    return seen.stream().filter(each -> each.task.startsWith(id + ".")).toList();
  }
}
