import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What was sent, answered and run, in the order of the real clock. Safe for any thread. */
final class Record {
  private final long startNanos = System.nanoTime();
  private final List<String> lines = new ArrayList<>();

  /** Returns the time since the start of the case, in milliseconds. */
  long millis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void add(String format, Object... arguments) {
    lines.add(String.format("%8.3f  ", millis() / 1000.0) + String.format(format, arguments));
  }

  synchronized void write(Path file) throws IOException {
    Files.write(file, lines);
  }
}
