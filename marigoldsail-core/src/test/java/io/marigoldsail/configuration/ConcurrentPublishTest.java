package io.marigoldsail.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Failure;
import io.marigoldsail.error.Result;
import io.marigoldsail.log.LogEntry;
import io.marigoldsail.log.Position;
import io.marigoldsail.timeline.EventRecorder;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Publishers in several processes publish concurrently to one log, in a random order of steps;
 * their results are checked against the order of the log.
 */
final class ConcurrentPublishTest {
  private static final int PROCESSES = 4;
  private static final int OPERATORS = 10;
  private static final long NO_DEADLINE = Long.MAX_VALUE / 2;
  private static final List<String> FILES = List.of("base", "vatulele", "kitamizora");

  private final ConfigurationCheck check = new ConfigurationCheck();

  /** The log and the processes that read it, each at its own speed. */
  private final class TestCluster {
    final Random random;
    final List<LogEntry> log = new ArrayList<>();
    final List<Process> processes = new ArrayList<>();
    final Queue<Runnable> appends = new ArrayDeque<>();
    int lostResponses;

    TestCluster(long seed) {
      random = new Random(seed);
      for (int i = 0; i < PROCESSES; i++) {
        processes.add(new Process(this, "entry-" + i));
      }
    }

    /** Runs one random step: an append takes effect, or a process reads one entry. */
    void step() {
      int choice = random.nextInt(PROCESSES + 1);
      if (choice == PROCESSES) {
        Runnable append = appends.poll();
        if (append != null) {
          append.run();
        }
      } else {
        processes.get(choice).read();
      }
    }

    void run(int steps) {
      for (int i = 0; i < steps; i++) {
        step();
      }
    }

    void finish() {
      boolean busy = true;
      while (busy) {
        Runnable append = appends.poll();
        if (append != null) {
          append.run();
        }
        busy = append != null;
        for (Process process : processes) {
          busy |= process.read();
        }
      }
    }
  }

  /** A process with its fold, read position, publisher and the revisions that were in force. */
  private final class Process {
    final TestCluster cluster;
    final Map<Position, CompletableFuture<Result<Position>>> readBack = new TreeMap<>();
    final List<Long> revisions = new ArrayList<>();
    final String name;
    ConfigurationFold fold;
    ConfigurationPublisher publisher;
    int next;

    Process(TestCluster cluster, String name) {
      this.cluster = cluster;
      this.name = name;
      start(0);
    }

    void start(int incarnation) {
      fold = new ConfigurationFold(check);
      next = 0;
      publisher =
          new ConfigurationPublisher(
              fold,
              check,
              this::append,
              EventRecorder.none(),
              () -> 0,
              () -> 0,
              Runnable::run,
              name + "/" + incarnation);
    }

    /**
     * Appends as the log package does: the record takes effect later. Sometimes the response is
     * lost, and the record is stored a second time.
     */
    CompletableFuture<Result<Position>> append(String type, JsonNode body) {
      CompletableFuture<Result<Position>> result = new CompletableFuture<>();
      cluster.appends.add(
          () -> {
            Position first = store(type, body);
            readBack.put(first, result);
            if (cluster.random.nextInt(4) == 0) {
              cluster.lostResponses++;
              store(type, body);
            }
          });
      return result;
    }

    Position store(String type, JsonNode body) {
      Position position = new Position(cluster.log.size(), 0);
      cluster.log.add(new LogEntry(position, name + "/1/" + position.offset(), type, body));
      return position;
    }

    boolean read() {
      if (next >= cluster.log.size()) {
        return false;
      }
      LogEntry entry = cluster.log.get(next);
      next++;
      fold.apply(entry);
      revisions.add(fold.state().revisionInForce());
      CompletableFuture<Result<Position>> pending = readBack.remove(entry.position());
      if (pending != null) {
        pending.complete(Result.ok(entry.position()));
      }
      return true;
    }
  }

  /** A publish, the file's revision that it is based on, and its result. */
  private record PendingPublish(
      PublishRequest request, long basis, CompletableFuture<Result<PublishResult>> result) {}

