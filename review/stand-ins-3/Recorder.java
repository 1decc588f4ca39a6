import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to the record of a case. */
final class Recorder implements AutoCloseable {
  private final long start = System.nanoTime();
  private final PrintWriter out;

  Recorder(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  /** Returns the milliseconds since the start of the case. */
  long millis() {
    return (System.nanoTime() - start) / 1_000_000;
  }

  synchronized void line(String format, Object... values) {
    out.printf(Locale.ROOT, "%9.3f  %s%n", millis() / 1000.0, String.format(format, values));
  }

  /** Writes the line to the record and to standard output. */
  void say(String format, Object... values) {
    line(format, values);
    System.out.printf(
        Locale.ROOT, "%9.3f  %s%n", millis() / 1000.0, String.format(format, values));
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
