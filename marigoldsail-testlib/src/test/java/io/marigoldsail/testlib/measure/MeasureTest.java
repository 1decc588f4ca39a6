package io.marigoldsail.testlib.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

class MeasureTest {
  private static String outputOf(String... arguments) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
    assertEquals(0, new CommandLine(new Measure(out)).execute(arguments));
    return bytes.toString(StandardCharsets.UTF_8);
  }

  // Guards against hash iteration order or wall-clock time in the model or the decisions, which
  // would
  // make results of different runs incomparable.
  @Test
  void printsTheSameBytesForTheSameSeed() {
    String first = outputOf("--seed", "5", "burst@kitamizora");
    assertEquals(first, outputOf("--seed", "5", "burst@kitamizora"));
    assertNotEquals(first, outputOf("--seed", "6", "burst@kitamizora"));
    assertTrue(first.startsWith(MeasureRows.HEADER + "\n"));
  }

  @Test
  void listsEachPatternForBothDeployments() {
    String list = outputOf("--list");
    for (String pattern : new String[] {"overload", "burst", "hot-caller", "hot-key"}) {
      assertTrue(list.contains(pattern + "@vatulele\n") && list.contains(pattern + "@kitamizora"));
    }
  }

  @Test
  void refusesAnUnknownPattern() {
    assertEquals(2, new CommandLine(new Measure(System.out)).execute("no-such-pattern"));
  }
}
