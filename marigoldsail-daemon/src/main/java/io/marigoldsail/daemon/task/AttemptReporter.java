package io.marigoldsail.daemon.task;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.protocol.TaskMessage;
import io.marigoldsail.protocol.TaskReport;
import java.util.Collection;
import java.util.List;

/** Sends the reports of a side process's attempts to entries. Not thread-safe. */
final class AttemptReporter {
  private final TaskChannel channel;
  private int round;

  AttemptReporter(TaskChannel channel) {
    this.channel = requireNonNull(channel, "channel");
  }

  /** Resends the reports of ended attempts, which no entry has acknowledged yet. */
  void resendEnded(Collection<SideAttempt> attempts) {
    for (SideAttempt attempt : attempts) {
      if (attempt.phase() == SideAttempt.Phase.ENDED) {
        sendToOne(attempt.toReport());
      }
    }
    round++;
  }

  void sendToAll(TaskReport report) {
    channel.peers().forEach(peer -> send(peer, report));
  }

  /** Sends to one entry, a different one each round, so that a dead entry loses no report. */
  void sendToOne(TaskReport report) {
    List<String> peers = channel.peers();
    if (!peers.isEmpty()) {
      int index = Math.floorMod(report.getTask().hashCode() + round, peers.size());
      send(peers.get(index), report);
    }
  }

  void send(String peer, TaskReport report) {
    channel.send(peer, TaskMessage.newBuilder().setReport(report).build());
  }
}
