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
 * The log lines of one workflow or task, causes before effects.
 *
 * <p>The clocks of processes differ by seconds, so an end would often stand before the order that
 * led to it. What a process writes keeps its own order, and between processes the life of a run
 * decides: accepted, ordered by the owner, told of on the VM, ended at the owner; an attempt after
 * the one before. Where none of that says which is first, the clocks do.
 *
 * <p>Stateless; takes time in lines times the logarithm of lines.
 */
public final class CausalLogSorter {
  /** Where in the life of a run an event stands. */
  private enum Stage {
    ACCEPTED,
    ORDERED,
    ON_VM,
    ENDED;

    static Optional<Stage> of(String event) {
      return switch (event) {
        case "workflow-submitted" -> Optional.of(ACCEPTED);
        case "run-ordered" -> Optional.of(ORDERED);
        case "start-unanswered", "stop-retried", "run-overdue", "run-over" -> Optional.of(ON_VM);
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
   * Returns the entries that concern the subject, causes before effects.
   *
   * @param subject the id of a workflow, task or run, as in the log
   * @param entries of all processes; those of one process in the order in which it wrote them
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
      Node before = last.put(node.entry.process(), node);
      if (before != null) {
        before.addEffect(node);
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
    for (List<Node> ofRun : byRun.values()) {
      accepted.ifPresent(first -> ofRun.forEach(node -> linkUnlessSameProcess(first, node)));
      for (Node cause : ofRun) {
        ofRun.stream()
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

  /** An attempt is ordered once the one before has ended, also by another owner. */
  private static void linkAttempts(List<Node> nodes) {
    Map<String, Node> ended = new HashMap<>();
    for (Node node : nodes) {
      if (node.entry.event().equals("run-ended")) {
        ended.put(node.entry.run(), node);
      }
    }
    for (Node node : nodes) {
      int mark = node.entry.run().lastIndexOf('#');
      if (node.entry.event().equals("run-ordered") && mark > 0) {
        int attempt = Integer.parseInt(node.entry.run().substring(mark + 1));
        Node before = ended.get(node.entry.run().substring(0, mark + 1) + (attempt - 1));
        if (before != null) {
          linkUnlessSameProcess(before, node);
        }
      }
    }
  }

  /** Lines of one process stand in its order already; a second link could only close a circle. */
  private static void linkUnlessSameProcess(Node cause, Node effect) {
    if (!cause.entry.process().equals(effect.entry.process())) {
      cause.addEffect(effect);
    }
  }

  private static ImmutableList<LogEntry> topologicalOrder(List<Node> nodes) {
    PriorityQueue<Node> free = new PriorityQueue<>(BY_TIMESTAMP);
    nodes.stream().filter(node -> node.pendingCauses == 0).forEach(free::add);
    List<Node> ordered = new ArrayList<>();
    while (!free.isEmpty()) {
      Node next = free.remove();
      ordered.add(next);
      for (Node effect : next.effects) {
        effect.pendingCauses--;
        if (effect.pendingCauses == 0) {
          free.add(effect);
        }
      }
    }
    // Lines that contradict each other, as from logs of two lives in one file, are told by clock.
    nodes.stream()
        .filter(node -> node.pendingCauses > 0)
        .sorted(BY_TIMESTAMP)
        .forEach(ordered::add);
    return ordered.stream().map(node -> node.entry).collect(ImmutableList.toImmutableList());
  }
}