  /**
   * Ten operators publish concurrently through four entries, some of them the same file, and the
   * log loses responses after storing records. Each publish is accepted or fails with a conflict
   * that names the author; the results match the order of the log, and all processes reach the same
   * state.
   */
  @Property(seed = "31", tries = 150)
  void publishResultsMatchTheOrderOfTheLog(@ForAll long seed, @ForAll @IntRange(max = 60) int gap) {
    TestCluster cluster = new TestCluster(seed);
    List<PendingPublish> publishes = new ArrayList<>();
    for (int i = 0; i < OPERATORS; i++) {
      publishes.add(publish(cluster, i));
      cluster.run(cluster.random.nextInt(gap + 1));
    }
    cluster.finish();
    assertResultsMatchHistory(cluster, publishes);
  }

  private PendingPublish publish(TestCluster cluster, int operator) {
    String file = FILES.get(cluster.random.nextInt(FILES.size()));
    JsonNode content =
        file.equals("base")
            ? ConfigurationTesting.baseWithWaiting(operator + 1)
            : ConfigurationTesting.overlayWithWaiting(file, operator + 1);
    Process process = cluster.processes.get(cluster.random.nextInt(PROCESSES));
    PublishRequest request =
        new PublishRequest(file, content, "operator-" + operator, "", OptionalLong.empty());
    long basis = process.fold.state().fileRevision(file);
    return new PendingPublish(request, basis, process.publisher.publish(request, NO_DEADLINE));
  }

  private void assertResultsMatchHistory(TestCluster cluster, List<PendingPublish> publishes) {
    ConfigurationState end = cluster.processes.get(0).fold.state();
    for (Process process : cluster.processes) {
      assertEquals(end.files().contents(), process.fold.state().files().contents());
      assertEquals(end.revision(), process.fold.state().revision());
      List<Long> sorted = process.revisions.stream().sorted().toList();
      assertEquals(sorted, process.revisions, "revisions never decrease");
    }
    long accepted = 0;
    for (PendingPublish one : publishes) {
      assertTrue(one.result().isDone(), "every publish has a result");
      Result<PublishResult> told = one.result().join();
      if (told.isOk()) {
        accepted++;
        assertAccepted(end, one, told.value());
      } else {
        assertConflict(end, one.request(), ((Result.Failed<PublishResult>) told).failure());
      }
    }
    assertEquals(end.revision(), accepted, "every revision is a publish reported as accepted");
  }

  private void assertAccepted(
      ConfigurationState end, PendingPublish publish, PublishResult published) {
    PublishRequest request = publish.request();
    PublishedVersion version = end.version(published.revision()).orElseThrow();
    assertEquals(request.file(), version.file());
    assertEquals(request.author(), version.author());
    assertEquals(request.content(), version.content().orElseThrow());
    boolean lostUpdate =
        end.history().stream()
            .filter(v -> v.file().equals(request.file()))
            .anyMatch(v -> v.revision() > publish.basis() && v.revision() < published.revision());
    assertFalse(lostUpdate, "a change was overwritten that the operator had not seen");
  }

  private void assertConflict(ConfigurationState end, PublishRequest request, Failure failure) {
    assertEquals(ErrorKind.CONFLICT, failure.kind());
    boolean winnerNamed =
        end.history().stream()
            .filter(v -> v.file().equals(request.file()))
            .anyMatch(
                v ->
                    failure
                        .detail()
                        .contains("by " + v.author() + " in revision " + v.revision() + ";"));
    assertTrue(winnerNamed, failure.detail());
  }

  /**
   * Entries restart while operators publish; a restarted one begins with a peer's state, as during
   * a log outage. The revision in force never decreases in any process.
   */
  @Property(seed = "32", tries = 100)
  void revisionsNeverDecreaseAcrossRestarts(@ForAll long seed) {
    TestCluster cluster = new TestCluster(seed);
    for (int i = 0; i < OPERATORS; i++) {
      publish(cluster, i);
      cluster.run(20);
      Process restarted = cluster.processes.get(cluster.random.nextInt(PROCESSES));
      Process peer = cluster.processes.get(cluster.random.nextInt(PROCESSES));
      JsonNode peerState = peer.fold.snapshot();
      long known = peer.fold.state().revisionInForce();
      restarted.start(i + 1);
      restarted.fold.restore(peerState);
      restarted.revisions.clear();
      assertEquals(known, restarted.fold.state().revisionInForce());
    }
    cluster.finish();
    ConfigurationState end = cluster.processes.get(0).fold.state();
    for (Process process : cluster.processes) {
      assertEquals(end.files().contents(), process.fold.state().files().contents());
      assertEquals(process.revisions.stream().sorted().toList(), process.revisions);
    }
  }
}
