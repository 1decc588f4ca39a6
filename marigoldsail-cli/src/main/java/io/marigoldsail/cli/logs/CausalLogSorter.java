package io.marigoldsail.cli.logs;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Sorts the log lines of one workflow or task so that causes precede effects.
 *
 * <p>The clocks of processes differ by seconds, so sorting by time would often place an end before
 * the start that caused it. Lines of one process keep their order. Between processes the life cycle
 * of a run decides: accepted, started by the owner, reported on the VM, ended at the owner, and
 * each attempt after the previous one. Lines without such a relation are sorted by timestamp.
 *
 * <p>Stateless. Takes O(n log n) time for n lines.
 */
public final class CausalLogSorter {
  /** The stages in the life cycle of a run. */
  private enum Stage {
    ACCEPTED,
    ORDERED,
    ON_VM,
    ENDED;

    static Optional<Stage> of(String event) {
      return switch (event) {
        case "workflow-submitted" -> Optional.of(ACCEPTED);
        case "run-ordered" -> Optional.of(ORDERED);
        case "start-unanswered",
            "start-overtaken",
            "stop-retried",
            "stop-executed",
            "run-overdue",
            "run-over" ->
            Optional.of(ON_VM);
        case "run-ended" -> Optional.of(ENDED);
        default -> Optional.empty();
      };
    }
  }

  private static final class Node {
    private final LogEntry entry;
    private final int position;
    private final List<Node> effects = new ArrayList<>();
    private int pendingCauses;

    Node(LogEntry entry, int position) {
      this.entry = entry;
      this.position = position;
    }

    void addEffect(Node effect) {
      effects.add(effect);
      effect.pendingCauses++;
    }
  }

  private static final Comparator<Node> BY_TIMESTAMP =
      Comparator.comparing((Node node) -> node.entry.time())
          .thenComparingInt(node -> node.position);

  private CausalLogSorter() {}

  /**
   * Returns the entries about the subject, causes before effects.
   *
   * @param subject the id of a workflow, task or run as written in the log
   * @param entries the entries of all processes; those of one process in the order in which they
   *     were written
   */
  public static ImmutableList<LogEntry> sort(String subject, Collection<LogEntry> entries) {
    checkArgument(!subject.isEmpty(), "no subject");
    List<Node> nodes = new ArrayList<>();
    for (LogEntry entry : entries) {
      if (entry.concerns(subject)) {
        nodes.add(new Node(entry, nodes.size()));
      }
    }
    linkProcesses(nodes);
    linkStages(nodes);
    linkAttempts(nodes);
    return topologicalOrder(nodes);
  }

  private static void linkProcesses(List<Node> nodes) {
    Map<String, Node> last = new HashMap<>();
    for (Node node : nodes) {
      Node previous = last.put(node.entry.process(), node);
      if (previous != null) {
        previous.addEffect(node);
      }
    }
  }

  private static void linkStages(List<Node> nodes) {
    Map<String, List<Node>> byRun = new HashMap<>();
    Optional<Node> accepted = nodes.stream().filter(CausalLogSorter::isAcceptance).findFirst();
    for (Node node : nodes) {
      if (Stage.of(node.entry.event()).isPresent() && !node.entry.run().isEmpty()) {
        byRun.computeIfAbsent(node.entry.run(), unused -> new ArrayList<>()).add(node);
      }
    }
    for (List<Node> runNodes : byRun.values()) {
      accepted.ifPresent(first -> runNodes.forEach(node -> linkUnlessSameProcess(first, node)));
      for (Node cause : runNodes) {
        runNodes.stream()
            .filter(effect -> stage(cause).compareTo(stage(effect)) < 0)
            .forEach(effect -> linkUnlessSameProcess(cause, effect));
      }
    }
  }

  private static boolean isAcceptance(Node node) {
    return node.entry.event().equals("workflow-submitted")
        && "Appended".equals(node.entry.fields().get("result"));
  }

  private static Stage stage(Node node) {
    return Stage.of(node.entry.event()).orElseThrow();
  }

  /** Links each attempt to the end of the previous one, which may have another owner. */
  private static void linkAttempts(List<Node> nodes) {
    Map<String, Node> ended = new HashMap<>();
    for (Node node : nodes) {
      if (node.entry.event().equals("run-ended")) {
        ended.put(node.entry.run(), node);
      }
    }
    for (Node node : nodes) {
      int separator = node.entry.run().lastIndexOf('#');
      if (node.entry.event().equals("run-ordered") && separator > 0) {
        int attempt = Integer.parseInt(node.entry.run().substring(separator + 1));
        Node previous = ended.get(node.entry.run().substring(0, separator + 1) + (attempt - 1));
        if (previous != null) {
          linkUnlessSameProcess(previous, node);
        }
      }
    }
  }

  /**
   * Lines of one process are already linked in their order; another link could only form a cycle.
   */
  private static void linkUnlessSameProcess(Node cause, Node effect) {
    if (!cause.entry.process().equals(effect.entry.process())) {
      cause.addEffect(effect);
    }
  }

  private static ImmutableList<LogEntry> topologicalOrder(List<Node> nodes) {
    PriorityQueue<Node> ready = new PriorityQueue<>(BY_TIMESTAMP);
    nodes.stream().filter(node -> node.pendingCauses == 0).forEach(ready::add);
    List<Node> ordered = new ArrayList<>();
    while (!ready.isEmpty()) {
      Node next = ready.remove();
      ordered.add(next);
      for (Node effect : next.effects) {
        effect.pendingCauses--;
        if (effect.pendingCauses == 0) {
          ready.add(effect);
        }
      }
    }
    // Cycles, as from logs of two incarnations in one file, are sorted by timestamp.
    nodes.stream()
        .filter(node -> node.pendingCauses > 0)
        .sorted(BY_TIMESTAMP)
        .forEach(ordered::add);
    return ordered.stream().map(node -> node.entry).collect(ImmutableList.toImmutableList());
  }
}
