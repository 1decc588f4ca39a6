package io.marigoldsail.daemon.observe;

import java.time.Instant;
import java.util.Locale;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * Writes every log record, also those of libraries, as one line of key=value pairs.
 *
 * <p>Safe for any thread.
 */
public final class KeyValueFormatter extends Formatter {
  private static final int NANOS_PER_MILLI = 1_000_000;

  /** Characters of a line before its event, about. */
  private static final int TYPICAL_PREFIX_LENGTH = 160;

  private record FormattedSecond(long epochSecond, String text) {}

  private final String process;
  private volatile FormattedSecond lastSecond = new FormattedSecond(Long.MIN_VALUE, "");

  /** Creates a formatter that names the given process on every line. */
  public KeyValueFormatter(String process) {
    this.process = LogLine.quoted(process);
  }

  @Override
  public String format(LogRecord logRecord) {
    String body = body(logRecord);
    return new StringBuilder(body.length() + TYPICAL_PREFIX_LENGTH)
        .append("time=")
        .append(formatSecond(logRecord.getInstant().getEpochSecond()))
        .append(formatMillis(logRecord.getInstant().getNano()))
        .append(" level=")
        .append(levelName(logRecord))
        .append(" process=")
        .append(process)
        .append(" logger=")
        .append(LogLine.quoted(String.valueOf(logRecord.getLoggerName())))
        .append(' ')
        .append(body)
        .append('\n')
        .toString();
  }

  /**
   * Returns a record that is formatted to the same line, whatever becomes of what the given one
   * refers to: its parameters and what was thrown.
   */
  LogRecord preformat(LogRecord logRecord) {
    if (isPreformatted(logRecord)) {
      return logRecord;
    }
    LogRecord settled = new LogRecord(logRecord.getLevel(), body(logRecord));
    settled.setLoggerName(logRecord.getLoggerName());
    settled.setInstant(logRecord.getInstant());
    return settled;
  }

  private static boolean isPreformatted(LogRecord logRecord) {
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

  /** Returns the date and time of a second, which many lines share. */
  private String formatSecond(long epochSecond) {
    FormattedSecond known = lastSecond;
    if (known.epochSecond() != epochSecond) {
      String text = Instant.ofEpochSecond(epochSecond).toString();
      known = new FormattedSecond(epochSecond, text.substring(0, text.length() - 1));
      lastSecond = known;
    }
    return known.text();
  }

  /** {@link Instant#toString} leaves out zero milliseconds; columns stay aligned with them. */
  private static String formatMillis(int nanos) {
    int beyondThousand = 1_000 + nanos / NANOS_PER_MILLI;
    return '.' + Integer.toString(beyondThousand).substring(1) + 'Z';
  }

  private static String levelName(LogRecord logRecord) {
    return switch (logRecord.getLevel().intValue()) {
      case 1000 -> "error";
      case 900 -> "warning";
      case 800 -> "info";
      default -> logRecord.getLevel().getName().toLowerCase(Locale.ROOT);
    };
  }
}
