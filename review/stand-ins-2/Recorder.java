import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes {@code record.txt}: one line for each event, with seconds since the start. */
final class Recorder {
  private final PrintWriter out;
  private final long start = System.nanoTime();

  Recorder(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  synchronized void write(String line) {
    double seconds = (System.nanoTime() - start) / 1e9;
    out.printf(Locale.ROOT, "%8.3f %s%n", seconds, line);
    out.flush();
  }

  double seconds() {
    return (System.nanoTime() - start) / 1e9;
  }
}
