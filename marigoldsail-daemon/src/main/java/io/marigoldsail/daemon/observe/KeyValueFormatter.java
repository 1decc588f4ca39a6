package io.marigoldsail.daemon.observe;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Locale;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * Writes every log record, also those of libraries, as one line of key=value pairs.
 *
 * <p>Safe for any thread.
 */
public final class KeyValueFormatter extends Formatter {
  private final String process;

  /** Creates a formatter that names the given process on every line. */
  public KeyValueFormatter(String process) {
    this.process = process;
  }

  @Override
  public String format(LogRecord logRecord) {
    String message = formatMessage(logRecord);
    boolean event = message.startsWith("event=") && message.indexOf('\n') < 0;
    String time = logRecord.getInstant().truncatedTo(ChronoUnit.MILLIS).toString();
    LogLine line = LogLine.of("log").with("message", message);
    String body = event ? message : line.toString();
    StringBuilder text =
        new StringBuilder()
            .append("time=")
            .append(withMillis(time, logRecord.getInstant()))
            .append(" level=")
            .append(level(logRecord))
            .append(" process=")
            .append(LogLine.quoted(process))
            .append(" logger=")
            .append(LogLine.quoted(String.valueOf(logRecord.getLoggerName())))
            .append(' ')
            .append(body);
    Throwable thrown = logRecord.getThrown();
    if (thrown != null) {
      text.append(LogLine.of("x").withError(thrown).toString().substring("event=x".length()));
    }
    return text.append('\n').toString();
  }

  /** {@link Instant#toString} leaves out zero milliseconds; columns stay aligned with them. */
  private static String withMillis(String time, Instant instant) {
    boolean whole = instant.truncatedTo(ChronoUnit.MILLIS).getNano() == 0;
    return whole ? time.replace("Z", ".000Z") : time;
  }

  private static String level(LogRecord logRecord) {
    return switch (logRecord.getLevel().intValue()) {
      case 1000 -> "error";
      case 900 -> "warning";
      case 800 -> "info";
      default -> logRecord.getLevel().getName().toLowerCase(Locale.ROOT);
    };
  }
}
