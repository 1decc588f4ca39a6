package io.marigoldsail.daemon;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.link.PeerLinks;
import io.marigoldsail.daemon.task.TaskChannel;
import io.marigoldsail.protocol.TaskMessage;
import java.util.List;

/** Sends task messages over the control links. */
final class LinkTaskChannel implements TaskChannel {
  private final PeerLinks links;

  LinkTaskChannel(PeerLinks links) {
    this.links = requireNonNull(links, "links");
  }

  @Override
  public boolean send(String peer, TaskMessage message) {
    return links.send(peer, message);
  }

  @Override
  public List<String> peers() {
    return List.copyOf(links.peers());
  }
}
