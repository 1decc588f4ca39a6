package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableSet;
import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.link.LinkListener;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.protocol.Frame;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Connections that this process dials to entries, one to each.
 *
 * <p>A connection on which nothing comes back is closed and dialled anew, since connections go
 * silent without a reset. Confined to the loop's thread.
 */
final class MemberLinks {
  private static final EventLog LOG = EventLog.of(MemberLinks.class);

  /** A connection that leaves this long something unanswered is given up, in nanoseconds. */
  private static final long SILENCE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_800);

  /** Told of the connections; runs on the loop. */
  interface Listener {
    /** An entry is reached. */
    void opened(String member, LinkConnection link);

    /** An entry sent a frame. */
    void received(String member, Frame frame);

    /** A connection has ended. */
    void closed(String member, LinkConnection link);
  }

  private final LinkLoop loop;
  private final Listener listener;
  private final Map<String, LinkConnection> links = new HashMap<>();
  private final Set<String> dialling = new HashSet<>();

  MemberLinks(LinkLoop loop, Listener listener) {
    this.loop = requireNonNull(loop, "loop");
    this.listener = requireNonNull(listener, "listener");
  }

  /** Returns the connection to the member, or empty if it is not reached. */
  Optional<LinkConnection> linkTo(String member) {
    return Optional.ofNullable(links.get(member));
  }

  /** Returns how many members are reached. */
  int size() {
    return links.size();
  }

  /** Closes connections that went silent; returns the others. */
  ImmutableSet<LinkConnection> closeUnresponsive() {
    long now = loop.now();
    ImmutableSet.Builder<LinkConnection> others = ImmutableSet.builder();
    for (LinkConnection link : Set.copyOf(links.values())) {
      if (link.unansweredNanos(now) > SILENCE_TIMEOUT_NANOS) {
        link.close("silent");
      } else {
        others.add(link);
      }
    }
    return others.build();
  }

  /** Dials the members that are not reached and closes the connections to all others. */
  void setMembers(Set<String> members) {
    for (String member : members) {
      EntryMember.parse(member).ifPresent(parsed -> dial(member, parsed));
    }
    for (String member : Set.copyOf(links.keySet())) {
      if (!members.contains(member)) {
        links.get(member).close("no owner any more");
      }
    }
  }

  private void dial(String member, EntryMember parsed) {
    if (links.containsKey(member) || !dialling.add(member)) {
      return;
    }
    loop.dial(
        parsed.address(),
        new Link(member),
        cause -> {
          dialling.remove(member);
          LOG.debug(LogLine.of("entry-unreachable").with("member", member).with("cause", cause));
        });
  }

  /** One connection. */
  private final class Link implements LinkListener {
    private final String member;

    Link(String member) {
      this.member = member;
    }

    @Override
    public void opened(LinkConnection link) {
      dialling.remove(member);
      links.put(member, link);
      LOG.info(LogLine.of("entry-connected").with("member", member));
      listener.opened(member, link);
    }

    @Override
    public void received(LinkConnection link, Frame frame) {
      listener.received(member, frame);
    }

    @Override
    public void closed(LinkConnection link, String reason) {
      links.remove(member, link);
      LOG.info(LogLine.of("entry-disconnected").with("member", member).with("reason", reason));
      listener.closed(member, link);
    }
  }
}
