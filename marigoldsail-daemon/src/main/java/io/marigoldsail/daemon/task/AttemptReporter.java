package io.marigoldsail.daemon.task;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.protocol.TaskMessage;
import io.marigoldsail.protocol.TaskReport;
import java.util.Collection;
import java.util.List;

/** How a side process tells entries of its attempts. Not safe for use by several threads. */
final class AttemptReporter {
  private final TaskChannel channel;
  private int round;

  AttemptReporter(TaskChannel channel) {
    this.channel = requireNonNull(channel, "channel");
  }

  /** Repeats the reports of ended attempts. */
  void resendEnded(Collection<SideAttempt> tasks) {
    for (SideAttempt task : tasks) {
      if (task.phase() == SideAttempt.Phase.ENDED) {
        sendToOne(task.toReport());
      }
    }
    round++;
  }

  void sendToAll(TaskReport report) {
    channel.peers().forEach(peer -> send(peer, report));
  }

  /** Sends to one entry, another one each round, so that a dead one does not swallow a report. */
  void sendToOne(TaskReport report) {
    List<String> peers = channel.peers();
    if (!peers.isEmpty()) {
      int choice = Math.floorMod(report.getTask().hashCode() + round, peers.size());
      send(peers.get(choice), report);
    }
  }

  void send(String peer, TaskReport report) {
    channel.send(peer, TaskMessage.newBuilder().setReport(report).build());
  }
}
