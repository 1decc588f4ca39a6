package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.protocol.OwnerMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.IntStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

class OwnerMapCodecTest {
  private static final long GENERATION = 9;
  private static final int PARTITIONS = 48;
  private static final int MEMBERS = 12;

  private static Map<Integer, String> owners() {
    Map<Integer, String> owners = new HashMap<>();
    IntStream.range(0, PARTITIONS)
        .forEach(i -> owners.put(i, "10.1.0." + i % MEMBERS + ":7720@1764800000000"));
    return owners;
  }

  @Test
  void bothFormsAreDecodedAlike() {
    Map<Integer, String> owners = owners();
    owners.remove(0);
    owners.remove(17);
    OwnerMap listed = OwnerMapCodec.encodeWithMemberList(owners, GENERATION);
    OwnerMap named = OwnerMapCodec.encode(owners, GENERATION);
    assertEquals(owners, OwnerMapCodec.decode(listed));
    assertEquals(owners, OwnerMapCodec.decode(named));
    assertEquals(named.getDigest(), listed.getDigest());
    assertEquals(GENERATION, listed.getGeneration());
  }

  /**
   * Guards against a map that a process takes for its own: the hash codes of maps whose members
   * exchange partitions are often equal.
   */
  @Test
  void ownersThatExchangePartitionsHaveAnotherFingerprint() {
    Map<Integer, String> before = Map.of(0, "a", 1, "b", 2, "b", 3, "a");
    Map<Integer, String> after = Map.of(0, "b", 1, "a", 2, "a", 3, "b");
    assertEquals(before.hashCode(), after.hashCode());
    assertNotEquals(OwnerMapCodec.fingerprint(before), OwnerMapCodec.fingerprint(after));
  }

  /** Guards against entries and side processes that never agree on the fingerprint of one map. */
  @Property
  void fingerprintsAreEqualForEqualOwnersOnly(
      @ForAll("ownerMaps") Map<Integer, String> one,
      @ForAll("ownerMaps") Map<Integer, String> two) {
    assertEquals(one.equals(two), OwnerMapCodec.fingerprint(one) == OwnerMapCodec.fingerprint(two));
    assertEquals(
        OwnerMapCodec.fingerprint(one), OwnerMapCodec.fingerprint(new LinkedHashMap<>(one)));
    assertEquals(one, OwnerMapCodec.decode(OwnerMapCodec.encodeWithMemberList(one, GENERATION)));
  }

  @Provide
  Arbitrary<Map<Integer, String>> ownerMaps() {
    return Arbitraries.maps(
            Arbitraries.integers().between(0, 5), Arbitraries.of("a:1@1", "b:1@1", "a:1@2"))
        .ofMaxSize(6);
  }

  /**
   * Guards against a side process of an older version that passes over a map for its digest, though
   * the owners differ.
   */
  @Property
  void digestOfAMapIsNotThatOfTheMapInUseAtAnOlderSideProcess(
      @ForAll("ownerMaps") Map<Integer, String> sent) {
    int digest = OwnerMapCodec.encode(sent, GENERATION).getDigest();
    assertNotEquals(OwnerMapCodec.legacyDigest(sent), digest);
  }

  @Test
  void noOwnersAreAnEmptyMap() {
    assertTrue(OwnerMapCodec.isEmpty(OwnerMapCodec.encode(Map.of(), GENERATION)));
    assertTrue(OwnerMapCodec.isEmpty(OwnerMapCodec.encodeWithMemberList(Map.of(), GENERATION)));
  }

  /** Guards against a malformed map that breaks the connection or names a wrong owner. */
  @Test
  void positionsOfUnknownMembersAreIgnored() {
    OwnerMap map =
        OwnerMap.newBuilder()
            .addMembers("a")
            .addOwnerPositions(2)
            .addOwnerPositions(1)
            .addOwnerPositions(-1)
            .build();
    assertEquals(Map.of(1, "a"), OwnerMapCodec.decode(map));
  }

  /** Guards against links of a starting fleet that carry little but the names of owners. */
  @Test
  void mapOfAFleetIsSmall() {
    int listed = OwnerMapCodec.encodeWithMemberList(owners(), GENERATION).getSerializedSize();
    int named = OwnerMapCodec.encode(owners(), GENERATION).getSerializedSize();
    assertTrue(3 * listed < named, listed + " bytes instead of " + named);
  }
}
