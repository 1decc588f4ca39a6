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
 * Publishers in several processes race over one log, step by step in a drawn order; what they were
 * told is then held against the one order of the log.
 */
final class ConcurrentPublishTest {
  private static final int PROCESSES = 4;
  private static final int OPERATORS = 10;
  private static final long NO_DEADLINE = Long.MAX_VALUE / 2;
  private static final List<String> FILES = List.of("base", "vatulele", "kitamizora");

  private final ConfigurationCheck check = new ConfigurationCheck();

  /** The log and the processes that read it, each at its own pace. */
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

    /** Takes one step that is possible: an append takes effect, or a process reads one entry. */
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

  /** One process: its fold, its place in the log, its publisher, and what operators were told. */
  private final class Process {
    final TestCluster world;
    final Map<Position, CompletableFuture<Result<Position>>> readBack = new TreeMap<>();
    final List<Long> revisions = new ArrayList<>();
    final String name;
    ConfigurationFold fold;
    ConfigurationPublisher publisher;
    int next;

    Process(TestCluster world, String name) {
      this.world = world;
      this.name = name;
      start(0);
    }

    void start(int life) {
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
              name + "/" + life);
    }

    /**
     * As the log slice appends: the record takes effect later; now and then its answer is lost,
     * then it is found by its id or stored a second time.
     */
    CompletableFuture<Result<Position>> append(String type, JsonNode body) {
      CompletableFuture<Result<Position>> result = new CompletableFuture<>();
      world.appends.add(
          () -> {
            Position first = store(type, body);
            readBack.put(first, result);
            if (world.random.nextInt(4) == 0) {
              world.lostResponses++;
              store(type, body);
            }
          });
      return result;
    }

    Position store(String type, JsonNode body) {
      Position position = new Position(world.log.size(), 0);
      world.log.add(new LogEntry(position, name + "/1/" + position.offset(), type, body));
      return position;
    }

    boolean read() {
      if (next >= world.log.size()) {
        return false;
      }
      LogEntry entry = world.log.get(next);
      next++;
      fold.apply(entry);
      revisions.add(fold.state().revisionInForce());
      CompletableFuture<Result<Position>> waiting = readBack.remove(entry.position());
      if (waiting != null) {
        waiting.complete(Result.ok(entry.position()));
      }
      return true;
    }
  }

  /** One publish, the file's revision that it was made from, and what its operator was told. */
  private record PendingPublish(
      PublishRequest request, long basis, CompletableFuture<Result<PublishResult>> result) {}

  /**
   * Story: ten operators publish at the same moment through four entries, some of them the same
   * file, and the log loses answers after storing records. Each is told accepted or who was first;
   * what they were told fits one order, and all processes hold the same in the end.
   */
  @Property(seed = "31", tries = 150)
  void publishResultsMatchTheOrderOfTheLog(@ForAll long seed, @ForAll @IntRange(max = 60) int gap) {
    TestCluster world = new TestCluster(seed);
    List<PendingPublish> asked = new ArrayList<>();
    for (int i = 0; i < OPERATORS; i++) {
      asked.add(publish(world, i));
      world.run(world.random.nextInt(gap + 1));
    }
    world.finish();
    assertResultsMatchHistory(world, asked);
  }

  private PendingPublish publish(TestCluster world, int operator) {
    String file = FILES.get(world.random.nextInt(FILES.size()));
    JsonNode content =
        file.equals("base")
            ? ConfigurationTesting.baseWithWaiting(operator + 1)
            : ConfigurationTesting.overlayWithWaiting(file, operator + 1);
    Process process = world.processes.get(world.random.nextInt(PROCESSES));
    PublishRequest request =
        new PublishRequest(file, content, "operator-" + operator, "", OptionalLong.empty());
    long basis = process.fold.state().fileRevision(file);
    return new PendingPublish(request, basis, process.publisher.publish(request, NO_DEADLINE));
  }

  private void assertResultsMatchHistory(TestCluster world, List<PendingPublish> asked) {
    ConfigurationState end = world.processes.get(0).fold.state();
    for (Process process : world.processes) {
      assertEquals(end.files().contents(), process.fold.state().files().contents());
      assertEquals(end.revision(), process.fold.state().revision());
      List<Long> sorted = process.revisions.stream().sorted().toList();
      assertEquals(sorted, process.revisions, "revisions never go down");
    }
    long accepted = 0;
    for (PendingPublish one : asked) {
      assertTrue(one.result().isDone(), "nobody is left without an answer");
      Result<PublishResult> told = one.result().join();
      if (told.isOk()) {
        accepted++;
        assertAccepted(end, one, told.value());
      } else {
        assertConflict(end, one.request(), ((Result.Failed<PublishResult>) told).failure());
      }
    }
    assertEquals(end.revision(), accepted, "nothing but what was told as accepted is in force");
  }

  private void assertAccepted(
      ConfigurationState end, PendingPublish asked, PublishResult published) {
    PublishRequest request = asked.request();
    PublishedVersion version = end.version(published.revision()).orElseThrow();
    assertEquals(request.file(), version.file());
    assertEquals(request.author(), version.author());
    assertEquals(request.content(), version.content().orElseThrow());
    boolean lostUpdate =
        end.history().stream()
            .filter(v -> v.file().equals(request.file()))
            .anyMatch(v -> v.revision() > asked.basis() && v.revision() < published.revision());
    assertFalse(lostUpdate, "a change that the operator never saw was overwritten");
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
   * Story: entries die and come back while operators publish; one of them starts with a peer's
   * state because the log is down at that moment. No process may ever show an older revision than
   * before.
   */
  @Property(seed = "32", tries = 100)
  void revisionsNeverDecreaseAcrossRestarts(@ForAll long seed) {
    TestCluster world = new TestCluster(seed);
    for (int i = 0; i < OPERATORS; i++) {
      publish(world, i);
      world.run(20);
      Process restarted = world.processes.get(world.random.nextInt(PROCESSES));
      Process peer = world.processes.get(world.random.nextInt(PROCESSES));
      JsonNode peerState = peer.fold.snapshot();
      long known = peer.fold.state().revisionInForce();
      restarted.start(i + 1);
      restarted.fold.restore(peerState);
      restarted.revisions.clear();
      assertEquals(known, restarted.fold.state().revisionInForce());
    }
    world.finish();
    ConfigurationState end = world.processes.get(0).fold.state();
    for (Process process : world.processes) {
      assertEquals(end.files().contents(), process.fold.state().files().contents());
      assertEquals(process.revisions.stream().sorted().toList(), process.revisions);
    }
  }
}
