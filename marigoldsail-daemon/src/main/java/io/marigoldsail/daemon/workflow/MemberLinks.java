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
 * The connections that this process dials to entries, one to each.
 *
 * <p>An unresponsive connection is closed and dialled again, since a connection may fail without a
 * reset. Confined to the loop's thread.
 */
final class MemberLinks {
  private static final EventLog LOG = EventLog.of(MemberLinks.class);

  /** Age of the oldest unanswered frame above which a connection is closed, in nanoseconds. */
  private static final long SILENCE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_800);

  /** Notified of connections and frames; runs on the loop. */
  interface Listener {
    /** Called when a connection to the entry is open. */
    void opened(String member, LinkConnection link);

    /** Called when a frame arrived from the entry. */
    void received(String member, Frame frame);

    /** Called when the connection to the entry has closed. */
    void closed(String member, LinkConnection link);
  }

  private final LinkLoop loop;
  private final Listener listener;
  private final Map<String, LinkConnection> links = new HashMap<>();
  private final Set<String> dialling = new HashSet<>();
  private final Set<String> passedOver = new HashSet<>();

  MemberLinks(LinkLoop loop, Listener listener) {
    this.loop = requireNonNull(loop, "loop");
    this.listener = requireNonNull(listener, "listener");
  }

  /** Returns the connection to the member, or empty if there is no open one. */
  Optional<LinkConnection> linkTo(String member) {
    return Optional.ofNullable(links.get(member));
  }

  /** Returns the number of open connections. */
  int size() {
    return links.size();
  }

  /** Closes the unresponsive connections and returns the others. */
  ImmutableSet<LinkConnection> closeUnresponsive() {
    long now = loop.now();
    ImmutableSet.Builder<LinkConnection> alive = ImmutableSet.builder();
    for (LinkConnection link : Set.copyOf(links.values())) {
      if (link.unansweredNanos(now) > SILENCE_TIMEOUT_NANOS) {
        link.close("silent");
      } else {
        alive.add(link);
      }
    }
    return alive.build();
  }

  /**
   * Dials the given members that are not connected and closes the connections to all others; names
   * that are no member names are logged once and passed over.
   */
  void setMembers(Set<String> members) {
    passedOver.retainAll(members);
    for (String member : members) {
      if (!links.containsKey(member) && !dialling.contains(member)) {
        EntryMember.parse(member)
            .ifPresentOrElse(parsed -> dial(member, parsed), () -> passOver(member));
      }
    }
    for (String member : Set.copyOf(links.keySet())) {
      if (!members.contains(member)) {
        links.get(member).close("entry owns no partition any more");
      }
    }
  }

  private void passOver(String member) {
    if (passedOver.add(member)) {
      LOG.warning(
          LogLine.of("member-passed-over")
              .with("member", member)
              .with("reason", "it is not the name of an entry"));
    }
  }

  private void dial(String member, EntryMember parsed) {
    dialling.add(member);
    loop.dial(
        parsed.address(),
        new Link(member),
        cause -> {
          dialling.remove(member);
          LOG.debug(LogLine.of("entry-unreachable").with("member", member).with("cause", cause));
        });
  }

  /** The connection to one member. */
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
