package io.marigoldsail.daemon.dispatch;

import com.google.common.collect.ImmutableSet;
import io.marigoldsail.daemon.link.EntryChannel;
import io.marigoldsail.daemon.link.FrameStream;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.link.SideLinks;
import io.marigoldsail.dispatch.ByteBudget;
import io.marigoldsail.membership.Announcement;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.time.MonotonicClock;
import io.marigoldsail.timeline.EventRecorder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** The request half of a side process, wired as the process wires it. */
final class SideUnderTest implements AutoCloseable {
  private static final int SLOTS = 8;

  private final String vm;
  private final long incarnation;
  private final LinkLoop loop;
  private final Target target;
  private final SideDispatcher dispatcher;
  private SideLinks links;
  private final BlockingQueue<Frame> framesToEntry = new LinkedBlockingQueue<>();
  private volatile String address;

  SideUnderTest(
      String vm, long incarnation, int port, Target target, LinkLoop loop, ByteBudget budget)
      throws IOException {
    this.vm = vm;
    this.incarnation = incarnation;
    this.loop = loop;
    this.target = target;
    SideLimits limits = SideLimits.forSlots(SLOTS);
    this.dispatcher =
        new SideDispatcher(
            loop,
            new InetSocketAddress("127.0.0.1", port),
            target,
            limits,
            incarnation,
            new Entries(),
            budget,
            EventRecorder.none());
    dispatcher.onDrainingChanged(
        () -> {
          if (links != null) {
            links.announceNow();
          }
        });
    dispatcher.start();
    this.address = "127.0.0.1:" + dispatcher.port();
  }

  static SideUnderTest withHttpTarget(String vm, long incarnation, String targetAddress)
      throws IOException {
    LinkLoop loop = new LinkLoop(vm, MonotonicClock.system());
    ByteBudget budget = new ByteBudget(2L * BodyLimits.MAX_BYTES);
    TargetClient client = new TargetClient(loop, URI.create(targetAddress), 64, "", budget);
    client.start();
    return new SideUnderTest(vm, incarnation, 0, client, loop, budget);
  }

  /** Announces the given address instead of its own, such as that of a proxy before it. */
  void announceAddress(String newAddress) {
    address = newAddress;
  }

  void announceTo(List<InetSocketAddress> entries) {
    links =
        new SideLinks(
            loop, this::announcement, entries, EventRecorder.none(), new SplittableRandom(7));
    links.addKeyListener(dispatcher.keyListener());
    links.start();
  }

  private Announcement announcement() {
    return new Announcement(
        vm,
        incarnation,
        "suva",
        "suva-r1",
        address,
        "",
        "parking",
        SLOTS,
        dispatcher.isDraining(),
        dispatcher.load(),
        0);
  }

  SideDispatcher dispatcher() {
    return dispatcher;
  }

  SideLinks links() {
    return links;
  }

  LinkLoop loop() {
    return loop;
  }

  int port() {
    return dispatcher.port();
  }

  /** Waits for what is sent to entries that the test is, before this announces itself to others. */
  Frame awaitNextFrameToEntry() throws InterruptedException {
    Frame frame = framesToEntry.poll(30, TimeUnit.SECONDS);
    if (frame == null) {
      throw new AssertionError("nothing was sent to an entry");
    }
    return frame;
  }

  boolean sentNothingToEntries() {
    return framesToEntry.isEmpty();
  }

  /** The way to the entries that it announces itself to; before that, to two that the test is. */
  private final class Entries implements EntryChannel {
    @Override
    public int entryCount() {
      return links == null ? 1 : links.entryCount();
    }

    @Override
    public Set<String> peers() {
      return links == null ? ImmutableSet.of("entry-1", "entry-2") : links.peers();
    }

    @Override
    public void sendTo(String entry, Frame frame) {
      if (links == null) {
        framesToEntry.add(frame);
      } else {
        links.sendTo(entry, frame);
      }
    }

    @Override
    public void sendAllTo(String entry, FrameStream frames) {
      if (links == null) {
        frames.forEachRemaining(framesToEntry::add);
      } else {
        links.sendAllTo(entry, frames);
      }
    }
  }

  /** Ends at once, as when the process is killed. */
  @Override
  public void close() {
    if (links != null) {
      links.close();
    }
    dispatcher.close();
    target.close();
    loop.close();
  }
}
