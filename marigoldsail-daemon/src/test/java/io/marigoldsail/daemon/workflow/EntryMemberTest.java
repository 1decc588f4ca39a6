package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.OptionalInt;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.CharRange;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EntryMemberTest {
  private static final long WALL_MILLIS = 1_786_725_341_055L;

  @Test
  void nameWithProcessorsIsReadBack() {
    EntryMember member = new EntryMember("10.1.0.13", 7720, WALL_MILLIS, OptionalInt.of(360));
    assertEquals(Optional.of(member), EntryMember.parse(member.toString()));
  }

  @Test
  void nameWithoutProcessorsIsReadBack() {
    EntryMember member = new EntryMember("10.1.0.13", 7720, WALL_MILLIS);
    assertEquals("10.1.0.13:7720/" + WALL_MILLIS, member.toString());
    assertEquals(Optional.of(member), EntryMember.parse(member.toString()));
  }

  /** Guards against names that versions without processors cannot dial. */
  @Test
  void nameWithProcessorsHasTheFormOfEarlierVersions() {
    String name =
        new EntryMember("10.1.0.13", 7720, WALL_MILLIS, OptionalInt.of(99_999)).toString();
    assertTrue(name.startsWith("10.1.0.13:7720/"), name);
    assertTrue(Long.parseLong(name.substring(name.indexOf('/') + 1)) > WALL_MILLIS, name);
  }

  @Test
  void incarnationsAtOneAddressAreToldApartWhateverTheirProcessors() {
    EntryMember earlier = new EntryMember("10.1.0.13", 7720, WALL_MILLIS - 1);
    EntryMember later = new EntryMember("10.1.0.13", 7720, WALL_MILLIS, OptionalInt.of(360));
    assertTrue(earlier.isEarlierIncarnationOf(later));
  }

  @Test
  void numbersThatCannotBeReadBackAreRefused() {
    for (int milli : new int[] {0, EntryMember.PROCESSORS_RANGE}) {
      OptionalInt processors = OptionalInt.of(milli);
      assertThrows(
          IllegalArgumentException.class,
          () -> new EntryMember("10.1.0.13", 7720, WALL_MILLIS, processors));
    }
    OptionalInt valid = OptionalInt.of(360);
    assertThrows(
        IllegalArgumentException.class, () -> new EntryMember("10.1.0.13", 7720, 1, valid));
  }

  /** Guards against names of other programs that make whoever dials or compares them throw. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        ":",
        "/",
        "127.0.0.1",
        "127.0.0.1:7720",
        "127.0.0.1/5",
        ":7720/5",
        "127.0.0.1:/5",
        "127.0.0.1:7720/",
        "127.0.0.1:0/5",
        "127.0.0.1:-7720/5",
        "127.0.0.1:65536/5",
        "127.0.0.1:70000/5",
        "127.0.0.1:99999999999/5",
        "127.0.0.1:7720/-5",
        "127.0.0.1:7720/9223372036854775808",
        "127.0.0.1:7720/1000000000000000000000",
        "127.0.0.1:7720/100000000000000000",
        "127.0.0.1:7720/5/6",
        "127.0.0.1:+7720/5",
        "127.0.0.1:07720/5",
        "127.0.0.1:7720/05",
        "127.0.0.1:\u0667\u0667\u0662\u0660/5",
        "::1:7720/5",
        "a b:7720/5",
        "\u00e4.example:7720/5",
        "a\n:7720/5",
      })
  void oddNamesAreNoMembers(String name) {
    assertEquals(Optional.empty(), EntryMember.parse(name));
  }

  @Test
  void longHostsAreNoMembers() {
    assertEquals(Optional.empty(), EntryMember.parse("a".repeat(10_000) + ":7720/5"));
  }

  @Property(seed = "21", tries = 2_000)
  void anyNameIsReadWithoutAnException(
      @ForAll @CharRange(from = '-', to = ':') @StringLength(max = 24) String digits,
      @ForAll String any) {
    for (String name : new String[] {any, digits, "127.0.0.1:" + digits, "h:1/" + digits}) {
      EntryMember.parse(name).ifPresent(member -> assertEquals(name, member.toString()));
      EntryMember.parse(name).ifPresent(member -> assertTrue(member.address().getPort() > 0));
    }
  }
}
