package io.marigoldsail.configuration;

import static io.marigoldsail.configuration.ConfigurationTesting.baseWithWaiting;
import static io.marigoldsail.configuration.ConfigurationTesting.entry;
import static io.marigoldsail.configuration.ConfigurationTesting.json;
import static io.marigoldsail.configuration.ConfigurationTesting.newer;
import static io.marigoldsail.configuration.ConfigurationTesting.overlayWithWaiting;
import static io.marigoldsail.configuration.ConfigurationTesting.publish;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.marigoldsail.json.Json;
import io.marigoldsail.log.LogEntry;
import io.marigoldsail.log.Position;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

final class ConfigurationFoldTest {
  private final ConfigurationCheck check = new ConfigurationCheck();
  private final ConfigurationFold fold = new ConfigurationFold(check);

  @Test
  void firstOfTwoRecordsCheckedAgainstOneRevisionWins() {
    fold.apply(entry(0, publish("a", 0, "base", baseWithWaiting(1))));
    fold.apply(entry(1, publish("b", 0, "base", baseWithWaiting(2))));
    assertEquals(1, fold.state().revision());
    assertEquals(1, fold.state().configuration("x").service("parking").maxWaiting());
  }

  /**
   * Story: an operator writes a record into the stream by hand, past the publisher's checks.
   * Without a check in the fold every process would take a negative limit over, or die parsing it.
   */
  @Test
  void uncheckedRecordIsIgnored() {
    fold.apply(entry(0, publish("a", 0, "base", baseWithWaiting(7))));
    List<JsonNode> bodies =
        List.of(
            json("7"),
            json("{}"),
            json("{'schema':1,'publish':'x','checkedAgainst':1,'file':'base','content':7}"),
            json("{'schema':'1','publish':'x','checkedAgainst':1,'file':'base','content':{}}"),
            json("{'schema':1,'publish':'x','checkedAgainst':1,'file':'../b','content':{}}"),
            publish("x", 1, "base", baseWithWaiting(-1)).write(),
            publish("x", 1, "vatulele", overlayWithWaiting("kitamizora", 3)).write());
    long offset = 1;
    for (JsonNode body : bodies) {
      Position position = new Position(offset, 0);
      fold.apply(new LogEntry(position, "x/1/" + offset, PublishRecord.TYPE, body));
      offset++;
    }
    assertEquals(1, fold.state().revision());
    assertEquals(bodies.size(), fold.invalidRecordCount());
    fold.apply(entry(offset, publish("b", 1, "base", baseWithWaiting(8))));
    assertEquals(2, fold.state().revision(), "reading goes on");
  }

  /**
   * Story: during an upgrade a newer process publishes a file with keys that the older ones do not
   * know. If the older ones refused the record, they would count one revision less than the newer
   * ones for ever, and accept what those refuse.
   */
  @Test
  void newerVersionRecordIncreasesTheRevisionButIsNotInForce() {
    List<Long> inForce = new ArrayList<>();
    fold.addInForceListener(state -> inForce.add(state.revisionInForce()));
    fold.apply(entry(0, publish("a", 0, "base", baseWithWaiting(7))));
    fold.apply(entry(1, newer(publish("b", 1, "base", json("{'colours':{'sky':'green'}}")))));
    assertEquals(2, fold.state().revision());
    assertEquals(1, fold.state().revisionInForce());
    assertEquals(7, fold.state().configuration("x").service("parking").maxWaiting());

    ConfigurationFold restored = new ConfigurationFold(check);
    restored.restore(fold.snapshot());
    assertEquals(1, restored.state().revisionInForce());
    assertEquals(7, restored.state().configuration("x").service("parking").maxWaiting());

    fold.apply(entry(2, publish("c", 2, "vatulele", overlayWithWaiting("vatulele", 3))));
    assertEquals(3, fold.state().revision());
    assertEquals(1, fold.state().revisionInForce(), "the base is still not understood");
    fold.apply(entry(3, publish("d", 3, "base", baseWithWaiting(9))));
    assertEquals(List.of(0L, 1L, 4L), inForce);
    assertEquals(3, fold.state().configuration("vatulele").service("parking").maxWaiting());
  }

  /**
   * Story: a process starts while the log is down and takes a peer's state. When the log is back it
   * reads the stream from the start: a record that was refused then because it named a revision
   * that did not exist yet must not be accepted now because the revision exists.
   */
  @Test
  void rereadRecordsAreIgnored() {
    List<LogEntry> stream =
        List.of(
            entry(0, publish("early", 2, "base", baseWithWaiting(99))),
            entry(1, publish("a", 0, "base", baseWithWaiting(1))),
            entry(2, publish("b", 1, "base", baseWithWaiting(2))));
    stream.forEach(fold::apply);
    ConfigurationFold restarted = new ConfigurationFold(check);
    restarted.restore(fold.snapshot());
    stream.forEach(restarted::apply);
    assertEquals(2, restarted.state().revision());
    assertEquals(2, restarted.state().configuration("x").service("parking").maxWaiting());
    assertEquals(fold.snapshot(), restarted.snapshot());
  }

  /**
   * Story: a process was frozen for minutes; then a snapshot that another frozen process wrote late
   * arrives. Taking it over would put an old configuration in force again.
   */
  @Test
  void olderSnapshotIsNotRestored() {
    fold.apply(entry(0, publish("a", 0, "base", baseWithWaiting(1))));
    JsonNode old = fold.snapshot();
    fold.apply(entry(1, publish("b", 1, "base", baseWithWaiting(2))));
    fold.restore(old);
    assertEquals(2, fold.state().revision());
    assertEquals(2, fold.state().configuration("x").service("parking").maxWaiting());
  }

  @Test
  void invalidSnapshotIsRejected() {
    fold.apply(entry(0, publish("a", 0, "base", baseWithWaiting(1))));
    assertThrows(IllegalArgumentException.class, () -> fold.restore(json("{'revision':'9'}")));
    assertEquals(1, fold.state().revision());
  }

  @Test
  void historyIsBoundedInVersionsAndBytes() {
    StringBuilder teams = new StringBuilder();
    for (int i = 0; i < 1000; i++) {
      teams.append(i == 0 ? "" : ",").append("'team-").append(i).append("':{'share':2}");
    }
    for (int i = 0; i < 300; i++) {
      JsonNode content =
          json("{'teams':{" + teams + "},'services':{'s':{'maxWaiting':" + i + "}}}");
      fold.apply(entry(i, publish("p" + i, i, "base", content)));
    }
    List<PublishedVersion> history = fold.state().history();
    assertEquals(300, fold.state().revision());
    assertEquals(ConfigurationHistory.MAX_VERSIONS, history.size());
    long bytes =
        history.stream()
            .flatMap(v -> v.content().stream())
            .mapToLong(c -> Json.bytes(c).length)
            .sum();
    assertTrue(bytes <= ConfigurationHistory.MAX_CONTENT_BYTES, "bytes: " + bytes);
    assertTrue(history.get(history.size() - 1).content().isPresent());
    assertTrue(history.get(0).content().isEmpty());
  }

  @Property(seed = "21")
  void arbitraryBodyDoesNotThrow(@ForAll String text, @ForAll long number) {
    ConfigurationFold any = new ConfigurationFold(check);
    JsonNode body =
        Json.object()
            .put("schema", number)
            .put("publish", text)
            .put("checkedAgainst", 0)
            .put("file", "base")
            .set("content", Json.object().put(text, number));
    any.apply(new LogEntry(new Position(0, 0), "x/1/1", PublishRecord.TYPE, body));
    assertTrue(any.state().revision() <= 1);
  }
}
