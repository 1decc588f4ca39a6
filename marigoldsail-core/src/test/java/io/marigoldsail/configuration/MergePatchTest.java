package io.marigoldsail.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.IntNode;
import com.fasterxml.jackson.databind.node.NullNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.marigoldsail.json.Json;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

final class MergePatchTest {
  @Provide
  Arbitrary<JsonNode> documents() {
    return objects(Arbitraries.integers().between(0, 9).map(IntNode::valueOf), 3);
  }

  @Provide
  Arbitrary<JsonNode> patches() {
    Arbitrary<JsonNode> leaves =
        Arbitraries.oneOf(
            Arbitraries.integers().between(0, 9).map(IntNode::valueOf),
            Arbitraries.just(NullNode.getInstance()));
    return objects(leaves, 3);
  }

  private static Arbitrary<JsonNode> objects(Arbitrary<? extends JsonNode> leaves, int depth) {
    Arbitrary<JsonNode> values = leaves.map(leaf -> leaf);
    if (depth > 0) {
      values = Arbitraries.oneOf(values, objects(leaves, depth - 1));
    }
    return Arbitraries.maps(Arbitraries.of("a", "b", "c"), values)
        .ofMaxSize(3)
        .map(MergePatchTest::object);
  }

  private static JsonNode object(Map<String, JsonNode> children) {
    ObjectNode node = Json.object();
    children.forEach(node::set);
    return node;
  }

  @Property(seed = "11")
  void emptyPatchChangesNothing(@ForAll("documents") JsonNode document) {
    assertEquals(document, MergePatch.apply(document, Json.object()));
  }

  @Property(seed = "12")
  void patchIsIdempotent(
      @ForAll("documents") JsonNode document, @ForAll("patches") JsonNode patch) {
    JsonNode once = MergePatch.apply(document, patch);
    assertEquals(once, MergePatch.apply(once, patch));
  }

  @Property(seed = "13")
  void patchAffectsExactlyTheKeysItNames(
      @ForAll("documents") JsonNode document, @ForAll("patches") JsonNode patch) {
    JsonNode before = document.deepCopy();
    assertPatched(document, patch, MergePatch.apply(document, patch));
    assertEquals(before, document, "the arguments stay as they were");
  }

  private static void assertPatched(JsonNode document, JsonNode patch, JsonNode merged) {
    for (String key : new String[] {"a", "b", "c"}) {
      if (!patch.has(key)) {
        assertEquals(document.path(key), merged.path(key));
      } else if (patch.get(key).isNull()) {
        assertFalse(merged.has(key));
      } else if (patch.get(key).isObject()) {
        assertPatched(document.path(key), patch.get(key), merged.path(key));
      } else {
        assertEquals(patch.get(key), merged.get(key));
      }
    }
  }

  /** As in a schema: what is an object under a key in one document is one in all. */
  @Provide
  Arbitrary<JsonNode> documentsOfOneShape() {
    Arbitrary<JsonNode> numbers =
        Arbitraries.integers().between(0, 9).map(number -> (JsonNode) IntNode.valueOf(number));
    Arbitrary<Map<String, JsonNode>> leaves =
        Arbitraries.maps(Arbitraries.of("a", "b"), numbers).ofMaxSize(2);
    Arbitrary<JsonNode> inner = leaves.map(MergePatchTest::object);
    Arbitrary<Map<String, JsonNode>> objects =
        Arbitraries.maps(Arbitraries.of("o", "p"), inner).ofMaxSize(2);
    return Combinators.combine(leaves, objects)
        .as(
            (numbersByKey, objectsByKey) -> {
              ObjectNode node = Json.object();
              numbersByKey.forEach(node::set);
              objectsByKey.forEach(node::set);
              return node;
            });
  }

  @Property(seed = "14")
  void successivePatchesOfOneShapeEqualOneMergedPatch(
      @ForAll("documentsOfOneShape") JsonNode document,
      @ForAll("documentsOfOneShape") JsonNode first,
      @ForAll("documentsOfOneShape") JsonNode second) {
    JsonNode inTurn = MergePatch.apply(MergePatch.apply(document, first), second);
    JsonNode atOnce = MergePatch.apply(document, MergePatch.apply(first, second));
    assertEquals(inTurn, atOnce);
  }
}
