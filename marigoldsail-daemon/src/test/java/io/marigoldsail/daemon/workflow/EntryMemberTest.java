package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

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
}
