package io.marigoldsail.daemon.observe;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

/**
 * A log event as a line of key=value pairs, starting with {@code event=}.
 *
 * <p>Values that contain spaces, quotes, equals signs or control characters are quoted and escaped,
 * so that a line never contains a line break and can always be parsed back into its pairs, even if
 * a value was sent by a caller. Immutable. Rejects nulls.
 *
 * <pre>{@code
 * log.info(LogLine.of("log-outage-began").with("stream", stream).with("offset", offset));
 * }</pre>
 */
public final class LogLine {
  private static final int MAX_VALUE_LENGTH = 2000;

  /** The last printable ASCII character. */
  private static final int LAST_PRINTABLE_ASCII = '~';

  private final String text;

  private LogLine(String text) {
    this.text = text;
  }

  /** Returns a line for an event. The event's name is in lower case with hyphens. */
  public static LogLine of(String event) {
    return new LogLine("event=" + quoted(event));
  }

  /** Returns this line with a pair appended. */
  public LogLine with(String key, Object value) {
    checkArgument(isKey(key), "invalid log key: %s", key);
    return withFormatted(key, quoted(String.valueOf(value)));
  }

  /** Returns this line with a pair appended. */
  public LogLine with(String key, long value) {
    checkArgument(isKey(key), "invalid log key: %s", key);
    return withFormatted(key, Long.toString(value));
  }

  private LogLine withFormatted(String key, String formatted) {
    int length = text.length() + key.length() + formatted.length() + 2;
    return new LogLine(
        new StringBuilder(length)
            .append(text)
            .append(' ')
            .append(key)
            .append('=')
            .append(formatted)
            .toString());
  }

  /** Returns this line with the exception and the location that threw it. */
  public LogLine withError(Throwable error) {
    requireNonNull(error, "error");
    StackTraceElement[] trace = error.getStackTrace();
    LogLine line = with("error", error);
    return trace.length == 0 ? line : line.with("at", trace[0]);
  }

  /** Returns the line without a line terminator. */
  @Override
  public String toString() {
    return text;
  }

  private static boolean isKey(String key) {
    for (int i = 0; i < key.length(); i++) {
      char c = key.charAt(i);
      if (c != '_' && c != '.' && !Character.isLetterOrDigit(c)) {
        return false;
      }
    }
    return !key.isEmpty();
  }

  /** Returns the value as written after the equals sign: truncated, and quoted if needed. */
  static String quoted(String value) {
    String truncated = value;
    if (truncated.length() > MAX_VALUE_LENGTH) {
      truncated = truncated.substring(0, MAX_VALUE_LENGTH) + "...";
    }
    if (!truncated.isEmpty() && isPlain(truncated)) {
      return truncated;
    }
    StringBuilder quoted = new StringBuilder(truncated.length() + 2).append('"');
    for (int i = 0; i < truncated.length(); i++) {
      appendEscaped(quoted, truncated.charAt(i));
    }
    return quoted.append('"').toString();
  }

  /** Uses a loop instead of a stream because it runs for every value of every line. */
  private static boolean isPlain(String value) {
    for (int i = 0; i < value.length(); i++) {
      if (!isPlain(value.charAt(i))) {
        return false;
      }
    }
    return true;
  }

  private static boolean isPlain(int c) {
    return c > ' ' && c != '"' && c != '=' && c != '\\' && !isControl(c);
  }

  /** Includes line and paragraph separators, which some log readers treat as line breaks. */
  private static boolean isControl(int c) {
    if (c >= ' ' && c <= LAST_PRINTABLE_ASCII) {
      return c == ' ';
    }
    int type = Character.getType(c);
    return Character.isISOControl(c)
        || type == Character.LINE_SEPARATOR
        || type == Character.PARAGRAPH_SEPARATOR
        || type == Character.SPACE_SEPARATOR;
  }

  private static void appendEscaped(StringBuilder quoted, char c) {
    switch (c) {
      case '"' -> quoted.append("\\\"");
      case '\\' -> quoted.append("\\\\");
      case '\n' -> quoted.append("\\n");
      case '\r' -> quoted.append("\\r");
      case '\t' -> quoted.append("\\t");
      default -> {
        if (c != ' ' && isControl(c)) {
          quoted.append(String.format("\\u%04x", (int) c));
        } else {
          quoted.append(c);
        }
      }
    }
  }
}
