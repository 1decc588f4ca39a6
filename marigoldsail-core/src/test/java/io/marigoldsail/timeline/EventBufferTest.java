package io.marigoldsail.timeline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.json.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

final class EventBufferTest {
  private final HybridClock clock = new HybridClock(() -> 1);

  @Test
  void oldestEventsAreOverwrittenAndCountedAsLost() {
    EventBuffer buffer = new EventBuffer("vm-1", clock, 4);
    for (int i = 0; i < 10; i++) {
      buffer.record(Event.of(EventKind.TASK_STARTED).withTask("t/" + i));
    }
    EventPage page = buffer.page(0, 100, EventFilter.ALL);
    assertEquals(List.of("t/6", "t/7", "t/8", "t/9"), tasks(page));
    assertEquals(6, page.lost());
    assertEquals(10, page.next());
  }

  @Test
  void pagesAreConsecutive() {
    EventBuffer buffer = new EventBuffer("vm-1", clock, 8);
    for (int i = 0; i < 5; i++) {
      buffer.record(Event.of(EventKind.TASK_STARTED).withTask("t/" + i));
    }
    EventPage first = buffer.page(0, 2, EventFilter.ALL);
    EventPage second = buffer.page(first.next(), 100, EventFilter.ALL);
    assertEquals(List.of("t/0", "t/1"), tasks(first));
    assertEquals(List.of("t/2", "t/3", "t/4"), tasks(second));
    assertEquals(List.of(), tasks(buffer.page(second.next(), 1, EventFilter.ALL)));
  }

  /**
   * Story: a side process restarts while an operator follows the time line; its numbers start again
   * below the one that the operator's tool asks after. The tool would wait for ever.
   */
  @Test
  void sequenceOfAnEarlierIncarnationStartsFromTheOldest() {
    EventBuffer buffer = new EventBuffer("vm-1", clock, 8);
    buffer.record(Event.of(EventKind.PROCESS_STARTED));
    EventPage page = buffer.page(1_000, 10, EventFilter.ALL);
    assertEquals(1, page.events().size());
    assertEquals(1, page.next());
  }

  @Test
  void filteredEventsDoNotCountTowardsTheLimit() {
    EventBuffer buffer = new EventBuffer("vm-1", clock, 64);
    for (int i = 0; i < 30; i++) {
      buffer.record(
          Event.of(EventKind.TASK_STARTED).withTask(i % 2 == 0 ? "even/" + i : "odd/" + i));
    }
    EventPage page = buffer.page(0, 3, new EventFilter("", "odd", "", "", ""));
    assertEquals(List.of("odd/1", "odd/3", "odd/5"), tasks(page));
    assertEquals(6, page.next());
    assertEquals(0, buffer.page(0, 3, new EventFilter("", "od", "", "", "")).events().size());
  }

  /**
   * Story: many requests are recorded at once while the time line is followed. A reader that skips
   * a number whose event is not stored yet would lose it for good.
   */
  @Test
  void concurrentFollowerReadsEveryBufferedEvent() throws InterruptedException {
    int writers = 4;
    int each = 20_000;
    EventBuffer buffer = new EventBuffer("vm-1", clock, 1 << 17);
    CountDownLatch started = new CountDownLatch(writers);
    List<Thread> threads = new ArrayList<>();
    for (int w = 0; w < writers; w++) {
      Thread thread =
          new Thread(
              () -> {
                started.countDown();
                for (int i = 0; i < each; i++) {
                  buffer.record(Event.of(EventKind.REQUEST_ARRIVED));
                }
              });
      threads.add(thread);
      thread.start();
    }
    started.await();
    long read = 0;
    long after = 0;
    boolean writing = true;
    while (writing || after < (long) writers * each) {
      writing = threads.stream().anyMatch(Thread::isAlive);
      EventPage page = buffer.page(after, 1_000, EventFilter.ALL);
      for (TimedEvent event : page.events()) {
        read++;
        assertEquals(read, event.sequence());
      }
      assertEquals(0, page.lost());
      after = page.next();
    }
    assertEquals((long) writers * each, read);
  }

  /**
   * Story: as above, but held still at the very moment: the number is taken, the event not stored.
   */
  @Test
  void readerStopsAtAnEventNotStoredYet() {
    List<EventPage> meanwhile = new ArrayList<>();
    List<EventBuffer> made = new ArrayList<>();
    // Recording reads the wall clock between taking the number and storing the event.
    HybridClock looksInBetween =
        new HybridClock(
            () -> {
              if (!made.isEmpty()) {
                // Reading a page reads the clock too; look once.
                meanwhile.add(made.remove(0).page(0, 10, EventFilter.ALL));
              }
              return 1;
            });
    EventBuffer buffer = new EventBuffer("vm-1", looksInBetween, 8);
    buffer.record(Event.of(EventKind.PROCESS_STARTED));
    made.add(buffer);
    buffer.record(Event.of(EventKind.TASK_STARTED));
    assertEquals(1, meanwhile.get(0).next(), "the second event is still to come");
    assertEquals(0, meanwhile.get(0).asOf(), "so the page cannot say that it told all");
    EventPage page = buffer.page(meanwhile.get(0).next(), 10, EventFilter.ALL);
    assertEquals(EventKind.TASK_STARTED, page.events().get(0).event().kind());
  }

  @Property(seed = "43")
  void pageRoundTripsThroughJson(@ForAll String text, @ForAll EventKind kind) {
    EventBuffer buffer = new EventBuffer("vm-1", clock, 2);
    buffer.record(new Event(kind, text, text, text, text, text, text));
    EventPage page = buffer.page(0, 10, EventFilter.ALL);
    EventPage read =
        Json.parse("page", Json.bytes(EventJson.write(page))).then(EventJson::read).value();
    assertEquals(page.events().size(), read.events().size());
    if (!text.codePoints().anyMatch(c -> c >= 0xD800 && c <= 0xDFFF)) {
      assertEquals(page, read);
    }
  }

  @Test
  void unknownEventKindsAreSkipped() {
    EventBuffer buffer = new EventBuffer("vm-1", clock, 2);
    buffer.record(Event.of(EventKind.TASK_STARTED));
    buffer.record(Event.of(EventKind.TASK_ENDED));
    String json = Json.write(EventJson.write(buffer.page(0, 10, EventFilter.ALL)));
    byte[] newer =
        json.replace("task-started", "task-dreamt")
            .getBytes(java.nio.charset.StandardCharsets.UTF_8);
    EventPage read = Json.parse("page", newer).then(EventJson::read).value();
    assertEquals(1, read.events().size());
    assertTrue(EventKind.forCode("task-dreamt").isEmpty());
  }

  private static List<String> tasks(EventPage page) {
    return page.events().stream().map(timed -> timed.event().task()).toList();
  }
}
