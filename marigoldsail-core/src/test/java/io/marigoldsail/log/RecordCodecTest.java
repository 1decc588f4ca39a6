package io.marigoldsail.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.marigoldsail.log.RecordCodec.Decoded;
import io.marigoldsail.log.RecordCodec.SkipReason;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

final class RecordCodecTest {
  @Test
  void recordRoundTrips() {
    Decoded decoded = RecordCodec.decode(record("entry-1/a/1", "entry-1/a/2"));

    assertEquals(2, decoded.entries().size());
    assertEquals("entry-1/a/2", decoded.entries().get(1).id());
    assertEquals(1, decoded.entries().get(1).index());
    assertEquals(List.of(), decoded.skips());
  }

  @Test
  void recordsOfNewerVersionsAreSkipped() {
    // One entry is upgraded first and writes records that the others cannot read yet. They have to
    // read on, or the upgrade of one process stops all others.
    assertEquals(List.of(SkipReason.NEWER_VERSION), skips("{\"v\":2,\"sealed\":\"x\"}"));
  }

  @Test
  void unknownFieldsAreIgnored() {
    String text =
        "{\"v\":1,\"from\":9,\"entries\":[{\"id\":\"a/1/1\",\"type\":\"t\",\"body\":1,\"x\":2}]}";

    assertEquals(1, RecordCodec.decode(bytes(text)).entries().size());
  }

  @Test
  void malformedEntriesAreSkippedAmongValidOnes() {
    String text =
        "{\"v\":1,\"entries\":[{\"id\":\"a/1/1\",\"type\":\"t\",\"body\":{}},{\"id\":7},null,"
            + "{\"id\":\"a/1/x\",\"type\":\"t\",\"body\":{}},{\"id\":\"a/1/2\",\"type\":\"t\",\"body\":{}}]}";

    Decoded decoded = RecordCodec.decode(bytes(text));

    assertEquals(2, decoded.entries().size());
    assertEquals(4, decoded.entries().get(1).index());
    assertEquals(
        List.of(SkipReason.MALFORMED, SkipReason.MALFORMED, SkipReason.MALFORMED), decoded.skips());
  }

  @Test
  void skipReasonNamesTheFault() {
    assertEquals(List.of(SkipReason.NOT_JSON), skips(""));
    assertEquals(List.of(SkipReason.NOT_JSON), skips("[1]"));
    assertEquals(List.of(SkipReason.NOT_JSON), skips("{\"v\":1,\"entries\":[]} trailing"));
    assertEquals(List.of(SkipReason.NOT_JSON), skips("[".repeat(100_000)));
    assertEquals(List.of(SkipReason.MALFORMED), skips("{\"entries\":[]}"));
    assertEquals(List.of(SkipReason.MALFORMED), skips("{\"v\":\"one\",\"entries\":[]}"));
    assertEquals(List.of(SkipReason.MALFORMED), skips("{\"v\":1,\"entries\":{}}"));
  }

  @Property(seed = "3101")
  void randomBytesDecodeToNoEntries(@ForAll byte[] bytes) {
    assertTrue(RecordCodec.decode(bytes).entries().isEmpty());
  }

  @Property(seed = "3102")
  void truncatedRecordDecodesToNoEntries(@ForAll @IntRange(min = 0, max = 10_000) int cut) {
    byte[] whole = record("entry-1/a/1", "entry-1/a/2", "entry-1/a/3");
    byte[] half = Arrays.copyOf(whole, cut % whole.length);

    assertTrue(RecordCodec.decode(half).entries().isEmpty());
  }

  @Property(seed = "3103")
  void recordWithAnyChangedByteIsDecodedOrSkipped(
      @ForAll @IntRange(min = 0, max = 10_000) int place, @ForAll byte changed) {
    byte[] record = record("entry-1/a/1", "entry-1/a/2");
    record[place % record.length] = changed;

    Decoded decoded = RecordCodec.decode(record);

    assertTrue(decoded.entries().size() + decoded.skips().size() >= 1, decoded.toString());
  }

  private static byte[] record(String... ids) {
    return RecordCodec.encodeRecord(
        Arrays.stream(ids)
            .map(id -> RecordCodec.encodeEntry(id, "t", JsonNodeFactory.instance.textNode(id)))
            .toList());
  }

  private static List<SkipReason> skips(String text) {
    return RecordCodec.decode(bytes(text)).skips();
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
