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
    String time = logRecord.getInstant().truncatedTo(ChronoUnit.MILLIS).toString();
    return new StringBuilder()
        .append("time=")
        .append(withMillis(time, logRecord.getInstant()))
        .append(" level=")
        .append(level(logRecord))
        .append(" process=")
        .append(LogLine.quoted(process))
        .append(" logger=")
        .append(LogLine.quoted(String.valueOf(logRecord.getLoggerName())))
        .append(' ')
        .append(body(logRecord))
        .append('\n')
        .toString();
  }

  /**
   * Returns a record that is formatted to the same line, whatever becomes of what the given one
   * refers to: its parameters and what was thrown.
   */
  LogRecord settled(LogRecord logRecord) {
    if (isSettled(logRecord)) {
      return logRecord;
    }
    LogRecord settled = new LogRecord(logRecord.getLevel(), body(logRecord));
    settled.setLoggerName(logRecord.getLoggerName());
    settled.setInstant(logRecord.getInstant());
    return settled;
  }

  private static boolean isSettled(LogRecord logRecord) {
    return logRecord.getParameters() == null
        && logRecord.getThrown() == null
        && logRecord.getResourceBundle() == null
        && logRecord.getMessage() != null;
  }

  private String body(LogRecord logRecord) {
    String message = String.valueOf(formatMessage(logRecord));
    boolean event = message.startsWith("event=") && message.indexOf('\n') < 0;
    String body = event ? message : LogLine.of("log").with("message", message).toString();
    Throwable thrown = logRecord.getThrown();
    if (thrown == null) {
      return body;
    }
    return body + LogLine.of("x").withError(thrown).toString().substring("event=x".length());
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
