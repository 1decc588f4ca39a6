package io.marigoldsail.json;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.marigoldsail.error.Result;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.FutureTask;
import org.junit.jupiter.api.Test;

/** Documents at the limits, from any origin. */
final class JsonLimitsTest {
  /** The stack of the threads of the smallest process. */
  private static final long STACK_BYTES = 256 * 1024;

  private static Result<JsonNode> parse(String text) {
    return Json.parse("a test", text.getBytes(UTF_8));
  }

  private static String nested(int depth, String open, String close) {
    return open.repeat(depth) + close.repeat(depth);
  }

  /** Guards against a document so deep that reading or writing it ends a thread. */
  @Test
  void deepestDocumentFitsIntoASmallStack() throws Exception {
    for (String open : List.of("[", "{\"a\":")) {
      String close = open.equals("[") ? "]" : "}";
      String inner = open.equals("[") ? "" : "1";
      FutureTask<Boolean> used =
          new FutureTask<>(
              () -> {
                String deepest = open.repeat(Json.MAX_DEPTH) + inner + close.repeat(Json.MAX_DEPTH);
                JsonNode node = parse(deepest).value();
                return deepest.equals(Json.write(node))
                    && deepest.equals(node.toString())
                    && deepest.length() == Json.bytes(node).length
                    && node.deepCopy().equals(node)
                    && node.hashCode() == parse(deepest).value().hashCode();
              });
      Thread thread = new Thread(null, used, "small-stack", STACK_BYTES);
      thread.start();
      assertTrue(used.get(), open);
      assertFalse(
          parse(open.repeat(Json.MAX_DEPTH + 1) + inner + close.repeat(Json.MAX_DEPTH + 1)).isOk());
      assertFalse(parse(nested(100_000, open, close)).isOk());
      assertFalse(parse(open.repeat(100_000)).isOk());
    }
  }

  /** Guards against numbers that take long, or much memory, to read. */
  @Test
  void numbersAreBounded() {
    assertTrue(parse("9".repeat(1_000)).isOk());
    assertFalse(parse("9".repeat(1_001)).isOk());
    for (String number : List.of("1e999999999", "-1e999999999", "1e-999999999")) {
      JsonNode node = parse(number).value();
      assertEquals(OptionalLong.empty(), Json.wholeNumber(node, 0, Long.MAX_VALUE), number);
      assertFalse(node.canConvertToLong() && node.asLong() != 0, number);
    }
    for (String number : List.of("NaN", "Infinity", "1e9999999999", "+1", "01", "0x1", "\ud800")) {
      Result<JsonNode> parsed = parse(number);
      assertTrue(!parsed.isOk() || !parsed.value().isIntegralNumber(), number);
    }
  }

  @Test
  void wholeNumbersAreThoseOfTheRange() {
    assertEquals(OptionalLong.of(7), Json.wholeNumber(parse("7").value(), 7, 7));
    assertEquals(OptionalLong.empty(), Json.wholeNumber(parse("7").value(), 8, 9));
    assertEquals(OptionalLong.empty(), Json.wholeNumber(parse("7").value(), 5, 6));
    for (String odd : List.of("7.0", "7e0", "\"7\"", "[7]", "{}", "null", "18446744073709551623")) {
      assertEquals(OptionalLong.empty(), Json.wholeNumber(parse(odd).value(), 0, 9), odd);
    }
  }
}
